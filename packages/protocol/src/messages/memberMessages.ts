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
}

export interface MemberMessages {
  /** Periodic proof of life; carries news that the receiver may not have. */
  heartbeat: {
    readonly incarnation: number;
    readonly sequence: number;
    readonly load: number;
    readonly news: readonly MemberNews[];
  };
  /** Sent once, to all peers, before a stopping entry does anything else. */
  leaving: {readonly news: MemberNews};
}
