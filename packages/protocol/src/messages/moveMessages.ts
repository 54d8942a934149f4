/** Messages about moves (rollouts of versions) and their evidence. */

/**
 * What the samples of a sum measure: requests, with their errors and latency,
 * or the mean interval between the events of a stream.
 */
export type EvidenceMeasure = 'requests' | 'eventInterval';

/** Sums over one time window for one version, route and load level. */
export interface EvidenceSum {
  readonly route: string;
  /**
   * `requests` if absent. The sums of event intervals have their own route name,
   * since entries of an earlier version take them for requests.
   */
  readonly measure?: EvidenceMeasure;
  readonly version: string;
  readonly loadLevel: 'low' | 'middle' | 'high';
  /** Whether the calls run at most once; their traffic share is raised last. */
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

/** Durable state of a move: a platform object that the duty holder writes. */
export interface MoveState {
  readonly move: string;
  readonly phase: MovePhase;
  /** Candidate's share of traffic on idempotent routes, 0 to 1. */
  readonly share: number;
  /** Candidate's share on non-idempotent routes, which is raised last. */
  readonly orderShare: number;
  /** Reason for this phase, for the operator. */
  readonly why: string;
  /** Confidence in the verdict on the candidate, 0 to 1. */
  readonly confidence: number;
  /** Wall-clock milliseconds of the last change of phase or share. */
  readonly changedAt: number;
  /** Versions of the move, to detect that an operator has changed them. */
  readonly from?: string;
  readonly to?: string;
  /** Wall-clock milliseconds at which the candidate first received traffic. */
  readonly startedAt?: number;
  /**
   * Evidence collected so far on whether the candidate is worse than the
   * incumbent. A new holder of the duty that decides moves of traffic between
   * versions continues from it.
   */
  readonly proof?: readonly RouteProof[];
}

/** Evidence on one route, summed since the start of the move. */
export interface RouteProof {
  readonly route: string;
  /** `requests` if absent. */
  readonly measure?: EvidenceMeasure;
  readonly isOrder: boolean;
  readonly requests: number;
  readonly candidateRequests: number;
  /**
   * Log-likelihood ratios of an unchanged error rate to a doubled and to a
   * tripled error rate.
   */
  readonly errorsTwice: number;
  readonly errorsThrice: number;
  /**
   * Log-likelihood ratio of an unchanged error rate to one with a relevant
   * amount added, for routes that rarely fail.
   */
  readonly errorsAdded: number;
  /** Log-likelihood ratio of an unchanged latency to 1.5 times the latency. */
  readonly slower: number;
  /** Log-likelihood ratio of a current fault, maximized over its start time. */
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
  /** Move states that the sender has; a receiver keeps the newer per move. */
  moveStates: {readonly states: readonly MoveState[]};
}
