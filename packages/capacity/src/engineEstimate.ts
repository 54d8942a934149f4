/** Estimates engine performance from statistics and priors. */
import type {
  EngineEstimate,
  TokenRateStats,
  LatencyTargets,
  ServiceStats,
} from './contracts.js';
import {fitSlopes, type Prior, type RegressionStats} from './regression.js';

/** Number of answer features, and the index of the step time in totals. */
const ANSWER_FEATURE_COUNT = 2;

/** Minimum sampled prompts and maximum relative error if `isSure` is set. */
const MIN_CONFIDENT_PROMPTS = 60;
const MAX_CONFIDENT_ERROR = 0.3;

/** Prior time of a prompt, as a fraction of the lowest latency target. */
const PRIOR_TARGET_FRACTION = 0.1;

/**
 * Lower bound of a prompt's time as a fraction of the prior. When prompts queue
 * for long, the fitted time may be zero, and every prompt would seem free.
 */
const MIN_PRIOR_FRACTION = 0.01;

/** Prior standard deviation of attention time, as a fraction of prompt time. */
const PRIOR_PAIRS_FRACTION = 0.2;

/** Mean `ownTokens` of a prompt assumed before the first sample. */
const PRIOR_PROMPT_TOKENS = 1_000;
/** Latency target of a service whose routes set none, in milliseconds. */
const DEFAULT_TARGET_MS = 1_000;

/**
 * Prior time that a thousand context tokens add to a decode step, as a fraction
 * of the time of one prompt token.
 */
const PRIOR_CONTEXT_FRACTION = 0.5;

/** Standard deviations above a route's mean token rate to plan for. */
const HIGH_RATE_DEVIATIONS = 1.5;

/** Minimum fraction of all answers for a route's token rate to count. */
const MIN_ROUTE_FRACTION = 0.03;

/** Minimum number of answers for a route's token rate to count. */
const MIN_ROUTE_ANSWERS = 5;

/**
 * Estimates engine performance from statistics. Without samples the estimate
 * follows from the routes' latency targets, assuming that engines can meet
 * them.
 *
 * @example
 * const {usualPromptMs} = estimateEngine(stats.chat, [{goalMs: 800, timeoutMs: 10_000}]);
 */
export function estimateEngine(
  stats: ServiceStats | undefined,
  latencyTargets: readonly LatencyTargets[],
): EngineEstimate {
  const {
    prompts = createEmptyStats(),
    answers = createEmptyStats(),
    paces = {},
  } = stats ?? {};
  const meanOwnTokens = meanOf(prompts, 0, PRIOR_PROMPT_TOKENS);
  const meanPairs = meanOf(prompts, 1, 0);
  const targetsMs = latencyTargets
    .map(({goalMs}) => goalMs)
    .filter(targetMs => targetMs > 0);
  const goalMs =
    targetsMs.length > 0 ? Math.min(...targetsMs) : DEFAULT_TARGET_MS;
  const priorTokenMs =
    (goalMs * PRIOR_TARGET_FRACTION) / Math.max(1, meanOwnTokens);
  const pairsPerToken = meanPairs / Math.max(1, meanOwnTokens);
  const promptFit = fitSlopes(
    prompts,
    promptPrior(priorTokenMs, pairsPerToken),
  );
  const [promptTokenMs = 0, pairsMs = 0, rereadTokenMs = 0] = promptFit.slopes;
  const usualPromptMs = Math.max(
    promptTokenMs * meanOwnTokens + pairsMs * meanPairs,
    priorTokenMs * meanOwnTokens * MIN_PRIOR_FRACTION,
  );
  const errorMs = promptFit.standardErrorAt([meanOwnTokens, meanPairs, 0, 0]);
  const stepFit = fitSlopes(answers, stepPrior(priorTokenMs));
  const [requestStepMs = 0, contextStepMs = 0] = stepFit.slopes;
  return {
    promptTokenMs,
    pairsMs,
    rereadTokenMs,
    usualOwnTokens: meanOwnTokens,
    usualTokenMs: usualPromptMs / Math.max(1, meanOwnTokens),
    usualPromptMs,
    stepMs: meanOf(answers, ANSWER_FEATURE_COUNT, 0),
    requestStepMs,
    contextStepMs,
    usualAnswerTokens: meanAnswerTokens(Object.values(paces)),
    neededPace: neededTokenRate(Object.values(paces)),
    prompts: Math.round(prompts.count),
    errorPart: errorMs / Math.max(Number.EPSILON, usualPromptMs),
    isSure:
      prompts.count >= MIN_CONFIDENT_PROMPTS &&
      errorMs <= usualPromptMs * MAX_CONFIDENT_ERROR,
  };
}

/**
 * Returns a prior with the same time for every token, except pending tokens
 * with half the time: on average, half of the pending tokens are processed
 * before the prompt arrives.
 */
function promptPrior(tokenMs: number, pairsPerToken: number): Prior {
  const pairsMs =
    (tokenMs * PRIOR_PAIRS_FRACTION) / Math.max(Number.EPSILON, pairsPerToken);
  return {
    slopes: [tokenMs, 0, tokenMs, tokenMs / 2],
    standardDeviations: [tokenMs, pairsMs, tokenMs, tokenMs],
  };
}

function stepPrior(tokenMs: number): Prior {
  const contextMs = tokenMs * PRIOR_CONTEXT_FRACTION;
  return {slopes: [0, contextMs], standardDeviations: [tokenMs, contextMs]};
}

function createEmptyStats(): RegressionStats {
  return {count: 0, weight: 0, totals: [], products: []};
}

function meanOf(
  stats: RegressionStats,
  index: number,
  fallback: number,
): number {
  return stats.count > 0 ? (stats.totals[index] ?? 0) / stats.count : fallback;
}

function meanTokenRate({count, total}: TokenRateStats): number {
  return count > 0 ? total / count : 0;
}

function plannedTokenRate(stats: TokenRateStats): number {
  const mean = meanTokenRate(stats);
  const variance = Math.max(0, stats.squares / stats.count - mean * mean);
  return mean + HIGH_RATE_DEVIATIONS * Math.sqrt(variance);
}

function neededTokenRate(rates: readonly TokenRateStats[]): number {
  const totalCount = rates.reduce((sum, {count}) => sum + count, 0);
  const significantRates = rates.filter(
    ({count}) =>
      count >= Math.max(MIN_ROUTE_ANSWERS, totalCount * MIN_ROUTE_FRACTION),
  );
  return Math.max(0, ...significantRates.map(plannedTokenRate));
}

function meanAnswerTokens(rates: readonly TokenRateStats[]): number {
  const count = rates.reduce((sum, rate) => sum + rate.count, 0);
  const tokens = rates.reduce((sum, rate) => sum + rate.tokens, 0);
  return count > 0 ? tokens / count : 0;
}
