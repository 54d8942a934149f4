/** Messages about moves (rollouts of versions) and their evidence. */

/** Sums over one window for one version, route and load level. */
export interface EvidenceSum {
  readonly route: string;
  readonly version: string;
  readonly loadLevel: 'low' | 'middle' | 'high';
  /** True for calls that run at most once; their share is raised last. */
  readonly isOrder?: boolean;
  readonly requests: number;
  readonly errors: number;
  /** Sums of ln(latency in milliseconds + 10) and of its square. */
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

/** Durable state of a move, a platform object written by the duty's holder. */
export interface MoveState {
  readonly move: string;
  readonly phase: MovePhase;
  /** Candidate's share of traffic on idempotent routes, 0 to 1. */
  readonly share: number;
  /** Candidate's share on non-idempotent routes, which is raised last. */
  readonly orderShare: number;
  /** Reason for this phase, for the operator. */
  readonly why: string;
  /** Confidence in the verdict, 0 to 1. */
  readonly confidence: number;
  /** Wall-clock milliseconds of the last change of phase or share. */
  readonly changedAt: number;
  /** Versions of the move, to detect that an operator has changed them. */
  readonly from?: string;
  readonly to?: string;
  /** Wall-clock milliseconds at which the candidate first received traffic. */
  readonly startedAt?: number;
  /** Evidence so far, from which a new holder of the duty continues. */
  readonly proof?: readonly RouteProof[];
}

/** Evidence on one route, summed since the start of the move. */
export interface RouteProof {
  readonly route: string;
  readonly isOrder: boolean;
  readonly requests: number;
  readonly candidateRequests: number;
  /** Log-likelihood ratios of an unchanged error rate to 2 and 3 times it. */
  readonly errorsTwice: number;
  readonly errorsThrice: number;
  /** The same for a relevant added error rate, on routes that rarely fail. */
  readonly errorsAdded: number;
  /** The same for 1.5 times the latency. */
  readonly slower: number;
  /** Maximum log-likelihood ratio of an ongoing fault over all start times. */
  readonly recentFault: number;
}

export interface MoveMessages {
  /** Evidence that the sender collected since its last message. */
  moveEvidence: {
    readonly move: string;
    readonly sequence: number;
    readonly sums: readonly EvidenceSum[];
  };
  /** The sender set a candidate's share to zero. */
  moveCut: {
    readonly move: string;
    readonly why: string;
    /** Version of the candidate; the record may name another version by now. */
    readonly to?: string;
  };
  /** Durable states known to the sender; a receiver keeps the newer of each. */
  moveStates: {readonly states: readonly MoveState[]};
}
