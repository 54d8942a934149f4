/**
 * How fast a service's engines are, learned from the requests that they serve.
 *
 * Engines differ by a factor of ten between customers and nobody declares their
 * speed. Taken for faster than they are, too few are kept and requests run into
 * their deadlines; taken for slower, they cost more than they bring.
 */
import type {Clock} from '@skylarkfield/base';
import type {
  AnswerSample,
  CapacitySums,
  EngineFigures,
  PaceSums,
  PromptSample,
  RouteAim,
  ServiceSums,
} from './contracts.js';
import {
  addSums,
  createRegression,
  fitSlopes,
  scaleSums,
  type Belief,
  type Regression,
  type RegressionSums,
} from './regression.js';

export interface EngineModel {
  notePrompt(sample: PromptSample): void;
  noteAnswer(sample: AnswerSample): void;
  /** What this entry has seen, for the others. */
  sums(): CapacitySums;
}

/** Half of what was seen this long ago still counts: endpoints and versions change. */
export const HALF_LIFE_MS = 20_000;

const PAIRS_UNIT = 1e6;
const CONTEXT_UNIT = 1e3;
const SECOND_MS = 1e3;

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
 * A prompt behind others waits for reasons that are seen only in part, so it
 * counts for less than one that is read at once; under overload, when all wait,
 * they still count for so much.
 */
const LEAST_WEIGHT = 0.1;

/** The features of a prompt's reading time, in order. */
function promptFeatures(sample: PromptSample): number[] {
  const {ownTokens, promptTokens, rereadTokens, pendingTokens} = sample;
  const pairs = (ownTokens * promptTokens) / PAIRS_UNIT;
  return [ownTokens, pairs, rereadTokens, pendingTokens];
}
const PROMPT_FEATURES = 4;
const ANSWER_FEATURES = 2;

interface ServiceState {
  readonly prompts: Regression;
  readonly answers: Regression;
  readonly paces: Map<string, NotedPace>;
}

interface NotedPace {
  readonly at: number;
  readonly sums: PaceSums;
}

/**
 * Makes the model of one entry, with nothing seen yet.
 *
 * @example
 * model.notePrompt({service: 'chat', route: 'r1', ownTokens: 900, ...rest, tookMs: 62});
 */
export function createEngineModel(clock: Clock): EngineModel {
  const services = new Map<string, ServiceState>();

  function stateOf(service: string): ServiceState {
    const known = services.get(service);
    if (known !== undefined) {
      return known;
    }
    const common = {clock, halfLifeMs: HALF_LIFE_MS};
    const state = {
      prompts: createRegression({...common, features: PROMPT_FEATURES}),
      answers: createRegression({...common, features: ANSWER_FEATURES}),
      paces: new Map(),
    };
    services.set(service, state);
    return state;
  }

  function notePace({paces}: ServiceState, sample: AnswerSample): void {
    const {route, tokens, allowedMs} = sample;
    const pace = (tokens * SECOND_MS) / Math.max(1, allowedMs);
    const now = clock.now();
    const last = paces.get(route);
    const own = {count: 1, tokens, total: pace, squares: pace * pace};
    const sums = last ? addPaces(aged(last), own) : own;
    paces.set(route, {at: now, sums});
  }

  function aged({at, sums}: NotedPace): PaceSums {
    return scalePace(sums, 2 ** ((at - clock.now()) / HALF_LIFE_MS));
  }

  return {
    notePrompt(sample) {
      const {prompts} = stateOf(sample.service);
      const {ownTokens, pendingTokens, route, tookMs} = sample;
      const clearPart = ownTokens / Math.max(1, ownTokens + pendingTokens);
      const weight = Math.max(LEAST_WEIGHT, clearPart ** 2);
      prompts.note(route, promptFeatures(sample), tookMs, weight);
    },
    noteAnswer(sample) {
      const state = stateOf(sample.service);
      const {route, requests, contextTokens, stepMs} = sample;
      const features = [requests, contextTokens / CONTEXT_UNIT];
      state.answers.note(route, features, stepMs);
      notePace(state, sample);
    },
    sums: () =>
      Object.fromEntries(
        [...services].map(([name, {prompts, answers, paces}]) => [
          name,
          {
            prompts: prompts.sums(),
            answers: answers.sums(),
            paces: Object.fromEntries(
              [...paces].map(([route, pace]) => [route, aged(pace)]),
            ),
          },
        ]),
      ),
  };
}

/**
 * Adds up what several entries have seen.
 *
 * @example
 * const all = addCapacity([model.sums(), ...peers]);
 */
export function addCapacity(parts: readonly CapacitySums[]): CapacitySums {
  const names = new Set(parts.flatMap(part => Object.keys(part)));
  return Object.fromEntries(
    [...names].map(name => [
      name,
      addServices(parts.flatMap(part => part[name] ?? [])),
    ]),
  );
}

/**
 * What was seen, counting for a part of what it did.
 *
 * @example
 * const older = scaleCapacity(sums, 0.5);
 */
export function scaleCapacity(
  sums: CapacitySums,
  factor: number,
): CapacitySums {
  return Object.fromEntries(
    Object.entries(sums).map(([name, {prompts, answers, paces}]) => [
      name,
      {
        prompts: scaleSums(prompts, factor),
        answers: scaleSums(answers, factor),
        paces: Object.fromEntries(
          Object.entries(paces).map(([route, pace]) => [
            route,
            scalePace(pace, factor),
          ]),
        ),
      },
    ]),
  );
}

function addPaces(a: PaceSums, b: PaceSums): PaceSums {
  return {
    count: a.count + b.count,
    tokens: a.tokens + b.tokens,
    total: a.total + b.total,
    squares: a.squares + b.squares,
  };
}

function scalePace(pace: PaceSums, factor: number): PaceSums {
  return {
    count: pace.count * factor,
    tokens: pace.tokens * factor,
    total: pace.total * factor,
    squares: pace.squares * factor,
  };
}

function addServices(parts: readonly ServiceSums[]): ServiceSums {
  const paces: Record<string, PaceSums> = {};
  for (const [route, sums] of parts.flatMap(part =>
    Object.entries(part.paces),
  )) {
    const known = paces[route];
    paces[route] = known ? addPaces(known, sums) : sums;
  }
  return {
    prompts: addSums(
      parts.map(({prompts}) => prompts).filter(({count}) => count > 0),
    ),
    answers: addSums(
      parts.map(({answers}) => answers).filter(({count}) => count > 0),
    ),
    paces,
  };
}

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
