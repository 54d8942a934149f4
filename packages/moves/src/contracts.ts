/** Version moves: shares, judging, deadline, taking back. */
import type {Move} from '@skylarkfield/records';
import type {EvidenceSum, MoveState} from '@skylarkfield/protocol';

export type {MovePhase, MoveState, RouteProof} from '@skylarkfield/protocol';

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
  /**
   * The version for a request whose candidate version has no endpoint that can
   * take it: what it would have got without the move under way.
   */
  incumbentFor(service: string, incumbent: string): string;
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
