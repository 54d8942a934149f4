/** Messages that replicate platform objects and usage among gateways. */

import type {
  CapacityStats,
  OutcomeCounts,
  WorkRate,
} from '@skylarkfield/capacity';

/** Kinds of platform objects that entries mirror. */
export type MirrorKind =
  | 'policy'
  | 'endpoints'
  | 'rollouts'
  | 'crashes'
  | 'domainDrains';

/** Kinds that earlier releases do not mirror. */
type LaterMirrorKind = 'crashes' | 'domainDrains';

/** State of the sender's copy of the platform objects of one kind. */
export interface SyncStatus {
  /** Store revision up to which the copy is complete. */
  readonly revision: number;
  /** Store revision of the newest change in the copy. */
  readonly changedAt: number;
  /** Milliseconds since the copy was last confirmed as current; -1 if never. */
  readonly confirmedAgoMs: number;
  /** Whether the sender successfully reads this kind from the platform. */
  readonly isReader: boolean;
  /**
   * Hash of the states that the sender retains since the store returned from a
   * copy; absent if there are none.
   */
  readonly retained?: number;
}

/** One changed object; `value` is absent if the object was deleted. */
export interface MirrorChange {
  readonly name: string;
  readonly revision: number;
  readonly value?: unknown;
}

/** Load that one entry places on one endpoint. */
export interface EndpointLoad {
  readonly requests: number;
  /** Prompt tokens not yet processed. */
  readonly pendingTokens: number;
  /** Pending tokens by urgency, 0 first; absent if no tokens are pending. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of all requests of the entry at the endpoint. */
  readonly contextTokens: number;
}

/** The route of a handed-over request. */
export interface HandedOverRoute {
  readonly name: string;
  readonly authority: string;
  readonly pathPrefix: string;
  readonly kind: 'idempotent' | 'at-most-once' | 'streaming';
  readonly timeoutMs: number;
  readonly goalMs: number;
  readonly priority: number;
  readonly services: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  readonly attempts: number;
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  readonly longestPauseMs: number;
}

export interface GatewayMessages {
  /**
   * State of the sender or of its failure domain, sent several times a second
   * to all peers, through relays in large fleets.
   */
  digest: {
    /**
     * Entries that `used`, `usage`, `loads` and `work` cover: the sender (the
     * default), its failure domain, or all entries except the receiver.
     */
    readonly scope?: 'own' | 'domain' | 'rest';
    /** The sender's failure domain. */
    readonly failureDomain?: string;
    /** Increases with each start of the sender, which resets its counters. */
    readonly incarnation?: number;
    /** Milliseconds since the sender started. */
    readonly upMs?: number;
    /** Number of entries in the scope; 1 if absent. */
    readonly entries?: number;
    /** Monotonic milliseconds of the sender when sent. */
    readonly stamp: number;
    /** Wall-clock milliseconds of the sender when sent. */
    readonly wallMs: number;
    /** Last `stamp` from the receiver; undefined before its first digest. */
    readonly echo?: number;
    /** Earlier releases omit the kinds that they do not mirror. */
    readonly mirrors: Readonly<
      Record<Exclude<MirrorKind, LaterMirrorKind>, SyncStatus> &
        Partial<Record<LaterMirrorKind, SyncStatus>>
    >;
    /**
     * Recent crashes; `request` is the fingerprint of a request, or a part of its
     * prompt; `served`: last success, by `request`.
     */
    readonly crashes?: {
      readonly crashes: readonly {
        readonly request: string;
        readonly endpoint: string;
        readonly atMs: number;
        /** Weight against a part of a prompt; 1 if absent. */
        readonly weight?: number | undefined;
      }[];
      readonly served: Readonly<Record<string, number>>;
      /** Intervals in which endpoints did not crash, in wall-clock ms. */
      readonly uptimes?:
        | readonly {
            readonly endpoint: string;
            readonly fromMs: number;
            readonly toMs: number;
          }[]
        | undefined;
    };
    /** Quota amounts granted since the sender's start, by customer. */
    readonly used: Readonly<Record<string, number>>;
    /** Requests that started to run, by time window and customer. */
    readonly usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** Load by endpoint; endpoints without load are omitted. */
    readonly loads: Readonly<Record<string, EndpointLoad>>;
    /** Rate limits that endpoints reported in responses, by endpoint. */
    readonly limits?: Readonly<
      Record<string, {readonly perSecond?: number; readonly agoMs: number}>
    >;
    /** Milliseconds since endpoints announced that they leave, by endpoint. */
    readonly departures?: Readonly<Record<string, number>>;
    /** Rate of work that callers request, by service. */
    readonly work: Readonly<Record<string, WorkRate>>;
    /** Engine measurements; unchanged since the last digest if absent. */
    readonly capacity?: CapacityStats;
    /** Counts of request outcomes, by service. */
    readonly outcomes: Readonly<Record<string, OutcomeCounts>>;
  };
  /**
   * Changes to the objects of one kind between two store revisions, sent by an
   * entry that reads the objects from the platform.
   */
  mirrorChanges: {
    readonly kind: MirrorKind;
    readonly from: number;
    readonly to: number;
    readonly changes: readonly MirrorChange[];
  };
  /** Requests the receiver's copy of one kind. Response: `MirrorSnapshot`. */
  mirrorWanted: {readonly kind: MirrorKind};
  /**
   * Asks whether the receiver reaches an endpoint of a service. Response:
   * boolean. Earlier releases respond with an error.
   */
  reachWanted: {readonly service: string};
  /**
   * Asks the receiver, as the owner of the customer's quota or its stand-in, to
   * charge a request. Response: `QuotaAnswer`, or `QuotaRedirect` if others
   * should decide. Earlier releases respond with an error.
   */
  quotaWanted: {
    readonly customer: string;
    readonly amount: number;
    /** Entries that have not answered the sender. */
    readonly unanswered: readonly string[];
  };
  /**
   * Tells the previous owner of a customer's quota that the sender takes it
   * over, and asks what it granted in the last `sinceMs`. Response:
   * `QuotaTakeoverAnswer`.
   */
  quotaTakeover: {readonly customer: string; readonly sinceMs: number};
  /** Takes back a charge of the receiver for a request that has not run. */
  quotaRefund: {
    readonly customer: string;
    readonly amount: number;
    /** Process that made the charge, and its time on that process's clock. */
    readonly incarnation: number;
    readonly chargedAtMs: number;
  };
  /**
   * An admitted request that the receiver runs at one endpoint at most; sent as
   * the body of an HTTP request, whose response is that of the endpoint.
   */
  handover: {
    readonly attemptId: string;
    readonly route: HandedOverRoute;
    readonly service: string;
    /** Side of a rollout that the sender has selected for the request. */
    readonly version: 'incumbent' | 'candidate';
    readonly customer?: string;
    /** Regions in which the request may run; absent for all. */
    readonly regions?: readonly string[];
    readonly urgency?: number;
    readonly authority: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values, without the caller's key. */
    readonly rawHeaders: readonly string[];
    readonly body?: Uint8Array;
    /** Model and tokens that the request needs; absent for plain services. */
    readonly demand?: {
      readonly model: string;
      readonly promptTokens: number;
      readonly mostOutputTokens: number;
      readonly parts: readonly {readonly id: string; readonly tokens: number}[];
    };
    /** Id of the last event that the caller has received. */
    readonly lastEventId?: string;
    /** Endpoints that must not be chosen, as the sender has tried them. */
    readonly excludedEndpoints: readonly string[];
    /** Whether the request is already counted in the customer's usage. */
    readonly isCounted: boolean;
    /** Whether an endpoint may have run the request; absent if none has. */
    readonly hasRun?: boolean;
    /** Milliseconds until the deadline of the response. */
    readonly remainingMs: number;
  };
}

/** Response to `mirrorWanted`. */
export interface MirrorSnapshot {
  readonly revision: number;
  readonly changedAt: number;
  readonly items: readonly MirrorChange[];
  /** Absent if there are none, and from earlier releases. */
  readonly retained?: readonly RetainedState[];
}

/**
 * State of an object from before the store returned from a copy, which applies
 * instead of the state in the copy.
 */
export interface RetainedState {
  readonly name: string;
  readonly revision: number;
  /** Last value; that before the removal if the object was removed. */
  readonly value: unknown;
  readonly isRemoved: boolean;
  /** Absent if the state applies until the store has a newer one. */
  readonly remainingMs?: number;
}
