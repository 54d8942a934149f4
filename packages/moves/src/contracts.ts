/**
 * Interfaces of version moves: rollouts of a candidate version with rollback
 * and deadline.
 */
import type {Move} from '@skylarkfield/records';
import type {
  EvidenceMeasure,
  EvidenceSum,
  MoveState,
} from '@skylarkfield/protocol';

export type {MovePhase, MoveState, RouteProof} from '@skylarkfield/protocol';

/** Outcome of one request, as evidence about the version that handled it. */
export interface RequestSample {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /**
   * `requests` if absent. A sample of the event interval of a stream has the
   * interval as its latency and is no error.
   */
  readonly measure?: EvidenceMeasure;
  readonly isError: boolean;
  readonly latencyMs: number;
  /** In-flight requests of the service as a fraction of its limit, 0 to 1. */
  readonly loadFraction: number;
  /** False for non-idempotent requests; true when absent. */
  readonly isIdempotent?: boolean;
}

/**
 * Selects the version of each request and detects faults of the candidate; runs
 * on every entry.
 */
export interface TrafficSplit {
  setMoves(moves: readonly Move[]): void;
  setStates(states: readonly MoveState[]): void;
  /**
   * Returns the version that handles a request. All entries return the same
   * version for the requests of one session. `incumbent` is the version in the
   * service's record.
   */
  versionFor(request: {
    readonly service: string;
    readonly incumbent: string;
    readonly session: string;
    readonly isIdempotent: boolean;
  }): string;
  /**
   * Returns the version that would handle a request without the move in
   * progress. Callers fall back to this version when no endpoint of the
   * candidate can accept the request.
   */
  incumbentFor(service: string, incumbent: string): string;
  /**
   * Records a finished request or the event interval of a stream; cuts the
   * candidate's share to 0 once the evidence shows a fault of the candidate.
   */
  recordSample(sample: RequestSample): void;
  /** Applies a cut of the candidate that another entry reported. */
  applyCut(moveName: string, why: string): void;
  /**
   * Returns the evidence collected since the last call, for broadcast to peers,
   * and clears it.
   */
  takeEvidence(): readonly {
    readonly move: string;
    readonly sums: readonly EvidenceSum[];
  }[];
  onDidCut(listener: (moveName: string, why: string) => void): {
    dispose(): void;
  };
  /**
   * Sets the versions of a service that have usable endpoints; until the first
   * call, all versions count as available. A candidate without usable endpoints
   * gets no traffic, and their absence is not treated as a fault.
   */
  setAvailableVersions(service: string, versions: readonly string[]): void;
  dump(): unknown;
}

/**
 * Decides the states of moves; only the holder of the duty `moves` calls
 * `advance`.
 */
export interface MoveController {
  /** Adds evidence that this entry or a peer collected. */
  addEvidence(moveName: string, sums: readonly EvidenceSum[]): void;
  /** Records a cut; the next `advance` rolls the move back permanently. */
  reportCut(moveName: string, why: string): void;
  /**
   * Evaluates the evidence and returns the next state, or `state` itself if the
   * move does not change.
   */
  advance(move: Move, state: MoveState | undefined, wallMs: number): MoveState;
  /**
   * Evaluates the evidence of a move that another entry advances, so that this
   * entry can take over the duty.
   */
  track(move: Move, state: MoveState, wallMs: number): void;
  /** Drops the evidence and cuts of all moves except the named ones. */
  retainMoves(moveNames: readonly string[]): void;
  dump(): unknown;
}
