/** A single attempt of a request at one endpoint. */
import {ServingError, type Clock, type Disposable} from '@skylarkfield/base';
import type {CallFormat, ResponseHead, ResponseHeaders} from './contracts.js';
import {createEventFramer, type EventFrame} from './eventFramer.js';
import type {UpstreamRequest, Upstreams} from './upstream.js';

/** Result of an attempt. */
export type AttemptEnd =
  /** A complete response of any status. */
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  /** A stream that was delivered to its end. */
  | {readonly type: 'streamed'}
  /** The endpoint guarantees that the request has not run and will not run. */
  | {readonly type: 'declined'; readonly status: number}
  /** No complete response; the error states if the request may have run. */
  | {
      readonly type: 'failed';
      readonly error: ServingError;
      /** Undefined unless the endpoint closed the connection or timed out. */
      readonly loss?: ConnectionLoss;
    };

/**
 * How the endpoint of a possibly running request was lost. `closed`: the
 * connection ended. `silent`: no data arrived before the attempt was aborted.
 */
export type ConnectionLoss = 'closed' | 'silent';

/** Receives the events of a stream over all attempts of one request. */
export interface EventSink {
  /** Passes on the status and headers of the first attempt only. */
  begin(status: number, headers: ResponseHeaders): void;
  /** Passes on an event; false applies backpressure to the endpoint. */
  write(frame: EventFrame): boolean;
  /** Calls back once when the caller can take more data. */
  whenDrained(callback: () => void): void;
  /** Passes on the bytes after the last event of a complete stream. */
  finish(rest: Buffer): void;
}

export interface AttemptOptions {
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly attemptId: string;
  readonly upstreams: Upstreams;
  readonly format: CallFormat;
  readonly clock: Clock;
  /** Aborted when the response is no longer needed. */
  readonly signal: AbortSignal;
  /** Receives the events of a stream; undefined if the route has no streams. */
  readonly sink: EventSink | undefined;
  /**
   * Time without data after which the attempt is aborted, in milliseconds;
   * undefined to rely on the signal alone.
   */
  readonly idleTimeoutMs: number | undefined;
  /**
   * Whether the endpoint was ordered to stop the request, so that a closed
   * connection does not mean that the response is complete.
   */
  isStopRequested(): boolean;
  /** Called with the response head of this attempt, whatever its status. */
  onDidRespond(head: ResponseHead): void;
  /** Called when the response has begun; for a stream, with its first event. */
  onDidBegin(head: ResponseHead): void;
}

/** Bounds of the success statuses, 200 to 299, which a stream requires. */
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

/**
 * Runs one attempt.
 *
 * A response is accepted only if it carries this attempt's id: an endpoint may
 * send a second response to an earlier request on the same connection, which
 * would leak another caller's data.
 *
 * @example
 * const end = await runAttempt({address: '10.0.0.7:8000', request, attemptId,
 *   ...rest});
 */
export function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  return new Promise(resolve => {
    const {clock, format, signal, sink, idleTimeoutMs} = options;
    const chunks: Buffer[] = [];
    const framer = createEventFramer();
    let statusAndHeaders:
      | {status: number; headers: ResponseHeaders}
      | undefined;
    let head: ResponseHead | undefined;
    let isStream = false;
    let hasBegun = false;
    let isSettled = false;
    let lastActivityAt = clock.now();
    let idleTimer =
      idleTimeoutMs === undefined ? undefined : startIdleTimer(idleTimeoutMs);

    /**
     * Aborts when idle. Rechecking on expiry is cheaper than a timer per event.
     */
    function startIdleTimer(limitMs: number): Disposable {
      const remainingMs = limitMs - (clock.now() - lastActivityAt);
      return clock.after(remainingMs, () => {
        if (clock.now() - lastActivityAt < limitMs) {
          idleTimer = startIdleTimer(limitMs);
          return;
        }
        abort(interrupted(`no data received for ${limitMs} ms`), 'silent');
      });
    }

    function recordActivity(): void {
      lastActivityAt = clock.now();
    }

    function settle(end: AttemptEnd): void {
      if (isSettled) {
        return;
      }
      isSettled = true;
      idleTimer?.dispose();
      signal.removeEventListener('abort', onAbort);
      resolve(end);
    }

    function abort(error: ServingError, loss?: ConnectionLoss): void {
      exchange.abort();
      settle({type: 'failed', error, ...(loss && {loss})});
    }

    function onAbort(): void {
      abort(abortReason(signal), 'silent');
    }

    function begin(): void {
      if (hasBegun || head === undefined) {
        return;
      }
      hasBegun = true;
      options.onDidBegin(head);
    }

    function onDidRespond(status: number, headers: ResponseHeaders): void {
      recordActivity();
      head = format.readResponse(headers, status);
      statusAndHeaders = {status, headers};
      if (head.attemptId !== options.attemptId) {
        abort(protocolViolation('the response has the id of another attempt'));
        return;
      }
      if (headers['content-encoding'] !== undefined) {
        abort(protocolViolation('the response has a content encoding'));
        return;
      }
      options.onDidRespond(head);
      const isSuccess =
        status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
      isStream = sink !== undefined && isSuccess;
      if (!isStream && !head.isNotRun) {
        begin();
      }
    }

    function forwardFrame(frame: EventFrame): void {
      if (statusAndHeaders === undefined || sink === undefined) {
        return;
      }
      if (!hasBegun) {
        begin();
        sink.begin(statusAndHeaders.status, statusAndHeaders.headers);
      }
      if (!sink.write(frame)) {
        exchange.pause();
        idleTimer?.dispose();
        sink.whenDrained(() => {
          recordActivity();
          idleTimer =
            idleTimeoutMs === undefined
              ? undefined
              : startIdleTimer(idleTimeoutMs);
          exchange.resume();
        });
      }
    }

    function onDidReceive(chunk: Buffer): void {
      recordActivity();
      if (!isStream) {
        chunks.push(chunk);
        return;
      }
      framer.push(chunk).forEach(forwardFrame);
    }

    function onDidEnd(isDelimited: boolean): void {
      if (!isDelimited && options.isStopRequested()) {
        abort(interrupted('the request was stopped'));
        return;
      }
      if (statusAndHeaders === undefined || head === undefined) {
        abort(interrupted('the response has no head'), 'closed');
        return;
      }
      if (head.isNotRun) {
        settle({type: 'declined', status: statusAndHeaders.status});
        return;
      }
      if (isStream && sink !== undefined) {
        if (!hasBegun) {
          begin();
          sink.begin(statusAndHeaders.status, statusAndHeaders.headers);
        }
        sink.finish(framer.remainder());
        settle({type: 'streamed'});
        return;
      }
      settle({
        type: 'answered',
        ...statusAndHeaders,
        body: Buffer.concat(chunks),
      });
    }

    if (signal.aborted) {
      settle({type: 'failed', error: cancelledBeforeSend()});
      return;
    }
    signal.addEventListener('abort', onAbort, {once: true});
    const exchange = options.upstreams.send(options.address, options.request, {
      onDidRespond,
      onDidReceive,
      onDidEnd,
      onDidFail: error => settle(connectionLost(error)),
    });
  });
}

/** A loss before the request was sent is no evidence against the request. */
function connectionLost(error: ServingError): AttemptEnd {
  return error.run === 'not-run'
    ? {type: 'failed', error}
    : {type: 'failed', error, loss: 'closed'};
}

/** Returns the signal's own error, or `cancelled` if the caller is gone. */
function abortReason(signal: AbortSignal): ServingError {
  if (signal.reason instanceof ServingError) {
    return signal.reason;
  }
  return new ServingError('cancelled', 'the caller disconnected', {
    run: 'may-have-run',
  });
}

function interrupted(message: string): ServingError {
  return new ServingError('interrupted', message, {run: 'may-have-run'});
}

function protocolViolation(message: string): ServingError {
  return new ServingError('protocol-violation', message, {
    run: 'may-have-run',
  });
}

function cancelledBeforeSend(): ServingError {
  return new ServingError('cancelled', 'cancelled before it was sent', {
    run: 'not-run',
  });
}
