/** Messages that replicate platform objects and usage among gateways. */

import type {
  CapacityStats,
  OutcomeCounts,
  WorkRate,
} from '@skylarkfield/capacity';

/** Kinds of platform objects that entries mirror. */
export type MirrorKind = 'policy' | 'endpoints' | 'rollouts' | 'crashes';

/** State of the sender's copy of one kind. */
export interface SyncStatus {
  /** Store revision up to which the copy is complete. */
  readonly revision: number;
  /** Store revision of the newest change in the copy. */
  readonly changedAt: number;
  /** Age when sent of the last check that the copy is current; -1 for never. */
  readonly confirmedAgoMs: number;
  /** Whether the sender successfully reads this kind from the platform. */
  readonly isReader: boolean;
}

/** One changed object; has no value if it was deleted. */
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
  /** Pending tokens by urgency, 0 first; absent if nothing is pending. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of all its requests at the endpoint. */
  readonly contextTokens: number;
}

export interface GatewayMessages {
  /** Sent several times a second to all peers; via relays in large fleets. */
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
    /** Last `stamp` received from the receiver; undefined before the first. */
    readonly echo?: number;
    /** Releases without crash reports omit `crashes`. */
    readonly mirrors: Readonly<
      Record<Exclude<MirrorKind, 'crashes'>, SyncStatus> &
        Partial<Record<'crashes', SyncStatus>>
    >;
    /** Recent crashes, and when a request was last `served`, by fingerprint. */
    readonly crashes?: {
      readonly crashes: readonly {
        readonly request: string;
        readonly endpoint: string;
        readonly atMs: number;
      }[];
      readonly served: Readonly<Record<string, number>>;
    };
    /** Quota amounts admitted since the sender's start, by customer. */
    readonly used: Readonly<Record<string, number>>;
    /** Requests that started to run, by window and customer. */
    readonly usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** Load by endpoint; endpoints without load are omitted. */
    readonly loads: Readonly<Record<string, EndpointLoad>>;
    /** Rate limits that endpoints reported in responses, by endpoint. */
    readonly limits?: Readonly<
      Record<string, {readonly perSecond?: number; readonly agoMs: number}>
    >;
    /** Rate of work that callers request, by service. */
    readonly work: Readonly<Record<string, WorkRate>>;
    /** Engine measurements; unchanged since the last digest if absent. */
    readonly capacity?: CapacityStats;
    /** Outcomes of requests, by service. */
    readonly outcomes: Readonly<Record<string, OutcomeCounts>>;
  };
  /** Changes of one kind between two revisions, sent by their reader. */
  mirrorChanges: {
    readonly kind: MirrorKind;
    readonly from: number;
    readonly to: number;
    readonly changes: readonly MirrorChange[];
  };
  /** Requests the receiver's copy of a kind. Response: `MirrorSnapshot`. */
  mirrorWanted: {readonly kind: MirrorKind};
}

/** Response to `mirrorWanted`. */
export interface MirrorSnapshot {
  readonly revision: number;
  readonly changedAt: number;
  readonly items: readonly MirrorChange[];
}
