/**
 * When a candidate's share may grow: steps by the part of the move's time that
 * has passed and by what is proven, first on idempotent routes, then on orders.
 */
import type {Move} from '@skylarkfield/records';

/** What a step needs before it may be taken. */
type Requirement = 'nothing' | 'gross' | 'full';

interface Step {
  /** Share of traffic; unproven steps are bounded by the move's record. */
  readonly share: number;
  /** Part of the move's time that has to have passed. */
  readonly from: number;
  readonly needs: Requirement;
}

const STEPS: readonly Step[] = [
  {share: 0.01, from: 0, needs: 'nothing'},
  {share: 0.05, from: 0.04, needs: 'nothing'},
  {share: 0.1, from: 0.1, needs: 'nothing'},
  {share: 0.25, from: 0.18, needs: 'gross'},
  {share: 0.4, from: 0.45, needs: 'gross'},
  {share: 0.5, from: 0.86, needs: 'full'},
  {share: 0.9, from: 0.94, needs: 'full'},
];

/** Orders follow this much later, and only once idempotent routes are proven against gross faults. */
const ORDER_DELAY = 0.1;

/** The least share that only a proven candidate gets: the soak. */
export const SOAK_SHARE = 0.25;

/** Time before the deadline that is kept for taking back, as a part of the whole and its bounds. */
const RESERVE_FRACTION = 0.03;
const LEAST_RESERVE_MS = 20_000;
const MOST_RESERVE_MS = 600_000;
/** A move of seconds keeps this part at most: 3 of 12 s, for the last answers of the old version. */
const MOST_RESERVE_FRACTION = 0.25;

/**
 * Evidence asked for early on, and the least that is ever enough, as log-odds.
 * Below zero: versions that passed gross tests are good far more often than
 * not, so evidence that hardly speaks against one still leaves it likely good.
 */
const EARLY_ODDS = 3;
const LEAST_ODDS = -0.5;

/** Between these parts of the time the evidence asked for falls from the first to the last. */
const RELAX_FROM = 0.15;
const RELAX_UNTIL = 0.6;

/**
 * Wall-clock time at which a move has to be decided.
 *
 * @example
 * const isDue = clock.wall() >= decisionTime(move, state.startedAt);
 */
export function decisionTime(move: Move, startedAt: number): number {
  const span = move.deadline - startedAt;
  const wanted = Math.max(LEAST_RESERVE_MS, span * RESERVE_FRACTION);
  const most = Math.min(MOST_RESERVE_MS, span * MOST_RESERVE_FRACTION);
  return move.deadline - Math.min(wanted, most);
}

/**
 * Part of the move's time that has passed, 1 when it has to be decided.
 *
 * @example
 * const progress = progressOf(move, state.startedAt, clock.wall());
 */
export function progressOf(
  move: Move,
  startedAt: number,
  wallMs: number,
): number {
  const span = Math.max(1, decisionTime(move, startedAt) - startedAt);
  return Math.max(0, (wallMs - startedAt) / span);
}

/**
 * Log-odds that are enough at this part of the time. A quiet service cannot
 * prove as much as a busy one; less is asked as time passes, and the state says
 * how sure it is.
 *
 * @example
 * oddsNeeded(0); // 3
 */
export function oddsNeeded(progress: number): number {
  const passed = (progress - RELAX_FROM) / (RELAX_UNTIL - RELAX_FROM);
  const part = Math.min(1, Math.max(0, passed));
  return EARLY_ODDS + (LEAST_ODDS - EARLY_ODDS) * part;
}

/** Log-odds of one track of routes. */
export interface TrackOdds {
  readonly gross: number;
  readonly full: number;
}

/**
 * The share of idempotent routes.
 *
 * @example
 * const share = shareFor(move, progress, odds);
 */
export function shareFor(
  move: Move,
  progress: number,
  odds: TrackOdds,
): number {
  return highestStep(move, progress, progress, odds);
}

/**
 * The share of routes that run at most once.
 *
 * @example
 * const share = orderShareFor(move, progress, {share: 0.1, hasTraffic: true}, odds);
 */
export function orderShareFor(
  move: Move,
  progress: number,
  idempotent: {readonly share: number; readonly hasTraffic: boolean},
  odds: TrackOdds,
): number {
  if (idempotent.hasTraffic && idempotent.share < SOAK_SHARE) {
    return 0;
  }
  const delayed = idempotent.hasTraffic ? progress - ORDER_DELAY : progress;
  const share = highestStep(move, delayed, progress, odds);
  return idempotent.hasTraffic ? Math.min(share, idempotent.share) : share;
}

function highestStep(
  move: Move,
  passed: number,
  progress: number,
  odds: TrackOdds,
): number {
  let share = 0;
  for (const step of STEPS) {
    const isTime = step.share > SOAK_SHARE ? progress : passed;
    if (isTime < step.from) {
      break;
    }
    if (step.needs === 'nothing') {
      share = Math.min(step.share, move.maxUnprovenShare);
      continue;
    }
    if (odds[step.needs] < oddsNeeded(progress)) {
      break;
    }
    share = step.share;
  }
  return share;
}
