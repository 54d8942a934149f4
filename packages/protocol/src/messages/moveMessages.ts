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

export type MovePhase =
  | 'waiting'
  | 'proving'
  | 'soaking'
  | 'finished'
  | 'taken-back'
  | 'withdrawn';

/** The durable state of a move, an object of the platform written by the duty's holder. */
export interface MoveState {
  readonly move: string;
  readonly phase: MovePhase;
  /** Share of traffic for the candidate on idempotent routes, 0 to 1. */
  readonly share: number;
  /** Share on non-idempotent routes; they go last. */
  readonly orderShare: number;
  /** Why it is in this phase, for the operator. */
  readonly why: string;
  /** How sure the judgement is, 0 to 1. */
  readonly confidence: number;
  /** Wall-clock milliseconds of the last change of phase or share. */
  readonly changedAt: number;
  /** Versions that the state is about, to see when an operator changes the move. */
  readonly from?: string;
  readonly to?: string;
  /** Wall-clock milliseconds at which the candidate first got traffic. */
  readonly startedAt?: number;
  /** What was proven so far, so that a new holder of the duty goes on from it. */
  readonly proof?: readonly RouteProof[];
}

/** Evidence on one route, summed since the move started. */
export interface RouteProof {
  readonly route: string;
  readonly isOrder: boolean;
  readonly requests: number;
  readonly candidateRequests: number;
  /** Log-likelihood ratios of a good version against one with this many times the errors. */
  readonly errorsTwice: number;
  readonly errorsThrice: number;
  /** The same against an added error rate that matters, for routes that hardly fail. */
  readonly errorsAdded: number;
  /** The same against a latency that is half as long again. */
  readonly slower: number;
  /** Largest log-likelihood ratio of a fault that began at any time and still goes on. */
  readonly recentFault: number;
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
  /** The durable states as the sender knows them; a receiver keeps the newer of each. */
  moveStates: {readonly states: readonly MoveState[]};
}
