/** Version moves: shares, judging, deadline, taking back. */
import type {Move} from '@skylarkfield/records';
import type {EvidenceSum} from '@skylarkfield/protocol';

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

/** How one request went, as evidence. */
export interface Sample {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isError: boolean;
  readonly latencyMs: number;
  /** Requests in flight of the service relative to its limit, 0 to 1. */
  readonly loadFraction: number;
  /** False for calls that run at most once; true when absent. */
  readonly isIdempotent?: boolean;
}

/** The part of moves that every entry runs. */
export interface TrafficSplit {
  setMoves(moves: readonly Move[]): void;
  setStates(states: readonly MoveState[]): void;
  /**
   * The version for a request: the same on every entry for one session.
   * `incumbent` is the service's version when no move concerns it.
   */
  versionFor(request: {
    readonly service: string;
    readonly incumbent: string;
    readonly session: string;
    readonly isIdempotent: boolean;
  }): string;
  /** Notes how a request went; may cut the candidate at once. */
  observe(sample: Sample): void;
  /** Another entry has cut a candidate. */
  applyCut(move: string, why: string): void;
  /** Evidence since the last call, to share. */
  takeEvidence(): readonly {
    readonly move: string;
    readonly sums: readonly EvidenceSum[];
  }[];
  onDidCut(listener: (move: string, why: string) => void): {dispose(): void};
  /**
   * Versions of a service that have usable endpoints, once known: a candidate
   * without any gets no traffic, and that is no fault of it.
   */
  setAvailableVersions(service: string, versions: readonly string[]): void;
  dump(): unknown;
}

/** The part that only the duty's holder runs: steps, judging, deadline. */
export interface MoveJudge {
  /** Adds evidence that an entry shared. */
  addEvidence(move: string, sums: readonly EvidenceSum[]): void;
  /** An entry has cut the candidate: taken back, for good. */
  reportCut(move: string, why: string): void;
  /** The state that the move should have now; ends a window of evidence. */
  advance(move: Move, state: MoveState | undefined, wallMs: number): MoveState;
  /** Keeps the evidence of a move that another entry judges, to be ready to take over. */
  follow(move: Move, state: MoveState, wallMs: number): void;
  /** Drops what is kept of moves other than these. */
  keepOnly(moves: readonly string[]): void;
  dump(): unknown;
}
