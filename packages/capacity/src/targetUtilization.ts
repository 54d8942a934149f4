/** Target utilization of engines, from the latency goals of their routes. */
import type {EngineEstimate, LatencyTargets} from './contracts.js';

/** Target utilization of an endpoint, 0 to 1. */
export interface TargetUtilization {
  /** In normal operation. */
  readonly usual: number;
  /** For the seconds until lost endpoints are replaced. */
  readonly brief: number;
}

/**
 * Fraction of the utilization limit that is planned for: work arrives in
 * bursts, and an endpoint takes seconds to start.
 */
const USUAL_FRACTION = 0.65;

/** The same after a loss: nearer to the limit, until an endpoint starts. */
const BRIEF_FRACTION = 0.75;

/**
 * Bounds of the utilization limit. Below, more endpoints don't help to meet the
 * goals; above, every burst causes a queue.
 */
const MIN_UTILIZATION = 0.3;
const MAX_UTILIZATION = 0.85;

/** 95th percentile of the wait as a multiple of the mean. */
const P95_WAIT_FACTOR = 3;

/** Factor by which bursty arrivals wait longer than evenly spread ones. */
const BURST_WAIT_FACTOR = 2;

/** Time of a long prompt as a multiple of the mean prompt's. */
const LONG_PROMPT_FACTOR = 2;

const SECOND_MS = 1_000;

/**
 * Returns the fraction of an endpoint's time that may be spent on prompts.
 *
 * Two things bound it. A prompt queues behind others, and its first event must
 * arrive within the goal. And prompts stall all running answers, of which long
 * ones must still finish before their callers time out.
 *
 * @example
 * const {usual} = targetUtilization(figures, [{goalMs: 800, timeoutMs: 10_000}]); // 0.4
 */
export function targetUtilization(
  figures: EngineEstimate,
  latencyGoals: readonly LatencyTargets[],
): TargetUtilization {
  const unbounded = Math.min(
    maxUtilizationForGoals(figures, latencyGoals),
    maxUtilizationForPace(figures),
  );
  const limit = Math.min(MAX_UTILIZATION, Math.max(MIN_UTILIZATION, unbounded));
  return {usual: limit * USUAL_FRACTION, brief: limit * BRIEF_FRACTION};
}

/** Inverts a queue's mean wait, u / (1 - u) mean prompts at utilization u. */
function maxUtilizationForGoals(
  {usualPromptMs}: EngineEstimate,
  latencyGoals: readonly LatencyTargets[],
): number {
  const goalsMs = latencyGoals
    .map(({goalMs}) => goalMs)
    .filter(goal => goal > 0);
  if (goalsMs.length === 0 || usualPromptMs <= 0) {
    return 1;
  }
  const maxWaitMs = Math.min(...goalsMs) - LONG_PROMPT_FACTOR * usualPromptMs;
  const meanWaitRatio =
    maxWaitMs / (P95_WAIT_FACTOR * BURST_WAIT_FACTOR * usualPromptMs);
  return meanWaitRatio <= 0 ? 0 : meanWaitRatio / (1 + meanWaitRatio);
}

/** At utilization u by prompts a step takes stepMs / (1 - u). */
function maxUtilizationForPace({stepMs, neededPace}: EngineEstimate): number {
  return neededPace <= 0 ? 1 : 1 - (stepMs * neededPace) / SECOND_MS;
}
