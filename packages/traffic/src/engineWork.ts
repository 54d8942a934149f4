/** Computes the work that requests cause, and the engine time of that work. */
import type {EngineEstimate, WorkRate} from '@skylarkfield/capacity';
import type {EngineConfig, ModelDemand} from './contracts.js';

const PAIRS_PER_UNIT = 1e6;
const CONTEXT_TOKENS_PER_UNIT = 1e3;

export const ZERO_WORK: WorkRate = {
  ownTokens: 0,
  pairs: 0,
  rereadTokens: 0,
  answerTokens: 0,
  answerContext: 0,
};

/**
 * Returns the number of prompt tokens that cannot be cached: the tokens of the
 * last part, which other requests do not have.
 *
 * @example
 * const tokens = countOwnTokens(demand);
 */
export function countOwnTokens(demand: ModelDemand): number {
  const {parts, promptTokens} = demand;
  return Math.min(promptTokens, parts.at(-1)?.tokens ?? promptTokens);
}

/**
 * Returns whether the prompt fits into an engine's KV cache. The declared size
 * is untrusted: if counted as work, one absurd value would cause any number of
 * endpoints to be requested and distort the learned estimates.
 *
 * @example
 * if (fitsKvCache(demand, service.engine)) { work.record(name, promptWork(demand)); }
 */
export function fitsKvCache(
  {promptTokens}: ModelDemand,
  engine: EngineConfig | undefined,
): boolean {
  return engine !== undefined && promptTokens <= engine.memoryTokens;
}

/**
 * Returns the work of a prompt whose shared parts are cached. Every token
 * attends to all earlier tokens, so the work grows faster than the number of
 * tokens.
 *
 * @example
 * work.record('chat', promptWork(demand));
 */
export function promptWork(demand: ModelDemand): WorkRate {
  const ownTokenCount = countOwnTokens(demand);
  const pairs = (ownTokenCount * demand.promptTokens) / PAIRS_PER_UNIT;
  return {...ZERO_WORK, ownTokens: ownTokenCount, pairs};
}

/**
 * Returns the work of an answer. The work is recorded when the answer has
 * ended, since the declared maximum is far above the actual length. The fixed
 * cost of a decode step is left out, since all requests of a batch share it.
 *
 * @example
 * work.record('chat', answerWork(demand, 48 * 8));
 */
export function answerWork(
  demand: ModelDemand,
  answerTokens: number,
): WorkRate {
  const answerContext =
    (answerTokens * demand.promptTokens) / CONTEXT_TOKENS_PER_UNIT;
  return {...ZERO_WORK, answerTokens, answerContext};
}

/**
 * Returns the estimated milliseconds that one engine takes for the prompts of
 * the work.
 *
 * @example
 * const busyMs = promptMs(work.rates().chat, estimate);
 */
export function promptMs(work: WorkRate, estimate: EngineEstimate): number {
  return (
    work.ownTokens * estimate.promptTokenMs +
    work.pairs * estimate.pairsMs +
    work.rereadTokens * estimate.rereadTokenMs
  );
}

/**
 * Returns the estimated milliseconds that one engine takes for the work.
 *
 * @example
 * const busyMs = workMs(work.rates().chat, estimate);
 */
export function workMs(work: WorkRate, estimate: EngineEstimate): number {
  return (
    promptMs(work, estimate) +
    work.answerTokens * estimate.requestStepMs +
    work.answerContext * estimate.contextStepMs
  );
}

/**
 * Adds two amounts of work.
 *
 * @example
 * const total = addWork(ownWork, peerWork);
 */
export function addWork(a: WorkRate, b: WorkRate): WorkRate {
  return {
    ownTokens: a.ownTokens + b.ownTokens,
    pairs: a.pairs + b.pairs,
    rereadTokens: a.rereadTokens + b.rereadTokens,
    answerTokens: a.answerTokens + b.answerTokens,
    answerContext: a.answerContext + b.answerContext,
  };
}

/**
 * Multiplies an amount of work by a factor.
 *
 * @example
 * const half = scaleWork(work, 0.5);
 */
export function scaleWork(work: WorkRate, factor: number): WorkRate {
  return {
    ownTokens: work.ownTokens * factor,
    pairs: work.pairs * factor,
    rereadTokens: work.rereadTokens * factor,
    answerTokens: work.answerTokens * factor,
    answerContext: work.answerContext * factor,
  };
}
