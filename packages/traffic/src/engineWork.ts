/** How much of an engine's time requests take, by what is known of its speed. */
import type {EngineFigures, WorkRate} from '@skylarkfield/capacity';
import type {EngineTerms, ModelDemand} from './contracts.js';

const PAIRS_UNIT = 1e6;
const CONTEXT_UNIT = 1e3;

/** No work at all. */
export const NO_WORK: WorkRate = {
  ownTokens: 0,
  pairs: 0,
  rereadTokens: 0,
  answerTokens: 0,
  answerContext: 0,
};

/**
 * The tokens that no cache holds: the prompt's last part belongs to the request
 * alone.
 *
 * @example
 * const tokens = ownTokens(demand);
 */
export function ownTokens(demand: ModelDemand): number {
  const {parts, promptTokens} = demand;
  return Math.min(promptTokens, parts.at(-1)?.tokens ?? promptTokens);
}

/**
 * Whether an engine's memory can hold the prompt at all. Callers write what they
 * like into a request: counted as work, one absurd size would order endpoints
 * without end and drown all that was learned.
 *
 * @example
 * if (fitsMemory(demand, service.engine)) { work.note(name, promptWork(demand)); }
 */
export function fitsMemory(
  {promptTokens}: ModelDemand,
  engine: EngineTerms | undefined,
): boolean {
  return engine !== undefined && promptTokens <= engine.memoryTokens;
}

/**
 * Work of a prompt whose shared parts are cached. Every token looks at those
 * before it, so long prompts take more than their tokens.
 *
 * @example
 * work.note('chat', promptWork(demand));
 */
export function promptWork(demand: ModelDemand): WorkRate {
  const own = ownTokens(demand);
  const pairs = (own * demand.promptTokens) / PAIRS_UNIT;
  return {...NO_WORK, ownTokens: own, pairs};
}

/**
 * Work that an answer of so many tokens adds. Counted when it has ended: callers
 * allow far more tokens than answers have. A step's fixed part is left out: all
 * that run together share it.
 *
 * @example
 * work.note('chat', answerWork(demand, 48 * 8));
 */
export function answerWork(
  demand: ModelDemand,
  answerTokens: number,
): WorkRate {
  const answerContext = (answerTokens * demand.promptTokens) / CONTEXT_UNIT;
  return {...NO_WORK, answerTokens, answerContext};
}

/**
 * Milliseconds of one engine that the work takes, by what is known of engines
 * now.
 *
 * @example
 * const busyMs = workMs(work.rates().chat, figures);
 */
export function workMs(work: WorkRate, figures: EngineFigures): number {
  return (
    work.ownTokens * figures.promptTokenMs +
    work.pairs * figures.pairsMs +
    work.rereadTokens * figures.rereadTokenMs +
    work.answerTokens * figures.requestStepMs +
    work.answerContext * figures.contextStepMs
  );
}

/**
 * Adds two amounts of work.
 *
 * @example
 * const all = addWork(own, theirs);
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
 * Work times a factor.
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
