/** The response to one caller's request, written at most once. */
import type {ServerResponse} from 'node:http';
import {
  breakOffResponse,
  errorResponses,
  framingOf,
  type ServingError,
} from '@skylarkfield/base';
import type {CallFormat} from '../contracts.js';
import type {EventFrame} from '../attempts/eventFramer.js';
import type {CompleteResponse, EventSink} from '../attempts/attemptResult.js';
import {createStreamWriter, type OutgoingHeaders} from './streamWriter.js';
import {isServerError} from '../attempts/attemptOutcome.js';

export interface CallerReply {
  /** Whether the response headers have been sent. */
  hasBegun(): boolean;
  /** Id of the last event passed on; undefined before any such event. */
  lastEventId(): number | undefined;
  /** Number of events passed on to the caller so far. */
  eventCount(): number;
  readonly sink: EventSink;
  /** Sends a complete response of an endpoint. */
  sendResponse(response: CompleteResponse): void;
  /**
   * Sends the error as a response, or aborts the response if it has already
   * begun. Returns the HTTP status for the error in both cases.
   */
  sendError(error: ServingError): number;
  /** Ends the caller's connection so that the response looks incomplete. */
  abort(): void;
}

const MS_PER_SECOND = 1_000;

/** Statuses that do not state whether the request has run. */
const BAD_GATEWAY_STATUS = 502;
const GATEWAY_TIMEOUT_STATUS = 504;
/** Status that guarantees that the request has not run and will not run. */
const UNAVAILABLE_STATUS = 503;

/** Retry-After of an error that specifies no retry delay, in milliseconds. */
const DEFAULT_RETRY_MS = 300;

/** Precision of Retry-After, in milliseconds. */
const RETRY_STEP_MS = 10;

/**
 * Creates the reply to one request.
 *
 * @example
 * const reply = createCallerReply({response, format, isClosing});
 * reply.sendError(error);
 */
export function createCallerReply(options: {
  readonly response: ServerResponse;
  readonly format: CallFormat;
  /** Whether to close the connection after this response. */
  isClosing(): boolean;
}): CallerReply {
  const {response, format} = options;
  const stream = createStreamWriter(response, writeHead);
  let lastEventId: number | undefined;
  let eventCount = 0;

  function writeHead(status: number, headers: OutgoingHeaders): void {
    if (options.isClosing()) {
      headers['connection'] = 'close';
    }
    response.writeHead(status, headers);
  }

  return {
    hasBegun: stream.hasBegun,
    lastEventId: () => lastEventId,
    eventCount: () => eventCount,
    sink: {
      hasBegun: stream.hasBegun,
      lastEventId: () => lastEventId,
      begin({status, headers}) {
        if (!stream.hasBegun()) {
          stream.begin(status, format.buildCallerHeaders(headers));
        }
      },
      write({bytes, id}: EventFrame) {
        if (id !== undefined) {
          // A resumed stream may repeat events that the caller already has.
          if (lastEventId !== undefined && id <= lastEventId) {
            return true;
          }
          lastEventId = id;
        }
        eventCount += 1;
        return stream.write(bytes);
      },
      whenDrained: callback => response.once('drain', callback),
      finish: stream.end,
    },
    sendResponse({status, headers, body}) {
      const replyHeaders = format.buildCallerHeaders(headers);
      const isBodiless =
        framingOf(response.req.method ?? '', status, headers) === 'head';
      const length = isBodiless
        ? headers['content-length']?.toString()
        : String(body.length);
      if (length !== undefined) {
        replyHeaders['content-length'] = length;
      }
      writeHead(status, replyHeaders);
      response.end(body);
    },
    sendError(error) {
      const status = statusOf(error);
      if (response.headersSent || response.destroyed) {
        breakOffResponse(response);
        return status;
      }
      const body = Buffer.from(
        JSON.stringify({
          title: errorResponses[error.kind].title,
          kind: error.kind,
          run: error.run,
          detail: error.message,
        }),
      );
      const headers: Record<string, string> = {
        'content-type': 'application/problem+json',
        'content-length': String(body.length),
      };
      if (error.run === 'not-run' && errorResponses[error.kind].retryable) {
        const waitMs = error.retryAfterMs ?? DEFAULT_RETRY_MS;
        headers['retry-after'] = formatRetryAfter(waitMs);
      }
      writeHead(status, headers);
      response.end(body);
      return status;
    },
    abort: () => breakOffResponse(response),
  };
}

/** Returns Retry-After in seconds, rounded up so that no caller is early. */
function formatRetryAfter(waitMs: number): string {
  const roundedMs = Math.ceil(waitMs / RETRY_STEP_MS) * RETRY_STEP_MS;
  return (roundedMs / MS_PER_SECOND).toFixed(2);
}

/**
 * Returns the HTTP status for an error. Callers retry non-idempotent requests
 * only on a status that guarantees that the request has not run, so a request
 * that may have run gets 502 or 504.
 */
function statusOf(error: ServingError): number {
  const {status} = errorResponses[error.kind];
  if (error.run === 'not-run') {
    return isServerError(status) ? UNAVAILABLE_STATUS : status;
  }
  return error.kind === 'deadline-exceeded'
    ? GATEWAY_TIMEOUT_STATUS
    : BAD_GATEWAY_STATUS;
}
