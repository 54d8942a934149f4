/** Control-plane tasks with one active holder, elected through leases. */
import type {Disposable} from '@skylarkfield/base';

/** `acceptance` validates records, `fleet` scales hosts, `moves` rolls out. */
export type DutyName = 'acceptance' | 'moves' | 'fleet' | `shard:${number}`;

/** Period during which this process holds a duty's lease. */
export interface DutyTerm {
  readonly duty: DutyName;
  /** Fencing token; increases with every change of holder. */
  readonly fencing: number;
  /** Monotonic time of the acquisition in milliseconds. */
  readonly acquiredAt: number;
  /** Whether the lease is held, with a margin; check before any side effect. */
  isValid(): boolean;
  /** Aborted when the term ends. */
  readonly signal: AbortSignal;
}

export interface DutyElections extends Disposable {
  /**
   * Competes for a duty until disposed. Calls `start` for each term and
   * disposes its result at the end.
   */
  compete(duty: DutyName, start: (term: DutyTerm) => Disposable): Disposable;
  /** Returns this process's current term of a duty, if any. */
  currentTerm(duty: DutyName): DutyTerm | undefined;
  /** Releases all leases, for a planned shutdown. */
  release(): Promise<void>;
  dump(): unknown;
}
