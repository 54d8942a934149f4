/** Amounts of work that requests cause, and the engine time that they take. */
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
 * Returns the tokens that no cache holds: those of the prompt's last part,
 * which is not shared with other requests.
 *
 * @example
 * const tokens = ownTokens(demand);
 */
export function ownTokens(demand: ModelDemand): number {
  const {parts, promptTokens} = demand;
  return Math.min(promptTokens, parts.at(-1)?.tokens ?? promptTokens);
}

/**
 * Returns whether an engine's memory can hold the prompt. The declared size is
 * untrusted: counted as work, one absurd value would order endpoints without
 * bound and distort the learned estimates.
 *
 * @example
 * if (fitsMemory(demand, service.engine)) { work.record(name, promptWork(demand)); }
 */
export function fitsMemory(
  {promptTokens}: ModelDemand,
  engine: EngineConfig | undefined,
): boolean {
  return engine !== undefined && promptTokens <= engine.memoryTokens;
}

/**
 * Returns the work of a prompt whose shared parts are cached. Every token
 * attends to those before it, so the work grows faster than the number of
 * tokens.
 *
 * @example
 * work.record('chat', promptWork(demand));
 */
export function promptWork(demand: ModelDemand): WorkRate {
  const own = ownTokens(demand);
  const pairs = (own * demand.promptTokens) / PAIRS_PER_UNIT;
  return {...ZERO_WORK, ownTokens: own, pairs};
}

/**
 * Returns the work of an answer. Recorded when the answer has ended: the
 * declared maximum is far above the actual length. The fixed cost of a step is
 * left out: all requests of a batch share it.
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
 * Returns the milliseconds of one engine that the work takes, by the current
 * estimate of its speed.
 *
 * @example
 * const busyMs = workMs(work.rates().chat, estimate);
 */
export function workMs(work: WorkRate, estimate: EngineEstimate): number {
  return (
    work.ownTokens * estimate.promptTokenMs +
    work.pairs * estimate.pairsMs +
    work.rereadTokens * estimate.rereadTokenMs +
    work.answerTokens * estimate.requestStepMs +
    work.answerContext * estimate.contextStepMs
  );
}

/**
 * Adds two amounts of work.
 *
 * @example
 * const total = addWork(own, peers);
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
