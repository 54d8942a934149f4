/** Messages about which entries there are. */

/** What one entry says of one member; the higher incarnation and sequence wins. */
export interface MemberNews {
  readonly id: string;
  readonly incarnation: number;
  /** Rises with every change that the member itself announces. */
  readonly sequence: number;
  readonly state: 'live' | 'suspect' | 'leaving' | 'gone';
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Requests in flight when the news was made, to spread callers. */
  readonly load: number;
  /** Processor cores that it may use; absent where its settings do not say. */
  readonly cores?: number;
}

/** That a known member leaves or is gone; without the addresses that all have. */
export interface MemberChange {
  readonly id: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: 'leaving' | 'gone';
}

export interface MemberMessages {
  /** Periodic proof of life; carries news that the receiver may not have. */
  heartbeat: {
    readonly incarnation: number;
    readonly sequence: number;
    readonly load: number;
    readonly news: readonly MemberNews[];
    readonly changes?: readonly MemberChange[];
    /** Hash of all members the sender knows; a lasting difference is reconciled. */
    readonly digest?: number;
  };
  /** Sent before a stopping entry does anything else; asked, so that it is acknowledged. */
  leaving: {readonly news: MemberNews};
  /**
   * Asks a member for its own news, right now; carries what the asker believes
   * of it, so that it can refute. Answered with `MemberProof`.
   */
  memberProbe: {readonly from: MemberNews; readonly believed?: MemberNews};
  /** Asks whether the receiver has heard a silent member; answered with `MemberWord`. */
  memberWord: {readonly id: string; readonly incarnation: number};
  /** Asks for the members of those buckets that differ; answered with `MembersGiven`. */
  membersWanted: {readonly buckets: readonly number[]};
}

/** A member's answer to a probe. */
export interface MemberProof {
  readonly news: MemberNews;
  /** What the answering one believed of the asker when that was not `live`. */
  readonly believed?: MemberNews;
}

/** What a member has heard of another one itself. */
export interface MemberWord {
  /** Milliseconds since it heard that incarnation or a later one; -1 for never. */
  readonly heardAgoMs: number;
}

/** Answer to `membersWanted`. */
export interface MembersGiven {
  readonly news: readonly MemberNews[];
}
