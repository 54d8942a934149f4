/** Types of the scheduler of one service. */

/** An endpoint that requests can be placed at. */
export interface SchedulableEndpoint {
  readonly id: string;
  /** Requests that the endpoint runs concurrently. */
  readonly slots: number;
  readonly failureDomain: string;
}

/** Prompt of a request to a model. */
export interface Prompt {
  /** Tokens that no other request has, so that none of them is cached. */
  readonly ownTokens: number;
  /** All tokens, including those of the shared parts. */
  readonly promptTokens: number;
  /** Parts that other requests may have, from the start of the prompt. */
  readonly sharedParts: readonly PromptPart[];
}

/** Part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A request that was rejected without asking the scheduler. */
export interface UnaskedRequest {
  readonly fingerprint: string;
  /** Monotonic milliseconds at which the caller was told to return. */
  readonly returnAt: number;
}

/** A request that asks for an endpoint. */
export interface PlacementRequest {
  /** Unique among the requests of its asker. */
  readonly id: string;
  readonly route: string;
  /** 0 (most urgent) to 7. */
  readonly urgency: number;
  readonly customer: string;
  /** Failure domain of the entry that sends the request to the endpoint. */
  readonly failureDomain: string;
  /** Monotonic milliseconds until which the response is in time. */
  readonly targetAt: number;
  /** Monotonic milliseconds after which nobody waits for the response. */
  readonly deadlineAt: number;
  /**
   * Monotonic milliseconds at which a response that has begun has ended;
   * `deadlineAt` if absent.
   */
  readonly endsAt?: number | undefined;
  /**
   * Similar requests that the asker has rejected on its own since it last asked,
   * because the urgency was closed.
   */
  readonly unasked?: readonly UnaskedRequest[] | undefined;
  /** Absent for a plain service. */
  readonly prompt?: Prompt | undefined;
  /** Equal for all attempts of a caller at the same request. */
  readonly fingerprint?: string | undefined;
}

export type RejectionReason =
  /** No endpoint is expected to have room before the deadline. */
  | 'no-room'
  /** The request waited, and cannot be answered before its deadline any more. */
  | 'waited-in-vain';

/**
 * Tells an asker to reject most of the similar requests on its own: those of the
 * same customer that are as urgent or less and have no later target.
 */
export interface ClosedUrgency {
  readonly urgency: number;
  readonly forMs: number;
  /** Time from now within which their callers return, in milliseconds. */
  readonly returnFromMs: number;
  readonly returnToMs: number;
}

/** Final decision on a request. */
export type PlacementDecision =
  | {readonly type: 'placed'; readonly endpoint: string}
  | {
      readonly type: 'rejected';
      readonly reason: RejectionReason;
      readonly retryAfterMs: number;
      /** Absent if a similar request may have room. */
      readonly closed?: ClosedUrgency | undefined;
    };

/** Answer to a request: a decision, or the time by which it is made. */
export type PlacementAnswer = (
  | PlacementDecision
  | {readonly type: 'queued'; readonly decidedWithinMs: number}
) & {
  /** Whether the service has little room, so that all requests should ask. */
  readonly isContended: boolean;
};

/** Result of a request that was placed. */
export type PlacementOutcome =
  /** The endpoint answered. */
  | 'ok'
  /** The endpoint answered with an error or broke off. */
  | 'failed'
  /** The endpoint was full. */
  | 'overloaded'
  | 'unreachable'
  /** The caller has left, or the placement was not used. */
  | 'cancelled';

/** Load that an endpoint reports in a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  /**
   * How long work takes at the endpoint at present, relative to the usual time;
   * absent if the endpoint does not report it.
   */
  readonly slowness?: number | undefined;
}

/** First byte or event of the response to a request that was placed. */
export interface PlacementBegin {
  readonly id: string;
  readonly endpoint: string;
  /** Time from the placement to the first byte or event, in milliseconds. */
  readonly firstMs: number;
  /** Load in the response. */
  readonly load?: ReportedLoad | undefined;
}

/** End of a request that was placed or is still queued. */
export interface PlacementEnd {
  readonly id: string;
  /** Endpoint that ran the request last; absent if it was never sent. */
  readonly endpoint?: string | undefined;
  readonly outcome: PlacementOutcome;
  /** Time from the placement to the end, in milliseconds. */
  readonly tookMs: number;
  /** Begin of the response, if it was not reported before. */
  readonly began?: Pick<PlacementBegin, 'firstMs' | 'load'> | undefined;
}

/** A request in progress that another scheduler has placed. */
export interface HeldPlacement {
  readonly id: string;
  readonly endpoint: string;
  readonly route: string;
  readonly urgency: number;
  /** Time since the placement, in milliseconds. */
  readonly ageMs: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}
