/** Messages between the entries and the entry that schedules a service. */

/** A request in progress that a scheduler has placed. */
export interface PlacementInProgress {
  readonly service: string;
  readonly version: string;
  readonly id: string;
  readonly endpoint: string;
  readonly route: string;
  readonly urgency: number;
  /** Time since the placement, in milliseconds. */
  readonly ageMs: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Requests that the receiver may reject on its own for a moment. */
export interface ClosedPlacements {
  /** Requests of the same customer that are as urgent or less. */
  readonly urgency: number;
  readonly forMs: number;
  /** Time from now within which their callers return, in milliseconds. */
  readonly returnFromMs: number;
  readonly returnToMs: number;
}

/** Decision on a request. */
export type PlacementResult =
  | {readonly type: 'placed'; readonly endpoint: string}
  | {
      readonly type: 'rejected';
      readonly reason: 'no-room' | 'waited-in-vain';
      readonly retryAfterMs: number;
      readonly closed?: ClosedPlacements | undefined;
    };

/** Response to `placementWanted`. */
export type PlacementResponse = (
  | PlacementResult
  | {readonly type: 'queued'; readonly decidedWithinMs: number}
  /** The receiver cannot schedule the service. */
  | {readonly type: 'unknown'}
) & {
  /** Whether the service has little room, so that all requests should ask. */
  readonly isContended: boolean;
};

/** Load that an endpoint reports in a response. */
export interface PlacementLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slowness?: number | undefined;
}

export interface SchedulingMessages {
  /**
   * Asks the receiver, as the scheduler of a service, to place a request.
   * Response: `PlacementResponse`. Earlier releases respond with an error.
   */
  placementWanted: {
    readonly service: string;
    readonly version: string;
    /** Unique among the questions of the sender. */
    readonly id: string;
    readonly route: string;
    readonly urgency: number;
    readonly customer: string;
    readonly failureDomain: string;
    /** Time until the latency target, in milliseconds; may be negative. */
    readonly targetMs: number;
    /** Time until nobody waits for the response any more, in milliseconds. */
    readonly remainingMs: number;
    /** Time until a response that has begun has ended, if that is later. */
    readonly endsMs?: number | undefined;
    /** Similar requests that the sender has rejected without asking. */
    readonly unasked?:
      | readonly {
          readonly fingerprint: string;
          /** Time until the caller was told to return, in milliseconds. */
          readonly returnMs: number;
        }[]
      | undefined;
    readonly prompt?:
      | {
          readonly ownTokens: number;
          readonly promptTokens: number;
          readonly sharedParts: readonly {
            readonly id: string;
            readonly tokens: number;
          }[];
        }
      | undefined;
    readonly fingerprint?: string | undefined;
    /**
     * All requests of the sender in progress; only in its first message over a
     * connection. They replace those that the receiver knows of the sender.
     */
    readonly held?: readonly PlacementInProgress[] | undefined;
  };
  /** Tells the decision on a request that was queued. */
  placementDecided: {
    readonly service: string;
    readonly version: string;
    readonly id: string;
    readonly result: PlacementResult;
  };
  /** Tells that the response to a placed request has begun. */
  placementBegan: {
    readonly service: string;
    readonly version: string;
    readonly id: string;
    readonly endpoint: string;
    /** Time from the placement to the first byte or event, in milliseconds. */
    readonly firstMs: number;
    readonly load?: PlacementLoad | undefined;
  };
  /** Tells that a placed request has ended, or that a queued one is withdrawn. */
  placementEnded: {
    readonly service: string;
    readonly version: string;
    readonly id: string;
    /** Endpoint that ran the request last; absent if it was never sent. */
    readonly endpoint?: string | undefined;
    readonly outcome:
      | 'ok'
      | 'failed'
      | 'overloaded'
      | 'unreachable'
      | 'cancelled';
    /** Time from the placement to the end, in milliseconds. */
    readonly tookMs: number;
    /** Begin of the response, if `placementBegan` was not sent. */
    readonly began?:
      | {readonly firstMs: number; readonly load?: PlacementLoad | undefined}
      | undefined;
  };
}
