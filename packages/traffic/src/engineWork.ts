/** How much of an engine's time a model request takes. */
import type {ModelDemand} from './contracts.js';

/** An engine's speed, as users measure it. */
export interface EngineSpeed {
  /** Prompt tokens read in a millisecond. */
  readonly promptTokensPerMs: number;
  /** Milliseconds that a thousand tokens of memory add to every step of an answer. */
  readonly contextMsPerThousand: number;
  /** Milliseconds of a step with nothing else, shared by the requests that run together. */
  readonly stepMs: number;
}

/**
 * From the users' sheets: 140 prompt tokens a millisecond and steps of 2.2 ms
 * and more. The context's part is fitted: streams of 12,000 tokens whose
 * events, 8 tokens each, come 20 to 50 ms apart in a batch of ten.
 */
export const DEFAULT_SPEED: EngineSpeed = {
  promptTokensPerMs: 140,
  contextMsPerThousand: 0.0175,
  stepMs: 2.2,
};

/** Requests that share a step on a replica with ordinary load. */
const SHARED_BY = 10;

/** Long prompts take more than their tokens: every token looks at those before it, in milliseconds for a million pairs. */
const PAIRS_MS_PER_MILLION = 0.3;

/** An answer is mostly shorter than the most that its caller allows. */
const OUTPUT_PART = 0.6;

/**
 * Milliseconds of one engine that the request takes when the parts that others
 * share are cached.
 *
 * @example
 * const ms = engineWorkMs(demand, DEFAULT_SPEED);
 */
export function engineWorkMs(demand: ModelDemand, speed: EngineSpeed): number {
  const own = demand.parts.at(-1)?.tokens ?? demand.promptTokens;
  const output = demand.mostOutputTokens * OUTPUT_PART;
  const readMs = own / speed.promptTokensPerMs;
  const pairs = (own * demand.promptTokens) / 1e6;
  const stepMs =
    speed.stepMs / SHARED_BY +
    (speed.contextMsPerThousand * demand.promptTokens) / 1e3;
  return readMs + pairs * PAIRS_MS_PER_MILLION + output * stepMs;
}
