/**
 * Collects statistics of engine performance from the requests that engines
 * serve.
 *
 * The speed of engines differs by a factor of ten between customers and is not
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

/** Half-life of samples in milliseconds, as endpoints and versions change. */
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

/**
 * Returns the regression features that determine a prompt's processing time.
 */
function promptFeatures(sample: PromptSample): number[] {
  const {ownTokens, promptTokens, rereadTokens, pendingTokens} = sample;
  const pairs = (ownTokens * promptTokens) / PAIRS_PER_UNIT;
  return [ownTokens, pairs, rereadTokens, pendingTokens];
}
const PROMPT_FEATURE_COUNT = 4;
/** Features of a decode step's duration: running requests, context tokens. */
const ANSWER_FEATURE_COUNT = 2;

/** Regressions and token rates of one service. */
interface ServiceModel {
  readonly prompts: Regression;
  readonly answers: Regression;
  /** Needed token rate of answers, by route. */
  readonly paces: Map<string, DecayingTokenRate>;
}

/** Token rate statistics that decay from `updatedAtMs` (monotonic) on. */
interface DecayingTokenRate {
  readonly updatedAtMs: number;
  readonly stats: TokenRateStats;
}

/**
 * Creates the model of one entry, without samples.
 *
 * @example
 * const model = createEngineModel(clock);
 * model.recordPrompt(promptSample);
 */
export function createEngineModel(clock: Clock): EngineModel {
  const modelsByService = new Map<string, ServiceModel>();

  function getOrCreateModel(service: string): ServiceModel {
    const existing = modelsByService.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const commonOptions = {clock, halfLifeMs: SAMPLE_HALF_LIFE_MS};
    const serviceModel = {
      prompts: createRegression({
        ...commonOptions,
        featureCount: PROMPT_FEATURE_COUNT,
      }),
      answers: createRegression({
        ...commonOptions,
        featureCount: ANSWER_FEATURE_COUNT,
      }),
      paces: new Map(),
    };
    modelsByService.set(service, serviceModel);
    return serviceModel;
  }

  function recordTokenRate({paces}: ServiceModel, sample: AnswerSample): void {
    const {route, tokens, allowedMs} = sample;
    const tokensPerSecond = (tokens * SECOND_MS) / Math.max(1, allowedMs);
    const now = clock.now();
    const previousRate = paces.get(route);
    const sampleStats = {
      count: 1,
      tokens,
      total: tokensPerSecond,
      squares: tokensPerSecond * tokensPerSecond,
    };
    const stats = previousRate
      ? addTokenRateStats(decayTokenRate(previousRate), sampleStats)
      : sampleStats;
    paces.set(route, {updatedAtMs: now, stats});
  }

  function decayTokenRate({
    updatedAtMs,
    stats,
  }: DecayingTokenRate): TokenRateStats {
    return scaleTokenRateStats(
      stats,
      2 ** ((updatedAtMs - clock.now()) / SAMPLE_HALF_LIFE_MS),
    );
  }

  return {
    recordPrompt(sample) {
      const {prompts} = getOrCreateModel(sample.service);
      const {ownTokens, pendingTokens, route, tookMs} = sample;
      const ownFraction = ownTokens / Math.max(1, ownTokens + pendingTokens);
      const weight = Math.max(MIN_SAMPLE_WEIGHT, ownFraction ** 2);
      prompts.addSample(route, promptFeatures(sample), tookMs, weight);
    },
    recordAnswer(sample) {
      const serviceModel = getOrCreateModel(sample.service);
      const {route, requests, contextTokens, stepMs} = sample;
      const features = [requests, contextTokens / CONTEXT_TOKENS_PER_UNIT];
      serviceModel.answers.addSample(route, features, stepMs);
      recordTokenRate(serviceModel, sample);
    },
    stats: () =>
      Object.fromEntries(
        [...modelsByService].map(([name, {prompts, answers, paces}]) => [
          name,
          {
            prompts: prompts.stats(),
            answers: answers.stats(),
            paces: Object.fromEntries(
              [...paces].map(([route, rate]) => [route, decayTokenRate(rate)]),
            ),
          },
        ]),
      ),
  };
}
