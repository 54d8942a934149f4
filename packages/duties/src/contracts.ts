/**
 * Control-plane tasks (duties) with one active holder each, elected by leases.
 */
import type {Disposable} from '@skylarkfield/base';
import type {StoreReturns} from './storeReturns.js';

/**
 * `acceptance` validates records, `fleet` scales hosts, `moves` runs rollouts.
 */
export type DutyName = 'acceptance' | 'moves' | 'fleet' | `shard:${number}`;

/** Period during which this process holds a duty's lease. */
export interface DutyTerm {
  readonly duty: DutyName;
  /** Fencing token; increases with every change of holder. */
  readonly fencing: number;
  /** Monotonic time of the acquisition in milliseconds. */
  readonly acquiredAt: number;
  /**
   * Returns whether the lease is held and does not expire within the safety
   * margin; must be checked before any side effect.
   */
  isValid(): boolean;
  /** Aborted when the term ends. */
  readonly signal: AbortSignal;
}

export interface DutyElections extends Disposable {
  /** Returns of the store from a copy, as far as this process knows of them. */
  readonly storeReturns: StoreReturns;
  /**
   * Competes for a duty until disposed. Calls `start` at the start of each term
   * and disposes its result at the end of the term.
   */
  compete(duty: DutyName, start: (term: DutyTerm) => Disposable): Disposable;
  /**
   * Returns the current term, or undefined if this process does not hold the
   * duty.
   */
  currentTerm(duty: DutyName): DutyTerm | undefined;
  /** Releases all leases, for a planned shutdown. */
  release(): Promise<void>;
  dump(): unknown;
}
