/** How much of an engine's time a model request takes. */
import type {ModelDemand} from './contracts.js';

/** An engine's speed, as users measure it. */
export interface EngineSpeed {
  /** Prompt tokens read in a millisecond. */
  readonly promptTokensPerMs: number;
  /** Milliseconds that a thousand tokens of memory add to every step of an answer. */
  readonly contextMsPerThousand: number;
}

/**
 * From the users' sheets: 140 prompt tokens a millisecond. The context's part is
 * fitted: streams of 12,000 tokens whose events, 8 tokens each, come 20 to 50 ms
 * apart in a batch of ten.
 */
export const DEFAULT_SPEED: EngineSpeed = {
  promptTokensPerMs: 140,
  contextMsPerThousand: 0.0175,
};

/** Long prompts take more than their tokens: every token looks at those before it, in milliseconds for a million pairs. */
const PAIRS_MS_PER_MILLION = 0.3;
const PAIRS_UNIT = 1e6;
const THOUSAND = 1e3;

/**
 * Milliseconds of one engine that reading the prompt takes when the parts that
 * others share are cached.
 *
 * @example
 * const ms = promptWorkMs(demand, DEFAULT_SPEED);
 */
export function promptWorkMs(demand: ModelDemand, speed: EngineSpeed): number {
  const own = demand.parts.at(-1)?.tokens ?? demand.promptTokens;
  const pairs = (own * demand.promptTokens) / PAIRS_UNIT;
  return own / speed.promptTokensPerMs + pairs * PAIRS_MS_PER_MILLION;
}

/**
 * Milliseconds of one engine that an answer of so many tokens adds. Counted when
 * it has ended: callers allow far more tokens than answers have. A step's fixed
 * part is left out: all that run together share it.
 *
 * @example
 * const ms = answerWorkMs(demand, 48 * 8, DEFAULT_SPEED);
 */
export function answerWorkMs(
  demand: ModelDemand,
  answerTokens: number,
  speed: EngineSpeed,
): number {
  const contextMs =
    (speed.contextMsPerThousand * demand.promptTokens) / THOUSAND;
  return answerTokens * contextMs;
}
