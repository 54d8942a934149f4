/** Membership messages. */

/**
 * State of one member. Of two updates, the one with the higher incarnation, or
 * else the higher sequence, replaces the other.
 */
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
  /** Requests in flight at the member when it created the update. */
  readonly load: number;
  /** Processor cores for the member's use; absent if not in its settings. */
  readonly cores?: number;
  /**
   * Services whose endpoints the member cannot reach although other members do;
   * absent if there are none. Earlier releases ignore this.
   */
  readonly unreachableServices?: readonly string[];
}

/** State change of a member whose addresses the receiver already has. */
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
    /**
     * Hash of the sender's member list. If it differs from the receiver's hash
     * for some time, the two lists are reconciled.
     */
    readonly digest?: number;
  };
  /** Announces that the sender is stopping; a request, to be acknowledged. */
  leaving: {readonly news: MemberUpdate};
  /**
   * Probes a member for its current state; carries the state that the sender
   * has recorded for the member, so that the member can refute that state.
   * Response: `MemberProbeResponse`.
   */
  memberProbe: {readonly from: MemberUpdate; readonly believed?: MemberUpdate};
  /** Asks when a member was last active. Response: `LastSeenResponse`. */
  memberWord: {readonly id: string; readonly incarnation: number};
  /**
   * Requests the members of the buckets in which the two member lists differ.
   * Response: `MembersResponse`.
   */
  membersWanted: {readonly buckets: readonly number[]};
}

/** Response to `memberProbe`. */
export interface MemberProbeResponse {
  readonly news: MemberUpdate;
  /** State that the responder recorded for the prober; absent if `live`. */
  readonly believed?: MemberUpdate;
}

/** Response to `memberWord`. */
export interface LastSeenResponse {
  /**
   * Milliseconds since the member was active in the given or a later
   * incarnation; -1 if never.
   */
  readonly heardAgoMs: number;
}

/** Response to `membersWanted`. */
export interface MembersResponse {
  readonly news: readonly MemberUpdate[];
}
