/** Messages by which gateways keep a common view of what the platform holds and of customers' use. */

import type {CapacitySums, OutcomeSums, WorkRate} from '@skylarkfield/capacity';

/** Kinds of objects of the platform that entries mirror. */
export type MirrorKind = 'policy' | 'endpoints' | 'rollouts' | 'crashes';

/** Where the sender's copy of one kind stands. */
export interface SyncStatus {
  /** Store revision up to which the copy is complete. */
  readonly revision: number;
  /** Store revision of the newest change in the copy. */
  readonly changedAt: number;
  /** Milliseconds since the copy was known to be the newest when this was sent; -1 for never. */
  readonly confirmedAgoMs: number;
  /** The sender reads this kind from the platform itself, and gets answers. */
  readonly isReader: boolean;
}

/** One object that changed; without a value it is gone. */
export interface MirrorChange {
  readonly name: string;
  readonly revision: number;
  readonly value?: unknown;
}

/** What one entry has at one endpoint. */
export interface EndpointLoad {
  readonly requests: number;
  /** Prompt tokens yet to be computed. */
  readonly pendingTokens: number;
  /** The same by urgency, 0 first; absent when nothing is pending. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of all its requests there. */
  readonly contextTokens: number;
}

export interface GatewayMessages {
  /** Sent several times a second: to every peer, or between entries and their relays. */
  digest: {
    /** How much of what the sender knows `used`, `usage`, `loads` and `work` tell; its own part when absent. */
    readonly scope?: 'own' | 'domain' | 'rest';
    /** The sender's failure domain. */
    readonly failureDomain?: string;
    /** Rises with each start of the sender, whose counters then begin anew. */
    readonly incarnation?: number;
    /** Milliseconds since the sender started. */
    readonly upMs?: number;
    /** Entries that those fields cover; one when absent. */
    readonly entries?: number;
    /** The sender's monotonic milliseconds now. */
    readonly stamp: number;
    /** The sender's wall-clock milliseconds now. */
    readonly wallMs: number;
    /** The receiver's stamp that the sender heard last; undefined before the first. */
    readonly echo?: number;
    /** Without `crashes` from a release that does not know them. */
    readonly mirrors: Readonly<
      Record<Exclude<MirrorKind, 'crashes'>, SyncStatus> &
        Partial<Record<'crashes', SyncStatus>>
    >;
    /** Endpoints that crashed lately, by the requests that they were running, and which of these were served. */
    readonly crashes?: {
      readonly crashes: readonly {
        readonly request: string;
        readonly endpoint: string;
        readonly atMs: number;
      }[];
      readonly served: Readonly<Record<string, number>>;
    };
    /** Quota amounts let through since the sender's start, by customer. */
    readonly used: Readonly<Record<string, number>>;
    /** Requests that began to run, by window and customer. */
    readonly usage: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** What is at each endpoint where there is something. */
    readonly loads: Readonly<Record<string, EndpointLoad>>;
    /** What answers said about limits that endpoints have named, by endpoint. */
    readonly limits?: Readonly<
      Record<string, {readonly perSecond?: number; readonly agoMs: number}>
    >;
    /** Work that callers bring by service. */
    readonly work: Readonly<Record<string, WorkRate>>;
    /** What was seen of engines; as last told when absent. */
    readonly capacity?: CapacitySums;
    /** How callers of each service fare. */
    readonly outcomes: Readonly<Record<string, OutcomeSums>>;
  };
  /** Changes of one kind between two revisions, as soon as the sender reads them. */
  mirrorChanges: {
    readonly kind: MirrorKind;
    readonly from: number;
    readonly to: number;
    readonly changes: readonly MirrorChange[];
  };
  /** Asks for the receiver's whole copy; answered with `MirrorCopy`. */
  mirrorWanted: {readonly kind: MirrorKind};
}

/** Answer to `mirrorWanted`. */
export interface MirrorCopy {
  readonly revision: number;
  readonly changedAt: number;
  readonly items: readonly MirrorChange[];
}
