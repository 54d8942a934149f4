/** Answers of model requests, streamed as server-sent events or whole. */
import type {ServerResponse} from 'node:http';
import {ServingError, sleep, type Clock} from '@skylarkfield/base';
import type {StreamSummary, StreamToken} from '@skylarkfield/streams';
import type {Problem} from './problem.js';

export type AnswerShape = 'chat' | 'completion';

export interface ModelAnswer {
  /** Takes the next token; a returned promise holds the stream back. */
  deliver(token: StreamToken): void | Promise<void>;
  finish(summary: StreamSummary): void;
  /** Ends an answer that has begun with an error; false when nothing was sent yet. */
  failMidway(problem: Problem): boolean;
}

interface AnswerOptions {
  readonly id: string;
  readonly model: string;
  readonly shape: AnswerShape;
  readonly response: ServerResponse;
  readonly clock: Clock;
  /** Bytes that may wait for the reader before the stream is held back. */
  readonly bufferedBytes: number;
  /** How long a held-back reader may take nothing before it is cut off, in milliseconds. */
  readonly stalledReaderMs: number;
  readonly signal: AbortSignal;
}

/** One piece of a streamed answer, per shape. */
const chunkMakers: Record<
  AnswerShape,
  (text: string, reason: string | null) => unknown
> = {
  chat: (text, reason) => ({
    index: 0,
    delta: text === '' ? {} : {content: text},
    finish_reason: reason,
  }),
  completion: (text, reason) => ({index: 0, text, finish_reason: reason}),
};

/** The one choice of a whole answer, per shape. */
const choiceMakers: Record<
  AnswerShape,
  (text: string, reason: string) => unknown
> = {
  chat: (text, reason) => ({
    index: 0,
    message: {role: 'assistant', content: text},
    finish_reason: reason,
  }),
  completion: (text, reason) => ({index: 0, text, finish_reason: reason}),
};

const objectNames: Record<AnswerShape, string> = {
  chat: 'chat.completion',
  completion: 'text_completion',
};

/**
 * An answer sent token by token.
 *
 * @example
 * const answer = streamedAnswer(options);
 * await answer.deliver({index: 0, text: 'Oak'});
 */
export function streamedAnswer(options: AnswerOptions): ModelAnswer {
  const {response, shape} = options;
  let hasBegun = false;

  function begin(): void {
    if (hasBegun) {
      return;
    }
    hasBegun = true;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
    });
  }

  function send(text: string, reason: string | null, extra = {}): void {
    const chunk = {
      id: options.id,
      object: `${objectNames[shape]}.chunk`,
      model: options.model,
      choices: [chunkMakers[shape](text, reason)],
      ...extra,
    };
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }

  return {
    deliver(token) {
      begin();
      send(token.text, null);
      if (response.writableLength <= options.bufferedBytes) {
        return undefined;
      }
      return drained(options);
    },
    finish(summary) {
      begin();
      send('', summary.reason, {usage: usageOf(summary)});
      response.end('data: [DONE]\n\n');
    },
    failMidway(problem) {
      if (!hasBegun) {
        return false;
      }
      // The status line is gone, so the end of the stream has to tell: without
      // it, a caller could take a cut answer for a whole one.
      response.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
      return true;
    },
  };
}

/**
 * An answer sent whole at its end.
 *
 * @example
 * const answer = wholeAnswer(options);
 */
export function wholeAnswer(options: AnswerOptions): ModelAnswer {
  const texts: string[] = [];
  return {
    deliver(token) {
      texts.push(token.text);
    },
    finish(summary) {
      const choice = choiceMakers[options.shape](
        texts.join(''),
        summary.reason,
      );
      const body = JSON.stringify({
        id: options.id,
        object: objectNames[options.shape],
        model: options.model,
        choices: [choice],
        usage: usageOf(summary),
      });
      options.response.writeHead(200, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
      });
      options.response.end(body);
    },
    failMidway: () => false,
  };
}

function usageOf(summary: StreamSummary): unknown {
  return {
    prompt_tokens: summary.promptTokens,
    completion_tokens: summary.generatedTokens,
    total_tokens: summary.promptTokens + summary.generatedTokens,
    prompt_tokens_details: {cached_tokens: summary.cachedTokens},
    recomputed_tokens: summary.recomputedTokens,
    attempts: summary.attempts,
  };
}

/**
 * Waits until a slow reader has taken what waits for it. A reader that takes
 * nothing would hold an endpoint's slot for ever, so it is cut off after a while.
 */
async function drained(options: AnswerOptions): Promise<void> {
  const {response, clock, signal} = options;
  const stop = new AbortController();
  const onAbort = () => stop.abort();
  signal.addEventListener('abort', onAbort, {once: true});
  const drain = new Promise<'drained'>(resolve => {
    response.once('drain', () => resolve('drained'));
  });
  const stalled = sleep(clock, options.stalledReaderMs, stop.signal).then(
    () => 'stalled' as const,
    () => 'stopped' as const,
  );
  const result = await Promise.race([drain, stalled]);
  signal.removeEventListener('abort', onAbort);
  stop.abort();
  if (result === 'drained') {
    return;
  }
  response.destroy();
  throw new ServingError('cancelled', `the reader has ${result}`);
}
