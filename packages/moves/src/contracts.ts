/**
 * Interfaces of version moves: rollouts of a candidate version with rollback
 * and deadline.
 */
import type {Move} from '@skylarkfield/records';
import type {EvidenceSum, MoveState} from '@skylarkfield/protocol';

export type {MovePhase, MoveState, RouteProof} from '@skylarkfield/protocol';

/** Outcome of one request, as evidence about its version. */
export interface RequestSample {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isError: boolean;
  readonly latencyMs: number;
  /** In-flight requests of the service relative to its limit, 0 to 1. */
  readonly loadFraction: number;
  /** False for non-idempotent requests; true when absent. */
  readonly isIdempotent?: boolean;
}

/** Selects each request's version and detects faults; runs on every entry. */
export interface TrafficSplit {
  setMoves(moves: readonly Move[]): void;
  setStates(states: readonly MoveState[]): void;
  /**
   * Returns the version for a request, which is the same on every entry for one
   * session. `incumbent` is the version in the service's record.
   */
  versionFor(request: {
    readonly service: string;
    readonly incumbent: string;
    readonly session: string;
    readonly isIdempotent: boolean;
  }): string;
  /**
   * Returns the version for a request without the move in progress; the
   * fallback when no endpoint of the candidate can accept the request.
   */
  incumbentFor(service: string, incumbent: string): string;
  /** Records a request; cuts the candidate's share to 0 on a fault. */
  observe(sample: RequestSample): void;
  /** Applies the cut of a candidate by another entry. */
  applyCut(move: string, why: string): void;
  /** Returns and clears the evidence since the last call, for broadcast. */
  takeEvidence(): readonly {
    readonly move: string;
    readonly sums: readonly EvidenceSum[];
  }[];
  onDidCut(listener: (move: string, why: string) => void): {dispose(): void};
  /**
   * Sets the versions of a service that have usable endpoints; all are assumed
   * available until set. A candidate without any gets no traffic and no fault.
   */
  setAvailableVersions(service: string, versions: readonly string[]): void;
  dump(): unknown;
}

/** Decides the states of moves; only the duty's holder advances them. */
export interface MoveController {
  /** Adds evidence that this entry or a peer collected. */
  addEvidence(move: string, sums: readonly EvidenceSum[]): void;
  /** Records a cut; the next advance rolls the move back permanently. */
  reportCut(move: string, why: string): void;
  /** Evaluates the evidence; returns the new state or an unchanged `state`. */
  advance(move: Move, state: MoveState | undefined, wallMs: number): MoveState;
  /** Evaluates a move that another entry advances, for a later takeover. */
  track(move: Move, state: MoveState, wallMs: number): void;
  /** Drops the evidence and cuts of all other moves. */
  retainMoves(moves: readonly string[]): void;
  dump(): unknown;
}
