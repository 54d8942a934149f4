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
  readonly promptTokenCount: number;
  /** Tokens of the prompt and of the answer generated so far. */
  readonly tokens: string[];
  /** Hashes of the full blocks of the prompt and of `request.delivered`. */
  readonly blocks: readonly string[];
  /** Number of tokens to prefill before the next token can be sampled. */
  prefillTokensLeft: number;
  /** Number of tokens reused from the prefix cache or an imported KV cache. */
  cachedTokens: number;
  /** Number of tokens passed to the sink. */
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
  const promptTokens = tokenizePrompt(request.prompt);
  const tokens = [
    ...promptTokens,
    ...request.delivered.map(text => text.trim()),
  ];
  return {
    request,
    sink,
    answer,
    faults,
    promptTokenCount: promptTokens.length,
    tokens,
    blocks: hashPromptBlocks(tokens),
    prefillTokensLeft: tokens.length,
    cachedTokens: 0,
    sentTokens: 0,
  };
}

/**
 * Appends generated tokens to a sequence.
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
 * Returns the hashes of all full blocks of the prompt and the answer so far.
 *
 * @example
 * cache.store(hashSequenceBlocks(sequence));
 */
export function hashSequenceBlocks(sequence: Sequence): string[] {
  return extendBlockHashes(sequence.blocks, sequence.tokens);
}
