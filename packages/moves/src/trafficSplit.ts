/** The part of version moves that every entry runs: which version a request gets. */
import {
  emitter,
  hashFraction,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {Move} from '@skylarkfield/records';
import type {MoveState, TrafficSplit} from './contracts.js';

export interface TrafficSplitOptions {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/**
 * Makes the traffic split of one entry.
 *
 * @example
 * const split = createTrafficSplit({clock, decisions});
 * split.setMoves(configuration.list('move'));
 * const version = split.versionFor(request);
 */
export function createTrafficSplit({
  decisions,
}: TrafficSplitOptions): TrafficSplit {
  const moves = new Map<string, Move>();
  const states = new Map<string, MoveState>();
  const cuts = new Set<string>();
  const didCut = emitter<{move: string; why: string}>();

  return {
    setMoves(next) {
      moves.clear();
      for (const move of next) {
        moves.set(move.service, move);
      }
    },
    setStates(next) {
      for (const state of next) {
        states.set(state.move, state);
      }
    },
    versionFor({service, incumbent, session, isIdempotent}) {
      const move = moves.get(service);
      if (move === undefined || cuts.has(move.name)) {
        return incumbent;
      }
      const state = states.get(move.name);
      if (state === undefined) {
        return move.from;
      }
      const share = isIdempotent ? state.share : state.orderShare;
      const fraction = hashFraction(`${move.name}/${session}`);
      return fraction < share ? move.to : move.from;
    },
    observe() {},
    setAvailableVersions() {},
    applyCut(move, why) {
      if (cuts.has(move)) {
        return;
      }
      cuts.add(move);
      decisions.note('moves', move, 'cut share to 0', why);
    },
    takeEvidence: () => [],
    onDidCut: listener => didCut.event(({move, why}) => listener(move, why)),
    dump: () => ({
      moves: [...moves.values()],
      states: [...states.values()],
      cuts: [...cuts],
    }),
  };
}
