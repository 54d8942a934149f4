/** An engine's speed, from what was seen and from what is believed until then. */
import type {
  EngineFigures,
  PaceSums,
  RouteAim,
  ServiceSums,
} from './contracts.js';
import {fitSlopes, type Belief, type RegressionSums} from './regression.js';

/** Features of an answer's steps; their time stands behind them in the sums. */
const ANSWER_FEATURES = 2;

/** Prompts seen before endpoints are sent away by the figures, and the error that these may have. */
const SURE_PROMPTS = 60;
const SURE_ERROR = 0.3;

/** An operator's goal is taken for reachable: reading a prompt takes this part of it until prompts were seen. */
const BELIEVED_GOAL_PART = 0.1;

/**
 * No engine is taken for faster than this part of what is believed. Where waits
 * hide the work, a fit may find none at all, and everything would seem free.
 */
const LEAST_BELIEVED_PART = 0.01;

/** A long look at the tokens before takes up to this part of a usual prompt's time, as far as is believed. */
const BELIEVED_PAIRS_PART = 0.2;

/** The usual prompt, in tokens, and goal, in milliseconds, until any were seen. */
const BELIEVED_PROMPT_TOKENS = 1_000;
const BELIEVED_GOAL_MS = 1_000;

/** A thousand tokens in memory are taken to slow a step by this part of what a token's reading takes. */
const BELIEVED_CONTEXT_PART = 0.5;

/** Standard deviations above the mean that an answer's length is planned for. */
const LONG_ANSWER_DEVIATIONS = 1.5;

/** A route's answers shape the plan from this part of all answers on. */
const LEAST_ROUTE_PART = 0.03;

/** A pace is known from this many answers on. */
const LEAST_ANSWERS = 5;

/**
 * The figures that follow from what was seen. Until then they follow from what
 * routes ask for, which operators set to what their engines can do.
 *
 * @example
 * const {usualPromptMs} = engineFigures(sums.chat, [{goalMs: 800, timeoutMs: 10_000}]);
 */
export function engineFigures(
  sums: ServiceSums | undefined,
  aims: readonly RouteAim[],
): EngineFigures {
  const {prompts = emptySums(), answers = emptySums(), paces = {}} = sums ?? {};
  const meanOwn = meanOf(prompts, 0, BELIEVED_PROMPT_TOKENS);
  const meanPairs = meanOf(prompts, 1, 0);
  const goals = aims.map(({goalMs}) => goalMs).filter(goal => goal > 0);
  const goalMs = goals.length > 0 ? Math.min(...goals) : BELIEVED_GOAL_MS;
  const believedMs = (goalMs * BELIEVED_GOAL_PART) / Math.max(1, meanOwn);
  const pairsPerToken = meanPairs / Math.max(1, meanOwn);
  const prompt = fitSlopes(prompts, promptBelief(believedMs, pairsPerToken));
  const [promptTokenMs = 0, pairsMs = 0, rereadTokenMs = 0] = prompt.slopes;
  const usualPromptMs = Math.max(
    promptTokenMs * meanOwn + pairsMs * meanPairs,
    believedMs * meanOwn * LEAST_BELIEVED_PART,
  );
  const errorMs = prompt.errorAt([meanOwn, meanPairs, 0, 0]);
  const step = fitSlopes(answers, stepBelief(believedMs));
  const [requestStepMs = 0, contextStepMs = 0] = step.slopes;
  return {
    promptTokenMs,
    pairsMs,
    rereadTokenMs,
    usualOwnTokens: meanOwn,
    usualTokenMs: usualPromptMs / Math.max(1, meanOwn),
    usualPromptMs,
    stepMs: meanOf(answers, ANSWER_FEATURES, 0),
    requestStepMs,
    contextStepMs,
    usualAnswerTokens: usualAnswerTokens(Object.values(paces)),
    neededPace: neededPace(Object.values(paces)),
    prompts: Math.round(prompts.count),
    errorPart: errorMs / Math.max(Number.EPSILON, usualPromptMs),
    isSure:
      prompts.count >= SURE_PROMPTS && errorMs <= usualPromptMs * SURE_ERROR,
  };
}

/** Every token is believed to take alike, whoever's it is; half of those before it are read by the time it comes. */
function promptBelief(tokenMs: number, pairsPerToken: number): Belief {
  const pairsMs =
    (tokenMs * BELIEVED_PAIRS_PART) / Math.max(Number.EPSILON, pairsPerToken);
  return {
    slopes: [tokenMs, 0, tokenMs, tokenMs / 2],
    deviations: [tokenMs, pairsMs, tokenMs, tokenMs],
  };
}

function stepBelief(tokenMs: number): Belief {
  const contextMs = tokenMs * BELIEVED_CONTEXT_PART;
  return {slopes: [0, contextMs], deviations: [tokenMs, contextMs]};
}

function emptySums(): RegressionSums {
  return {count: 0, weight: 0, totals: [], products: []};
}

function meanOf(sums: RegressionSums, index: number, unseen: number): number {
  return sums.count > 0 ? (sums.totals[index] ?? 0) / sums.count : unseen;
}

function meanPace({count, total}: PaceSums): number {
  return count > 0 ? total / count : 0;
}

function longPace(sums: PaceSums): number {
  const mean = meanPace(sums);
  const variance = Math.max(0, sums.squares / sums.count - mean * mean);
  return mean + LONG_ANSWER_DEVIATIONS * Math.sqrt(variance);
}

function neededPace(paces: readonly PaceSums[]): number {
  const all = paces.reduce((sum, {count}) => sum + count, 0);
  const usual = paces.filter(
    ({count}) => count >= Math.max(LEAST_ANSWERS, all * LEAST_ROUTE_PART),
  );
  return Math.max(0, ...usual.map(longPace));
}

function usualAnswerTokens(paces: readonly PaceSums[]): number {
  const count = paces.reduce((sum, pace) => sum + pace.count, 0);
  const tokens = paces.reduce((sum, pace) => sum + pace.tokens, 0);
  return count > 0 ? tokens / count : 0;
}
