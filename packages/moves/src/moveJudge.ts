/** The part of version moves that only the duty's holder runs. */
import type {Clock, DecisionLog} from '@skylarkfield/base';
import type {MoveJudge} from './contracts.js';

export interface MoveJudgeOptions {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/** First share of traffic that a candidate gets. */
const FIRST_SHARE = 0.01;

/**
 * Makes the judge of all moves.
 *
 * @example
 * const judge = createMoveJudge({clock, decisions});
 * const next = judge.advance(move, state, clock.wall());
 */
export function createMoveJudge({decisions}: MoveJudgeOptions): MoveJudge {
  const cuts = new Map<string, string>();
  return {
    addEvidence() {},
    reportCut(move, why) {
      cuts.set(move, why);
    },
    advance(move, state, wallMs) {
      const why = cuts.get(move.name);
      if (state?.phase === 'taken-back') {
        return state;
      }
      const base = {
        move: move.name,
        orderShare: 0,
        confidence: 0,
        changedAt: wallMs,
      };
      if (why !== undefined || wallMs >= move.deadline) {
        const reason = why ?? 'not proven by the deadline';
        decisions.note('moves', move.name, 'take back', reason);
        return {...base, phase: 'taken-back', share: 0, why: reason};
      }
      if (state !== undefined) {
        return state;
      }
      return {...base, phase: 'proving', share: FIRST_SHARE, why: 'started'};
    },
  };
}
