/**
 * Selects the version of each request during version moves; runs on every
 * entry.
 */
import {
  emitter,
  hashFraction,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {Move} from '@skylarkfield/records';
import type {MoveState, TrafficSplit} from './contracts.js';
import {createLocalEvidence, type LocalEvidence} from './localEvidence.js';
import {
  activeMove,
  versionAfterMoves,
  withStates,
  type MoveWithState,
} from './moveSelection.js';

export interface TrafficSplitOptions {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/** Cut of a candidate, valid only for that version. */
interface Cut {
  readonly to: string;
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
  const didCut = emitter<{move: string; why: string}>();
  let moves: readonly Move[] = [];
  let sessionlessCount = 0;
  let movesByService = new Map<string, readonly MoveWithState[]>();

  function groupMovesByService() {
    movesByService = new Map();
    for (const service of new Set(moves.map(move => move.service))) {
      const ownMoves = moves.filter(move => move.service === service);
      movesByService.set(
        service,
        withStates(ownMoves, name => states.get(name)),
      );
    }
  }

  function activeMoveOf(service: string): MoveWithState | undefined {
    return activeMove(movesByService.get(service) ?? []);
  }

  function isCut(move: Move): boolean {
    const isBeforeDeadline = clock.wall() < move.deadline;
    return isBeforeDeadline && cuts.get(move.name)?.to === move.to;
  }

  /** Returns whether this entry may send traffic to the candidate now. */
  function mayUseCandidate(
    {move, state}: MoveWithState,
    serving: string,
  ): boolean {
    if (state === undefined || move.from !== serving) {
      return false;
    }
    // An unfinished move past its deadline counts as rolled back, even while
    // the platform is unavailable.
    if (clock.wall() >= move.deadline || isCut(move)) {
      return false;
    }
    return availableVersions.get(move.service)?.has(move.to) ?? true;
  }

  function cut(move: Move, why: string) {
    cuts.set(move.name, {to: move.to, why});
    decisions.note('moves', move.name, 'cut share to 0', why);
  }

  function dropStaleCuts() {
    for (const [name, {to}] of cuts) {
      const move = moves.find(item => item.name === name);
      if (move?.to !== to) {
        cuts.delete(name);
        localEvidence.delete(name);
      }
    }
  }

  /** Returns whether to apply a state; a rollback is final for a candidate. */
  function isNewer(state: MoveState): boolean {
    const current = states.get(state.move);
    if (current === undefined) {
      return true;
    }
    if (current.phase === 'taken-back' && current.to === state.to) {
      return false;
    }
    return state.changedAt > current.changedAt;
  }

  /** Returns the version of requests that do not go to the candidate. */
  function servingVersion(
    ownMoves: readonly MoveWithState[],
    incumbent: string,
  ): string {
    // A finished move may still be rolled back until its deadline.
    const uncutMoves =
      cuts.size === 0 ? ownMoves : ownMoves.filter(({move}) => !isCut(move));
    return versionAfterMoves(incumbent, uncutMoves);
  }

  function localEvidenceFor(move: Move): LocalEvidence {
    let evidence = localEvidence.get(move.name);
    if (evidence === undefined) {
      evidence = createLocalEvidence(move, clock);
      localEvidence.set(move.name, evidence);
    }
    return evidence;
  }

  return {
    setMoves(next) {
      const previousMoves = new Map(moves.map(move => [move.name, move]));
      moves = next;
      for (const name of localEvidence.keys()) {
        const move = next.find(item => item.name === name);
        if (move?.to !== previousMoves.get(name)?.to) {
          localEvidence.delete(name);
        }
      }
      dropStaleCuts();
      groupMovesByService();
    },
    setStates(next) {
      for (const state of next) {
        if (!isNewer(state)) {
          continue;
        }
        const current = states.get(state.move);
        const hasSameShares =
          current?.share === state.share &&
          current.orderShare === state.orderShare;
        if (!hasSameShares) {
          localEvidence.get(state.move)?.clearWindow();
        }
        states.set(state.move, state);
      }
      groupMovesByService();
    },
    versionFor({service, incumbent, session, isIdempotent}) {
      const ownMoves = movesByService.get(service);
      if (ownMoves === undefined) {
        return incumbent;
      }
      const serving = servingVersion(ownMoves, incumbent);
      const active = activeMove(ownMoves);
      if (active === undefined || !mayUseCandidate(active, serving)) {
        return serving;
      }
      const {move, state} = active;
      const share = (isIdempotent ? state?.share : state?.orderShare) ?? 0;
      // An empty session would send all requests to the same version.
      const hashKey = session === '' ? `#${sessionlessCount++}` : session;
      const isCandidate = hashFraction(`${move.name}/${hashKey}`) < share;
      return isCandidate ? move.to : serving;
    },
    incumbentFor: (service, incumbent) =>
      servingVersion(movesByService.get(service) ?? [], incumbent),
    observe(sample) {
      const active = activeMoveOf(sample.service);
      if (active === undefined || cuts.has(active.move.name)) {
        return;
      }
      const {move} = active;
      if (sample.version !== move.from && sample.version !== move.to) {
        return;
      }
      const why = localEvidenceFor(move).observe(sample);
      if (why !== undefined) {
        cut(move, why);
        didCut.fire({move: move.name, why});
      }
    },
    applyCut(name, why) {
      const move = moves.find(item => item.name === name);
      if (move !== undefined && cuts.get(name)?.to !== move.to) {
        cut(move, why);
      }
    },
    takeEvidence: () =>
      [...localEvidence]
        .map(([move, evidence]) => ({move, sums: evidence.takeSums()}))
        .filter(({sums}) => sums.length > 0),
    onDidCut: listener => didCut.event(({move, why}) => listener(move, why)),
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
