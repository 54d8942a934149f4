/** Responses to model requests, streamed as server-sent events or buffered. */
import type {ServerResponse} from 'node:http';
import {ServingError, sleep, type Clock} from '@skylarkfield/base';
import type {StreamSummary, StreamToken} from '@skylarkfield/streams';
import type {Problem} from './problem.js';

export type ResponseShape = 'chat' | 'completion';

export interface ModelResponse {
  /**
   * Adds a token. If a promise is returned, the next token must not be
   * delivered before it resolves.
   */
  deliver(token: StreamToken): void | Promise<void>;
  finish(summary: StreamSummary): void;
  /** Ends a started response with an error; returns false if not started. */
  failIfStarted(problem: Problem): boolean;
}

interface ModelResponseOptions {
  readonly id: string;
  readonly model: string;
  readonly shape: ResponseShape;
  readonly response: ServerResponse;
  readonly clock: Clock;
  /** Bytes buffered for a slow caller before backpressure applies. */
  readonly bufferedBytes: number;
  /** Time within which a slow caller must drain the buffer, in milliseconds. */
  readonly stalledReaderMs: number;
  readonly signal: AbortSignal;
}

/** Builders of the only choice in a streamed chunk, by shape. */
const chunkChoiceBuilders: Record<
  ResponseShape,
  (text: string, reason: string | null) => unknown
> = {
  chat: (text, reason) => ({
    index: 0,
    delta: text === '' ? {} : {content: text},
    finish_reason: reason,
  }),
  completion: (text, reason) => ({index: 0, text, finish_reason: reason}),
};

/** Builders of the only choice in a buffered response, by shape. */
const bufferedChoiceBuilders: Record<
  ResponseShape,
  (text: string, reason: string) => unknown
> = {
  chat: (text, reason) => ({
    index: 0,
    message: {role: 'assistant', content: text},
    finish_reason: reason,
  }),
  completion: (text, reason) => ({index: 0, text, finish_reason: reason}),
};

const objectTypes: Record<ResponseShape, string> = {
  chat: 'chat.completion',
  completion: 'text_completion',
};

/**
 * Creates a response that is sent token by token.
 *
 * @example
 * const response = createStreamedResponse(options);
 * await response.deliver({index: 0, text: 'Oak'});
 */
export function createStreamedResponse(
  options: ModelResponseOptions,
): ModelResponse {
  const {response, shape} = options;
  let isStarted = false;

  function writeHeadOnce(): void {
    if (isStarted) {
      return;
    }
    isStarted = true;
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
    });
  }

  function sendChunk(
    text: string,
    reason: string | null,
    extraFields = {},
  ): void {
    const chunk = {
      id: options.id,
      object: `${objectTypes[shape]}.chunk`,
      model: options.model,
      choices: [chunkChoiceBuilders[shape](text, reason)],
      ...extraFields,
    };
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }

  return {
    deliver(token) {
      writeHeadOnce();
      sendChunk(token.text, null);
      if (response.writableLength <= options.bufferedBytes) {
        return undefined;
      }
      return waitForDrain(options);
    },
    finish(summary) {
      writeHeadOnce();
      sendChunk('', summary.reason, {usage: usageOf(summary)});
      response.end('data: [DONE]\n\n');
    },
    failIfStarted(problem) {
      if (!isStarted) {
        return false;
      }
      // The status line was sent already: without an error event, a caller
      // could take a truncated response for a complete one.
      response.end(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
      return true;
    },
  };
}

/**
 * Creates a response that is sent as a whole after the last token.
 *
 * @example
 * const response = createBufferedResponse(options);
 */
export function createBufferedResponse(
  options: ModelResponseOptions,
): ModelResponse {
  const texts: string[] = [];
  return {
    deliver(token) {
      texts.push(token.text);
    },
    finish(summary) {
      const choice = bufferedChoiceBuilders[options.shape](
        texts.join(''),
        summary.reason,
      );
      const body = JSON.stringify({
        id: options.id,
        object: objectTypes[options.shape],
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
    failIfStarted: () => false,
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
 * Waits until a slow caller has drained the buffer of its response. A stalled
 * caller would occupy an endpoint's slot indefinitely, so the caller is
 * disconnected after `stalledReaderMs`.
 */
async function waitForDrain(options: ModelResponseOptions): Promise<void> {
  const {response, clock, signal} = options;
  const stopController = new AbortController();
  const onAbort = () => stopController.abort();
  signal.addEventListener('abort', onAbort, {once: true});
  const drainPromise = new Promise<'drained'>(resolve => {
    response.once('drain', () => resolve('drained'));
  });
  const stallTimeout = sleep(
    clock,
    options.stalledReaderMs,
    stopController.signal,
  ).then(
    () => 'stalled' as const,
    () => 'stopped' as const,
  );
  const result = await Promise.race([drainPromise, stallTimeout]);
  signal.removeEventListener('abort', onAbort);
  stopController.abort();
  if (result === 'drained') {
    return;
  }
  response.destroy();
  throw new ServingError('cancelled', `response reader ${result}`);
}
