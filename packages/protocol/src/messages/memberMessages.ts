/** Membership messages. */

/** State of one member; the higher incarnation, then sequence, wins. */
export interface MemberUpdate {
  readonly id: string;
  readonly incarnation: number;
  /** Increases with each change that the member itself announces. */
  readonly sequence: number;
  readonly state: 'live' | 'suspect' | 'leaving' | 'gone';
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Requests in flight when this was created, for load balancing. */
  readonly load: number;
  /** Processor cores it may use; absent if not set in its settings. */
  readonly cores?: number;
}

/** Change of a known member to `leaving` or `gone`, without its addresses. */
export interface MemberChange {
  readonly id: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: 'leaving' | 'gone';
}

export interface MemberMessages {
  /** Periodic heartbeat with piggybacked updates that the receiver may lack. */
  heartbeat: {
    readonly incarnation: number;
    readonly sequence: number;
    readonly load: number;
    readonly news: readonly MemberUpdate[];
    readonly changes?: readonly MemberChange[];
    /** Hash of all known members; a lasting difference is reconciled. */
    readonly digest?: number;
  };
  /** First message of a stopping entry; a request, to be acknowledged. */
  leaving: {readonly news: MemberUpdate};
  /**
   * Probes a member for its current state; carries the state that the sender
   * has recorded for the member, so that the member can refute that state.
   * Response: `MemberProbeResponse`.
   */
  memberProbe: {readonly from: MemberUpdate; readonly believed?: MemberUpdate};
  /** Requests when a member was last active. Response: `LastSeenResponse`. */
  memberWord: {readonly id: string; readonly incarnation: number};
  /** Requests the members of differing buckets. Response: `MembersResponse`. */
  membersWanted: {readonly buckets: readonly number[]};
}

/** Response to `memberProbe`. */
export interface MemberProbeResponse {
  readonly news: MemberUpdate;
  /** State recorded for the prober by the responder, unless `live`. */
  readonly believed?: MemberUpdate;
}

/** Response to `memberWord`. */
export interface LastSeenResponse {
  /** Milliseconds since this or a later incarnation was active; -1: never. */
  readonly heardAgoMs: number;
}

/** Response to `membersWanted`. */
export interface MembersResponse {
  readonly news: readonly MemberUpdate[];
}
