/** Admission control: admits, queues or rejects requests for each service. */
import type {Service} from '@skylarkfield/records';

/** Fields of a service record that admission control reads. */
export type ServiceAdmissionConfig = Partial<Service> &
  Pick<Service, 'name' | 'concurrency' | 'queue' | 'targetMs'>;

/** Attributes of a request that admission decisions depend on. */
export interface AdmissionRequest {
  readonly service: string;
  readonly customer: string;
  /**
   * RFC 9218 urgency, 0 (most urgent) to 7, with the customer's cap applied.
   */
  readonly urgency: number;
  /** Monotonic ms by which the response must end (plain) or begin (model). */
  readonly deadline: number;
  /** Expected work relative to a typical request; 1 if unknown. */
  readonly cost: number;
}

/** Result of an admitted request. */
export interface RequestResult {
  readonly outcome: 'ok' | 'failed' | 'overloaded' | 'cancelled';
  /** Milliseconds from admission to the first token or full response. */
  readonly latencyMs: number;
}

/** Permit of an admitted request, to be released exactly once. */
export interface Permit {
  /** Milliseconds that the request was queued before its admission. */
  readonly waitedMs: number;
  release(result: RequestResult): void;
}

/** Admission controller of this entry for all services. */
export interface AdmissionController {
  /**
   * Admits a request, queueing it while no slot is free. Throws `overloaded`
   * (with `retryAfterMs` from the drain rate), `deadline-exceeded` as soon as
   * the deadline cannot be met, `cancelled` or `unknown-service`; each error
   * states that the request was `not-run`.
   */
  admit(request: AdmissionRequest, signal: AbortSignal): Promise<Permit>;
  /**
   * Withdraws one retry from the service's retry budget; returns false if the
   * budget is exhausted.
   */
  tryAcquireRetry(service: string): boolean;
  /**
   * Adds to the service's retry budget for a request that was admitted without
   * a permit.
   */
  depositRetry(service: string): void;
  /** Adds, reconfigures or removes (undefined) a service's bulkhead. */
  setService(name: string, config: ServiceAdmissionConfig | undefined): void;
  /**
   * Sets or resets (undefined) the weight of a customer among requests of equal
   * urgency.
   */
  setCustomerWeight(customer: string, weight: number | undefined): void;
  /** Sets the number of live entries that share each service's capacity. */
  setEntryCount(count: number): void;
  /**
   * Sets the total concurrency that the service's endpoints report, and as
   * `outstanding` the number of requests from all entries that the endpoints
   * run or queue. Without `outstanding` each entry is limited to an equal
   * share.
   */
  recordReportedSlots(
    service: string,
    slots: number,
    outstanding?: number,
  ): void;
  /** Returns this entry's requests in flight relative to its limit, 0 to 1. */
  loadFraction(service: string): number;
  dump(): unknown;
}
