/** One request inside an engine stand-in, from its queue to its last token. */
import type {ServingError} from '@skylarkfield/base';
import {
  extendBlocks,
  promptBlocks,
  promptTokens,
  type Generation,
  type GenerationEvent,
} from '@skylarkfield/endpoints';
import type {Answer} from './answerText.js';
import type {EngineFault} from './engineFaults.js';

/** Where the events of one attempt go. */
export interface StreamSink {
  event(event: GenerationEvent): void;
  /** The stream ends without an end event; called at most once. */
  fail(error: ServingError): void;
}

/** A request that waits, is prefilled or is decoded. */
export interface Sequence {
  readonly request: Generation;
  readonly sink: StreamSink;
  readonly answer: Answer;
  /** Faults that hit this request. */
  readonly faults: readonly EngineFault[];
  readonly promptLength: number;
  /** Tokens of the prompt and of the answer so far. */
  readonly tokens: string[];
  /** Hashes of the full blocks that the request came with. */
  readonly blocks: readonly string[];
  /** Tokens to compute before the next one can be sampled. */
  prefillLeft: number;
  cachedTokens: number;
  sentTokens: number;
}

/**
 * Makes the sequence of a request that has just come.
 *
 * @example
 * const sequence = createSequence(request, sink, answerFor(prompt, seed), []);
 */
export function createSequence(
  request: Generation,
  sink: StreamSink,
  answer: Answer,
  faults: readonly EngineFault[],
): Sequence {
  const prompt = promptTokens(request.prompt);
  const tokens = [...prompt, ...request.delivered.map(text => text.trim())];
  return {
    request,
    sink,
    answer,
    faults,
    promptLength: prompt.length,
    tokens,
    blocks: promptBlocks(tokens),
    prefillLeft: tokens.length,
    cachedTokens: 0,
    sentTokens: 0,
  };
}

/**
 * Adds tokens of the answer.
 *
 * @example
 * addTokens(sequence, [answer.tokenAt(0)]);
 */
export function addTokens(sequence: Sequence, texts: readonly string[]): void {
  texts.forEach(text => sequence.tokens.push(text.trim()));
}

/**
 * Hashes of all full blocks, those of the answer so far included.
 *
 * @example
 * cache.store(sequenceBlocks(sequence));
 */
export function sequenceBlocks(sequence: Sequence): string[] {
  return extendBlocks(sequence.blocks, sequence.tokens);
}
