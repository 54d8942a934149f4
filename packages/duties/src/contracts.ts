/** Control work that must have one active holder, held by leases in the object API. */
import type {Disposable} from '@skylarkfield/base';

/** `acceptance`: validates records. `moves:…`: one move. `fleet`: hosts and endpoint orders. */
export type DutyName = 'acceptance' | 'moves' | 'fleet' | `shard:${number}`;

/** A duty while it is held. */
export interface Tenure {
  readonly duty: DutyName;
  /** Rises with every change of holder. */
  readonly fencing: number;
  /** Monotonic milliseconds since when it is held. */
  readonly acquiredAt: number;
  /** True while the lease is certainly ours, with a margin; check right before each effect. */
  isValid(): boolean;
  /** Aborted when the tenure ends. */
  readonly signal: AbortSignal;
}

export interface Duties extends Disposable {
  /** Competes for a duty until disposed; `start` runs for each tenure and its result is disposed at the end. */
  compete(duty: DutyName, start: (tenure: Tenure) => Disposable): Disposable;
  /** The tenure held here now, if any. */
  held(duty: DutyName): Tenure | undefined;
  /** Gives up all leases, for a planned stop. */
  release(): Promise<void>;
  dump(): unknown;
}
