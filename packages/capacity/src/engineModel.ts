/**
 * Collects statistics of engine performance from the requests that engines
 * serve.
 *
 * Engines differ by a factor of ten between customers, and their speed is not
 * configured. If it is overestimated, too few endpoints run and requests miss
 * their deadlines; if it is underestimated, idle endpoints cost money.
 */
import type {Clock} from '@skylarkfield/base';
import {addTokenRateStats, scaleTokenRateStats} from './capacityStats.js';
import type {
  AnswerSample,
  CapacityStats,
  TokenRateStats,
  PromptSample,
} from './contracts.js';
import {createRegression, type Regression} from './regression.js';

/** Performance statistics of engines from the requests of one entry. */
export interface EngineModel {
  recordPrompt(sample: PromptSample): void;
  recordAnswer(sample: AnswerSample): void;
  /** Returns this entry's statistics, to be merged with those of its peers. */
  stats(): CapacityStats;
}

/** Half-life of samples, in milliseconds: endpoints and versions change. */
export const SAMPLE_HALF_LIFE_MS = 20_000;

const PAIRS_PER_UNIT = 1e6;
const CONTEXT_TOKENS_PER_UNIT = 1e3;
const SECOND_MS = 1e3;

/**
 * Minimum weight of a prompt sample. A queued prompt weighs less than one that
 * is processed at once, as the features explain only part of its wait; under
 * overload, when all prompts are queued, the samples must still count.
 */
const MIN_SAMPLE_WEIGHT = 0.1;

/** Returns the regression features of a prompt's processing time, in order. */
function promptFeatures(sample: PromptSample): number[] {
  const {ownTokens, promptTokens, rereadTokens, pendingTokens} = sample;
  const pairs = (ownTokens * promptTokens) / PAIRS_PER_UNIT;
  return [ownTokens, pairs, rereadTokens, pendingTokens];
}
const PROMPT_FEATURE_COUNT = 4;
/** Features of a step time: running requests and context tokens. */
const ANSWER_FEATURE_COUNT = 2;

interface ServiceState {
  readonly prompts: Regression;
  readonly answers: Regression;
  readonly paces: Map<string, DecayingTokenRate>;
}

interface DecayingTokenRate {
  readonly at: number;
  readonly stats: TokenRateStats;
}

/**
 * Creates the model of one entry, without samples.
 *
 * @example
 * model.recordPrompt({service: 'chat', route: 'r1', ownTokens: 900, ...rest, tookMs: 62});
 */
export function createEngineModel(clock: Clock): EngineModel {
  const services = new Map<string, ServiceState>();

  function serviceState(service: string): ServiceState {
    const known = services.get(service);
    if (known !== undefined) {
      return known;
    }
    const common = {clock, halfLifeMs: SAMPLE_HALF_LIFE_MS};
    const state = {
      prompts: createRegression({
        ...common,
        featureCount: PROMPT_FEATURE_COUNT,
      }),
      answers: createRegression({
        ...common,
        featureCount: ANSWER_FEATURE_COUNT,
      }),
      paces: new Map(),
    };
    services.set(service, state);
    return state;
  }

  function recordTokenRate({paces}: ServiceState, sample: AnswerSample): void {
    const {route, tokens, allowedMs} = sample;
    const tokensPerSecond = (tokens * SECOND_MS) / Math.max(1, allowedMs);
    const now = clock.now();
    const last = paces.get(route);
    const own = {
      count: 1,
      tokens,
      total: tokensPerSecond,
      squares: tokensPerSecond * tokensPerSecond,
    };
    const stats = last ? addTokenRateStats(decayed(last), own) : own;
    paces.set(route, {at: now, stats});
  }

  function decayed({at, stats}: DecayingTokenRate): TokenRateStats {
    return scaleTokenRateStats(
      stats,
      2 ** ((at - clock.now()) / SAMPLE_HALF_LIFE_MS),
    );
  }

  return {
    recordPrompt(sample) {
      const {prompts} = serviceState(sample.service);
      const {ownTokens, pendingTokens, route, tookMs} = sample;
      const ownFraction = ownTokens / Math.max(1, ownTokens + pendingTokens);
      const weight = Math.max(MIN_SAMPLE_WEIGHT, ownFraction ** 2);
      prompts.add(route, promptFeatures(sample), tookMs, weight);
    },
    recordAnswer(sample) {
      const state = serviceState(sample.service);
      const {route, requests, contextTokens, stepMs} = sample;
      const features = [requests, contextTokens / CONTEXT_TOKENS_PER_UNIT];
      state.answers.add(route, features, stepMs);
      recordTokenRate(state, sample);
    },
    stats: () =>
      Object.fromEntries(
        [...services].map(([name, {prompts, answers, paces}]) => [
          name,
          {
            prompts: prompts.stats(),
            answers: answers.stats(),
            paces: Object.fromEntries(
              [...paces].map(([route, rate]) => [route, decayed(rate)]),
            ),
          },
        ]),
      ),
  };
}
