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
  dump(): unknown;
}

/** The part that only the duty's holder runs: steps, judging, deadline. */
export interface MoveJudge {
  /** Adds evidence that an entry shared. */
  addEvidence(move: string, sums: readonly EvidenceSum[]): void;
  /** An entry has cut the candidate: taken back, for good. */
  reportCut(move: string, why: string): void;
  /** The state that the move should have now. */
  advance(move: Move, state: MoveState | undefined, wallMs: number): MoveState;
}
