/**
 * Schedule of a candidate's traffic share: steps that depend on the elapsed
 * fraction of the move's time and on the evidence, first for idempotent routes,
 * then for non-idempotent ones (orders).
 */
import type {Move} from '@skylarkfield/records';

/** Faults to exclude before a step: none, gross ones or all. */
type Requirement = 'nothing' | 'gross' | 'full';

interface Step {
  /** Share of traffic; bounded by `maxUnprovenShare` if nothing is required. */
  readonly share: number;
  /** Lower bound of the elapsed fraction of the move's time. */
  readonly minProgress: number;
  readonly requires: Requirement;
}

const STEPS: readonly Step[] = [
  {share: 0.01, minProgress: 0, requires: 'nothing'},
  {share: 0.05, minProgress: 0.04, requires: 'nothing'},
  {share: 0.1, minProgress: 0.1, requires: 'nothing'},
  {share: 0.25, minProgress: 0.18, requires: 'gross'},
  {share: 0.4, minProgress: 0.45, requires: 'gross'},
  {share: 0.5, minProgress: 0.86, requires: 'full'},
  {share: 0.9, minProgress: 0.94, requires: 'full'},
];

/** Progress by which orders lag idempotent routes, whose soak they await. */
const ORDER_DELAY_PROGRESS = 0.1;

/** Smallest share that requires evidence; the soak starts with it. */
export const SOAK_SHARE = 0.25;

/** Time reserved for a rollback: fraction of the move's time, and bounds. */
const RESERVE_FRACTION = 0.03;
const MIN_RESERVE_MS = 20_000;
const MAX_RESERVE_MS = 600_000;
/** For short moves: 3 of 12 s, for the old version's in-flight requests. */
const MAX_RESERVE_FRACTION = 0.25;

/**
 * Log-odds required at the start and at the end. The final value is negative
 * because versions without gross faults are good far more often than not, so
 * weak evidence against one still leaves it likely good.
 */
const INITIAL_REQUIRED_LOG_ODDS = 3;
const FINAL_REQUIRED_LOG_ODDS = -0.5;

/** Progress range in which the required log-odds fall linearly. */
const RELAX_FROM_PROGRESS = 0.15;
const RELAX_UNTIL_PROGRESS = 0.6;

/**
 * Returns the wall-clock time at which a move has to be decided.
 *
 * @example
 * const isDue = clock.wall() >= decisionTime(move, state.startedAt);
 */
export function decisionTime(move: Move, startedAt: number): number {
  const durationMs = move.deadline - startedAt;
  const reserveMs = Math.max(MIN_RESERVE_MS, durationMs * RESERVE_FRACTION);
  const maxReserveMs = Math.min(
    MAX_RESERVE_MS,
    durationMs * MAX_RESERVE_FRACTION,
  );
  return move.deadline - Math.min(reserveMs, maxReserveMs);
}

/**
 * Returns the elapsed fraction of the move's time, 1 when it has to be decided.
 *
 * @example
 * const progress = progressOf(move, state.startedAt, clock.wall());
 */
export function progressOf(
  move: Move,
  startedAt: number,
  wallMs: number,
): number {
  const durationMs = Math.max(1, decisionTime(move, startedAt) - startedAt);
  return Math.max(0, (wallMs - startedAt) / durationMs);
}

/**
 * Returns the log-odds required at the given progress. They fall over time,
 * since a service with little traffic yields less evidence; the confidence is
 * reported in the move's state.
 *
 * @example
 * requiredLogOdds(0); // 3
 */
export function requiredLogOdds(progress: number): number {
  const elapsedFraction =
    (progress - RELAX_FROM_PROGRESS) /
    (RELAX_UNTIL_PROGRESS - RELAX_FROM_PROGRESS);
  const relaxation = Math.min(1, Math.max(0, elapsedFraction));
  return (
    INITIAL_REQUIRED_LOG_ODDS +
    (FINAL_REQUIRED_LOG_ODDS - INITIAL_REQUIRED_LOG_ODDS) * relaxation
  );
}

/** Log-odds of a good candidate on (non-)idempotent routes, by fault type. */
export interface RouteClassLogOdds {
  readonly gross: number;
  readonly full: number;
}

/**
 * Returns the candidate's share on idempotent routes.
 *
 * @example
 * const share = shareFor(move, progress, logOdds);
 */
export function shareFor(
  move: Move,
  progress: number,
  logOdds: RouteClassLogOdds,
): number {
  return highestAllowedShare(move, progress, progress, logOdds);
}

/**
 * Returns the candidate's share on non-idempotent routes.
 *
 * @example
 * const share = orderShareFor(move, progress, {share: 0.1, hasTraffic: true}, logOdds);
 */
export function orderShareFor(
  move: Move,
  progress: number,
  idempotentRoutes: {readonly share: number; readonly hasTraffic: boolean},
  logOdds: RouteClassLogOdds,
): number {
  if (idempotentRoutes.hasTraffic && idempotentRoutes.share < SOAK_SHARE) {
    return 0;
  }
  const delayedProgress = idempotentRoutes.hasTraffic
    ? progress - ORDER_DELAY_PROGRESS
    : progress;
  const share = highestAllowedShare(move, delayedProgress, progress, logOdds);
  return idempotentRoutes.hasTraffic
    ? Math.min(share, idempotentRoutes.share)
    : share;
}

function highestAllowedShare(
  move: Move,
  delayedProgress: number,
  progress: number,
  logOdds: RouteClassLogOdds,
): number {
  let share = 0;
  for (const step of STEPS) {
    const stepProgress = step.share > SOAK_SHARE ? progress : delayedProgress;
    if (stepProgress < step.minProgress) {
      break;
    }
    if (step.requires === 'nothing') {
      share = Math.min(step.share, move.maxUnprovenShare);
      continue;
    }
    if (logOdds[step.requires] < requiredLogOdds(progress)) {
      break;
    }
    share = step.share;
  }
  return share;
}
