/**
 * Schedule of a candidate's traffic share. The steps depend on the elapsed
 * fraction of the move's time and on the evidence. Idempotent routes take a
 * step first, non-idempotent routes (orders) follow.
 */
import type {Move} from '@skylarkfield/records';

/** Faults to be excluded before a step: none, gross ones or all faults. */
type EvidenceRequirement = 'nothing' | 'gross' | 'full';

interface Step {
  /**
   * Candidate's share of the traffic. A step that requires no evidence is also
   * bounded by the move's `maxUnprovenShare`.
   */
  readonly share: number;
  /** Lower bound of the elapsed fraction of the move's time. */
  readonly minProgress: number;
  readonly requires: EvidenceRequirement;
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

/**
 * Fraction of the move's time by which orders trail idempotent routes, so that
 * idempotent routes are exposed to the new version first.
 */
const ORDER_DELAY_FRACTION = 0.1;

/**
 * Smallest share that requires evidence; a candidate with this share or a
 * larger one is soaking.
 */
export const SOAK_SHARE = 0.25;

/**
 * Time reserved for a rollback before the deadline: fraction of the move's
 * duration, with lower and upper bounds.
 */
const ROLLBACK_RESERVE_FRACTION = 0.03;
const MIN_ROLLBACK_RESERVE_MS = 20_000;
const MAX_ROLLBACK_RESERVE_MS = 600_000;
/**
 * Upper bound for short moves, as a fraction of the duration: a move of 12 s
 * reserves 3 s for in-flight requests of the old version.
 */
const MAX_ROLLBACK_RESERVE_FRACTION = 0.25;

/**
 * Log-odds of a good candidate that are required at the start and at the end of
 * a move. The final value is negative because versions without gross faults are
 * good far more often than not: despite weak evidence against a version, the
 * version is still likely good.
 */
const INITIAL_REQUIRED_LOG_ODDS = 3;
const FINAL_REQUIRED_LOG_ODDS = -0.5;

/** Range of progress in which the required log-odds fall linearly. */
const RELAX_FROM_PROGRESS = 0.15;
const RELAX_UNTIL_PROGRESS = 0.6;

/**
 * Returns the wall-clock time, in milliseconds, at which a move has to be
 * finished or rolled back.
 *
 * @example
 * const isDue = clock.wall() >= decisionTime(move, state.startedAt);
 */
export function decisionTime(move: Move, startedAt: number): number {
  const durationMs = move.deadline - startedAt;
  const reserveMs = Math.max(
    MIN_ROLLBACK_RESERVE_MS,
    durationMs * ROLLBACK_RESERVE_FRACTION,
  );
  const maxReserveMs = Math.min(
    MAX_ROLLBACK_RESERVE_MS,
    durationMs * MAX_ROLLBACK_RESERVE_FRACTION,
  );
  return move.deadline - Math.min(reserveMs, maxReserveMs);
}

/**
 * Returns the fraction of the time from the start to the decision time that has
 * elapsed; 1 or more once the move has to be decided.
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
 * Returns the log-odds required at the given progress. The requirement falls
 * over time, since a service with little traffic yields less evidence; the
 * confidence is reported in the move's state.
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

/**
 * Log-odds that the candidate is good on idempotent or on non-idempotent
 * routes, by the faults that the evidence is to exclude.
 */
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
 * const idempotentRoutes = {share: 0.1, hasTraffic: true};
 * const share = orderShareFor(move, progress, idempotentRoutes, logOdds);
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
    ? progress - ORDER_DELAY_FRACTION
    : progress;
  const share = highestAllowedShare(move, delayedProgress, progress, logOdds);
  return idempotentRoutes.hasTraffic
    ? Math.min(share, idempotentRoutes.share)
    : share;
}

/**
 * Returns the share of the last step that is allowed. Steps up to the soak
 * share depend on `delayedProgress`, larger steps on `progress`.
 */
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
