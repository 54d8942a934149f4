/** The part of version moves that every entry runs: which version a request gets. */
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
  type StatedMove,
} from './moveChoice.js';

export interface TrafficSplitOptions {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/** A cut holds for the candidate version that it was made for. */
interface Cut {
  readonly to: string;
  readonly why: string;
}

/**
 * Makes the traffic split of one entry.
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
  const evidence = new Map<string, LocalEvidence>();
  const available = new Map<string, ReadonlySet<string>>();
  const didCut = emitter<{move: string; why: string}>();
  let moves: readonly Move[] = [];
  let sessionless = 0;
  let byService = new Map<string, readonly StatedMove[]>();

  function rebuild() {
    byService = new Map();
    for (const service of new Set(moves.map(move => move.service))) {
      const own = moves.filter(move => move.service === service);
      byService.set(
        service,
        withStates(own, name => states.get(name)),
      );
    }
  }

  function underWay(service: string): StatedMove | undefined {
    return activeMove(byService.get(service) ?? []);
  }

  function isCut(move: Move): boolean {
    const isBefore = clock.wall() < move.deadline;
    return isBefore && cuts.get(move.name)?.to === move.to;
  }

  /** Whether the candidate may get traffic here and now. */
  function isOpen({move, state}: StatedMove, serving: string): boolean {
    if (state === undefined || move.from !== serving) {
      return false;
    }
    // Past the deadline without word that it finished, a move counts as taken
    // back here, also when the platform cannot be asked.
    if (clock.wall() >= move.deadline || isCut(move)) {
      return false;
    }
    return available.get(move.service)?.has(move.to) ?? true;
  }

  function cut(move: Move, why: string) {
    cuts.set(move.name, {to: move.to, why});
    decisions.note('moves', move.name, 'cut share to 0', why);
  }

  function dropOldCuts() {
    for (const [name, {to}] of cuts) {
      const move = moves.find(candidate => candidate.name === name);
      if (move?.to !== to) {
        cuts.delete(name);
        evidence.delete(name);
      }
    }
  }

  /** A state that this entry may follow: taken back is final, and nothing goes back in time. */
  function isNewer(state: MoveState): boolean {
    const known = states.get(state.move);
    if (known === undefined) {
      return true;
    }
    if (known.phase === 'taken-back' && known.to === state.to) {
      return false;
    }
    return state.changedAt > known.changedAt;
  }

  /** The version that requests get which no candidate takes. */
  function servingVersion(
    own: readonly StatedMove[],
    incumbent: string,
  ): string {
    // A cut of a finished move holds until the deadline: its holder may yet take it back.
    const uncut = cuts.size === 0 ? own : own.filter(({move}) => !isCut(move));
    return versionAfterMoves(incumbent, uncut);
  }

  function evidenceOf(move: Move): LocalEvidence {
    let local = evidence.get(move.name);
    if (local === undefined) {
      local = createLocalEvidence(move, clock);
      evidence.set(move.name, local);
    }
    return local;
  }

  return {
    setMoves(next) {
      const before = new Map(moves.map(move => [move.name, move]));
      moves = next;
      for (const name of evidence.keys()) {
        const move = next.find(candidate => candidate.name === name);
        if (move?.to !== before.get(name)?.to) {
          evidence.delete(name);
        }
      }
      dropOldCuts();
      rebuild();
    },
    setStates(next) {
      for (const state of next) {
        if (!isNewer(state)) {
          continue;
        }
        const known = states.get(state.move);
        const isShareSame =
          known?.share === state.share && known.orderShare === state.orderShare;
        if (!isShareSame) {
          evidence.get(state.move)?.startOver();
        }
        states.set(state.move, state);
      }
      rebuild();
    },
    versionFor({service, incumbent, session, isIdempotent}) {
      const own = byService.get(service);
      if (own === undefined) {
        return incumbent;
      }
      const serving = servingVersion(own, incumbent);
      const active = activeMove(own);
      if (active === undefined || !isOpen(active, serving)) {
        return serving;
      }
      const {move, state} = active;
      const share = (isIdempotent ? state?.share : state?.orderShare) ?? 0;
      // Requests without a session would all hash alike, and all go one way.
      const hashed = session === '' ? `#${sessionless++}` : session;
      const isCandidate = hashFraction(`${move.name}/${hashed}`) < share;
      return isCandidate ? move.to : serving;
    },
    incumbentFor: (service, incumbent) =>
      servingVersion(byService.get(service) ?? [], incumbent),
    observe(sample) {
      const active = underWay(sample.service);
      if (active === undefined || cuts.has(active.move.name)) {
        return;
      }
      const {move} = active;
      if (sample.version !== move.from && sample.version !== move.to) {
        return;
      }
      const why = evidenceOf(move).observe(sample);
      if (why !== undefined) {
        cut(move, why);
        didCut.fire({move: move.name, why});
      }
    },
    applyCut(name, why) {
      const move = moves.find(candidate => candidate.name === name);
      if (move !== undefined && cuts.get(name)?.to !== move.to) {
        cut(move, why);
      }
    },
    takeEvidence: () =>
      [...evidence]
        .map(([move, local]) => ({move, sums: local.take()}))
        .filter(({sums}) => sums.length > 0),
    onDidCut: listener => didCut.event(({move, why}) => listener(move, why)),
    setAvailableVersions(service, versions) {
      available.set(service, new Set(versions));
    },
    dump: () => ({
      moves: moves.map(move => ({
        ...move,
        state: states.get(move.name),
        cut: cuts.get(move.name)?.why,
      })),
      available: [...available].map(([service, versions]) => ({
        service,
        versions: [...versions],
      })),
    }),
  };
}
