/** Target utilization of engines, from the latency targets of their routes. */
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

/** Fraction that is planned for after a loss, until replacements start. */
const BRIEF_FRACTION = 0.75;

/**
 * Bounds of the utilization limit. Below the lower bound, more endpoints don't
 * help to meet the targets; above the upper one, every burst causes a queue.
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
 * Two limits apply. A prompt queues behind others, and its first event must
 * arrive within the target. And prompts stall all running answers, of which
 * long ones must still finish before their callers time out.
 *
 * @example
 * const {usual} = targetUtilization(estimate, [{goalMs: 800, timeoutMs: 10_000}]); // 0.4
 */
export function targetUtilization(
  estimate: EngineEstimate,
  latencyTargets: readonly LatencyTargets[],
): TargetUtilization {
  const unbounded = Math.min(
    maxUtilizationForTargets(estimate, latencyTargets),
    maxUtilizationForTokenRate(estimate),
  );
  const limit = Math.min(MAX_UTILIZATION, Math.max(MIN_UTILIZATION, unbounded));
  return {usual: limit * USUAL_FRACTION, brief: limit * BRIEF_FRACTION};
}

/** Inverts the mean wait at utilization u: u / (1 - u) mean prompt times. */
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

/** A step takes stepMs / (1 - u) while prompts take a fraction u of time. */
function maxUtilizationForTokenRate({
  stepMs,
  neededPace,
}: EngineEstimate): number {
  return neededPace <= 0 ? 1 : 1 - (stepMs * neededPace) / SECOND_MS;
}
