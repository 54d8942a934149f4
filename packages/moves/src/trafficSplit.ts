/**
 * Selects the version of each request during version moves; runs on every
 * entry.
 */
import {
  createEmitter,
  hashFraction,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {Move} from '@skylarkfield/records';
import type {MoveState, TrafficSplit} from './contracts.js';
import {outranks} from './knownStates.js';
import {createLocalEvidence, type LocalEvidence} from './localEvidence.js';
import {
  selectActiveMove,
  versionAfterMoves,
  pairWithStates,
  type MoveWithState,
} from './moveSelection.js';

export interface TrafficSplitOptions {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/** Cut of a candidate; void once the move's record names another candidate. */
interface Cut {
  readonly candidateVersion: string;
  readonly why: string;
}

/**
 * Creates the traffic split of one entry.
 *
 * @example
 * const split = createTrafficSplit({clock, decisions});
 * split.setMoves(configuration.list('move'));
 * const version = split.versionFor(request);
 */
export function createTrafficSplit(options: TrafficSplitOptions): TrafficSplit {
  const {clock, decisions} = options;
  const states = new Map<string, MoveState>();
  const cuts = new Map<string, Cut>();
  const localEvidence = new Map<string, LocalEvidence>();
  const availableVersions = new Map<string, ReadonlySet<string>>();
  const cutEmitter = createEmitter<{move: string; why: string}>();
  let moves: readonly Move[] = [];
  let sessionlessCount = 0;
  let movesByService = new Map<string, readonly MoveWithState[]>();

  function groupMovesByService() {
    movesByService = new Map();
    for (const service of new Set(moves.map(move => move.service))) {
      const serviceMoves = moves.filter(move => move.service === service);
      movesByService.set(
        service,
        pairWithStates(serviceMoves, name => states.get(name)),
      );
    }
  }

  function activeMoveOf(service: string): MoveWithState | undefined {
    return selectActiveMove(movesByService.get(service) ?? []);
  }

  function isCut(move: Move): boolean {
    const isBeforeDeadline = clock.wall() < move.deadline;
    return (
      isBeforeDeadline && cuts.get(move.name)?.candidateVersion === move.to
    );
  }

  /** Returns whether this entry may send traffic to the candidate now. */
  function mayUseCandidate(
    {move, state}: MoveWithState,
    servingVersion: string,
  ): boolean {
    if (state === undefined || move.from !== servingVersion) {
      return false;
    }
    // An unfinished move past its deadline counts as rolled back, even while
    // the platform is unavailable.
    if (clock.wall() >= move.deadline || isCut(move)) {
      return false;
    }
    return availableVersions.get(move.service)?.has(move.to) ?? true;
  }

  function cutCandidate(move: Move, why: string) {
    cuts.set(move.name, {candidateVersion: move.to, why});
    decisions.recordDecision('moves', move.name, 'cut share to 0', why);
  }

  function dropStaleCuts() {
    for (const [name, {candidateVersion}] of cuts) {
      const move = moves.find(item => item.name === name);
      if (move?.to !== candidateVersion) {
        cuts.delete(name);
        localEvidence.delete(name);
      }
    }
  }

  /** Returns the version of requests that do not go to the candidate. */
  function resolveServingVersion(
    serviceMoves: readonly MoveWithState[],
    incumbent: string,
  ): string {
    // A cut rolls back a finished move too, until the move's deadline.
    const uncutMoves =
      cuts.size === 0
        ? serviceMoves
        : serviceMoves.filter(({move}) => !isCut(move));
    return versionAfterMoves(incumbent, uncutMoves);
  }

  function getOrCreateLocalEvidence(move: Move): LocalEvidence {
    let evidence = localEvidence.get(move.name);
    if (evidence === undefined) {
      evidence = createLocalEvidence(move, clock);
      localEvidence.set(move.name, evidence);
    }
    return evidence;
  }

  return {
    setMoves(nextMoves) {
      const previousMoves = new Map(moves.map(move => [move.name, move]));
      moves = nextMoves;
      for (const name of localEvidence.keys()) {
        const move = nextMoves.find(item => item.name === name);
        if (move?.to !== previousMoves.get(name)?.to) {
          localEvidence.delete(name);
        }
      }
      dropStaleCuts();
      groupMovesByService();
    },
    setStates(receivedStates) {
      for (const state of receivedStates) {
        const currentState = states.get(state.move);
        if (!outranks(state, currentState)) {
          continue;
        }
        const hasSameShares =
          currentState?.share === state.share &&
          currentState.orderShare === state.orderShare;
        if (!hasSameShares) {
          localEvidence.get(state.move)?.clearWindow();
        }
        states.set(state.move, state);
      }
      groupMovesByService();
    },
    versionFor({service, incumbent, session, isIdempotent}) {
      const serviceMoves = movesByService.get(service);
      if (serviceMoves === undefined) {
        return incumbent;
      }
      const servingVersion = resolveServingVersion(serviceMoves, incumbent);
      const activeMove = selectActiveMove(serviceMoves);
      if (
        activeMove === undefined ||
        !mayUseCandidate(activeMove, servingVersion)
      ) {
        return servingVersion;
      }
      const {move, state} = activeMove;
      const share = (isIdempotent ? state?.share : state?.orderShare) ?? 0;
      // Requests without a session are counted to vary their hash key. With an
      // empty key they would all go to the same version.
      const hashKey = session === '' ? `#${sessionlessCount++}` : session;
      const isCandidate = hashFraction(`${move.name}/${hashKey}`) < share;
      return isCandidate ? move.to : servingVersion;
    },
    incumbentFor: (service, incumbent) =>
      resolveServingVersion(movesByService.get(service) ?? [], incumbent),
    recordSample(sample) {
      const activeMove = activeMoveOf(sample.service);
      if (activeMove === undefined || cuts.has(activeMove.move.name)) {
        return;
      }
      const {move} = activeMove;
      if (sample.version !== move.from && sample.version !== move.to) {
        return;
      }
      const why = getOrCreateLocalEvidence(move).recordSample(sample);
      if (why !== undefined) {
        cutCandidate(move, why);
        cutEmitter.fire({move: move.name, why});
      }
    },
    applyCut(moveName, why) {
      const move = moves.find(item => item.name === moveName);
      if (
        move !== undefined &&
        cuts.get(moveName)?.candidateVersion !== move.to
      ) {
        cutCandidate(move, why);
      }
    },
    takeEvidence: () =>
      [...localEvidence]
        .map(([move, evidence]) => ({move, sums: evidence.takeSums()}))
        .filter(({sums}) => sums.length > 0),
    onDidCut: listener =>
      cutEmitter.event(({move, why}) => listener(move, why)),
    setAvailableVersions(service, versions) {
      availableVersions.set(service, new Set(versions));
    },
    dump: () => ({
      moves: moves.map(move => ({
        ...move,
        state: states.get(move.name),
        cut: cuts.get(move.name)?.why,
      })),
      available: [...availableVersions].map(([service, versions]) => ({
        service,
        versions: [...versions],
      })),
    }),
  };
}
