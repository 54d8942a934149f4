/** Messages by which entries share evidence about versions on the move. */

/** Sums over one window of one version on one route at one load level. */
export interface EvidenceSum {
  readonly route: string;
  readonly version: string;
  readonly loadLevel: 'low' | 'middle' | 'high';
  /** True for calls that run at most once; their share grows last. */
  readonly isOrder?: boolean;
  readonly requests: number;
  readonly errors: number;
  /** Sum and sum of squares of the logarithm of latency in milliseconds plus an offset of 10. */
  readonly logLatency: number;
  readonly logLatencySquared: number;
}

export interface MoveMessages {
  /** What the sender saw of a move since its last message. */
  moveEvidence: {
    readonly move: string;
    readonly sequence: number;
    readonly sums: readonly EvidenceSum[];
  };
  /** The sender has cut a candidate's share to zero and says why. */
  moveCut: {
    readonly move: string;
    readonly why: string;
    /** The candidate that was cut: the record may name another by now. */
    readonly to?: string;
  };
}
