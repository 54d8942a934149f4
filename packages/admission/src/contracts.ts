/** Who may use a service's capacity now, who waits, and who is refused. */
import type {Service} from '@skylarkfield/records';

/** A service as the admission guards it. */
export type GuardedService = Partial<Service> &
  Pick<Service, 'name' | 'concurrency' | 'queue' | 'targetMs'>;

/** A request that asks for capacity. */
export interface AdmissionRequest {
  readonly service: string;
  readonly customer: string;
  /** RFC 9218 urgency after the customer's bound, 0 (most important) to 7. */
  readonly urgency: number;
  /** Monotonic milliseconds by which the answer has to be complete (plain) or begun (model). */
  readonly deadline: number;
  /** Expected work relative to a typical request of the service, 1 when not known. */
  readonly cost: number;
}

/** How an admitted request ended. */
export interface Ending {
  readonly outcome: 'ok' | 'failed' | 'overloaded' | 'cancelled';
  /** Milliseconds from admission to the first token or the whole answer. */
  readonly latencyMs: number;
}

/** Leave to work on a request; released exactly once. */
export interface Permit {
  readonly waitedMs: number;
  release(ending: Ending): void;
}

/** Capacity of all services at this entry. */
export interface Admission {
  /**
   * Waits for capacity.
   * Throws `overloaded` (with `retryAfterMs` from the drain rate),
   * `deadline-exceeded` as soon as the deadline cannot be met, or `cancelled`;
   * each of them `not-run`.
   */
  admit(ask: AdmissionRequest, signal: AbortSignal): Promise<Permit>;
  /** Takes one retry from the service's budget; false when it is used up. */
  tryRetry(service: string): boolean;
  /** Adds, changes or removes (undefined) a service's bulkhead. */
  setService(name: string, service: GuardedService | undefined): void;
  /** Customers' weights for fairness within an urgency. */
  setCustomerWeight(customer: string, weight: number | undefined): void;
  /** How many live entries share the service's capacity. */
  setEntryCount(count: number): void;
  /**
   * Capacity in requests at once that the service's endpoints report together,
   * and how many requests (of all entries) they have, running and waiting.
   * Without `busy` each entry keeps to an even part.
   */
  setReportedSlots(service: string, slots: number, busy?: number): void;
  /** Requests in flight of a service at this entry relative to its limit, 0 to 1. */
  loadFraction(service: string): number;
  dump(): unknown;
}
