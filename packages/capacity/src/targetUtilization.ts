/** Target utilization of engines, from the latency targets of their routes. */
import type {EngineEstimate, LatencyTargets} from './contracts.js';

/** Fraction of an endpoint's time to be spent on prompts, 0 to 1. */
export interface TargetUtilization {
  /** Target in normal operation. */
  readonly usual: number;
  /** Target for the seconds until lost endpoints are replaced. */
  readonly brief: number;
}

/**
 * Fraction of the utilization limit to plan for in normal operation: work
 * arrives in bursts, and an endpoint takes seconds to start.
 */
const USUAL_FRACTION = 0.65;

/** Fraction of the limit to plan for until lost endpoints are replaced. */
const BRIEF_FRACTION = 0.75;

/**
 * Bounds of the utilization limit. Below the lower bound, more endpoints do not
 * help to meet the targets; above the upper bound, every burst causes a queue.
 */
const MIN_UTILIZATION = 0.3;
const MAX_UTILIZATION = 0.85;

/** 95th percentile of a prompt's wait, as a multiple of the mean wait. */
const P95_WAIT_FACTOR = 3;

/** Factor by which prompts wait longer if they arrive in bursts. */
const BURST_WAIT_FACTOR = 2;

/** Processing time of a long prompt, as a multiple of the mean prompt's. */
const LONG_PROMPT_FACTOR = 2;

const SECOND_MS = 1_000;

/**
 * Returns the fraction of an endpoint's time that should be spent on prompts.
 *
 * Two limits apply. A prompt queues behind earlier prompts, and the first event
 * of its answer must arrive within the latency target. And processing a prompt
 * stalls all running answers, and long answers must still finish before their
 * callers time out.
 *
 * @example
 * const {usual} = targetUtilization(estimate, [{goalMs: 800, timeoutMs: 10_000}]); // 0.4
 */
export function targetUtilization(
  estimate: EngineEstimate,
  latencyTargets: readonly LatencyTargets[],
): TargetUtilization {
  const unboundedLimit = Math.min(
    maxUtilizationForTargets(estimate, latencyTargets),
    maxUtilizationForTokenRate(estimate),
  );
  const limit = Math.min(
    MAX_UTILIZATION,
    Math.max(MIN_UTILIZATION, unboundedLimit),
  );
  return {usual: limit * USUAL_FRACTION, brief: limit * BRIEF_FRACTION};
}

/**
 * Returns the highest utilization u at which prompts meet their latency
 * targets. The mean wait is u / (1 - u) times the mean prompt time.
 */
function maxUtilizationForTargets(
  {usualPromptMs}: EngineEstimate,
  latencyTargets: readonly LatencyTargets[],
): number {
  const targetsMs = latencyTargets
    .map(({goalMs}) => goalMs)
    .filter(targetMs => targetMs > 0);
  if (targetsMs.length === 0 || usualPromptMs <= 0) {
    return 1;
  }
  const maxWaitMs = Math.min(...targetsMs) - LONG_PROMPT_FACTOR * usualPromptMs;
  const meanWaitRatio =
    maxWaitMs / (P95_WAIT_FACTOR * BURST_WAIT_FACTOR * usualPromptMs);
  return meanWaitRatio <= 0 ? 0 : meanWaitRatio / (1 + meanWaitRatio);
}

/**
 * Returns the highest utilization u at which answers reach the needed token
 * rate. A decode step takes stepMs / (1 - u) if prompts take a fraction u of
 * the time.
 */
function maxUtilizationForTokenRate({
  stepMs,
  neededPace,
}: EngineEstimate): number {
  return neededPace <= 0 ? 1 : 1 - (stepMs * neededPace) / SECOND_MS;
}
