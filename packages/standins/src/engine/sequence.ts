/** State of one request inside an engine, from the queue to the last token. */
import type {ServingError} from '@skylarkfield/base';
import {
  extendBlockHashes,
  hashPromptBlocks,
  tokenizePrompt,
  type GenerationRequest,
  type GenerationEvent,
} from '@skylarkfield/endpoints';
import type {Answer} from './answerText.js';
import type {EngineFault} from './engineFaults.js';

/** Receiver of the events of one attempt. */
export interface StreamSink {
  event(event: GenerationEvent): void;
  /** Ends the stream without an end event; called at most once. */
  fail(error: ServingError): void;
}

/** A request that is waiting, being prefilled or being decoded. */
export interface Sequence {
  readonly request: GenerationRequest;
  readonly sink: StreamSink;
  readonly answer: Answer;
  /** Faults injected into this request. */
  readonly faults: readonly EngineFault[];
  readonly promptLength: number;
  /** Tokens of the prompt and of the answer generated so far. */
  readonly tokens: string[];
  /** Hashes of the full blocks of the prompt and the delivered tokens. */
  readonly blocks: readonly string[];
  /** Tokens left to prefill before the next token can be sampled. */
  prefillLeft: number;
  cachedTokens: number;
  sentTokens: number;
}

/**
 * Creates the sequence of a new request.
 *
 * @example
 * const answer = createAnswer(prompt, seed);
 * const sequence = createSequence(request, sink, answer, []);
 */
export function createSequence(
  request: GenerationRequest,
  sink: StreamSink,
  answer: Answer,
  faults: readonly EngineFault[],
): Sequence {
  const prompt = tokenizePrompt(request.prompt);
  const tokens = [...prompt, ...request.delivered.map(text => text.trim())];
  return {
    request,
    sink,
    answer,
    faults,
    promptLength: prompt.length,
    tokens,
    blocks: hashPromptBlocks(tokens),
    prefillLeft: tokens.length,
    cachedTokens: 0,
    sentTokens: 0,
  };
}

/**
 * Appends tokens of the answer.
 *
 * @example
 * appendTokens(sequence, [answer.tokenAt(0)]);
 */
export function appendTokens(
  sequence: Sequence,
  texts: readonly string[],
): void {
  texts.forEach(text => sequence.tokens.push(text.trim()));
}

/**
 * Returns the hashes of all full blocks, including those of the answer so far.
 *
 * @example
 * cache.store(sequenceBlocks(sequence));
 */
export function sequenceBlocks(sequence: Sequence): string[] {
  return extendBlockHashes(sequence.blocks, sequence.tokens);
}
