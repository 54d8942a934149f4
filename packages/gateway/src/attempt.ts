/** One attempt of a request at one endpoint. */
import {ServingError, type Clock, type Disposable} from '@skylarkfield/base';
import type {CallFormat, ReplyHead, ReplyHeaders} from './contracts.js';
import {createEventFramer, type EventFrame} from './eventFramer.js';
import type {UpstreamRequest, Upstreams} from './upstream.js';

/** How an attempt ended. */
export type AttemptEnd =
  /** A whole answer, whatever its status. */
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly headers: ReplyHeaders;
      readonly body: Buffer;
    }
  /** A stream that was delivered to its end. */
  | {readonly type: 'streamed'}
  /** The endpoint promised that it has not run the request and won't. */
  | {readonly type: 'declined'; readonly status: number}
  /** No complete answer; the error tells whether the request may have run. */
  | {
      readonly type: 'failed';
      readonly error: ServingError;
      /** Undefined when the attempt did not end by the endpoint's close or silence. */
      readonly loss?: ConnectionLoss;
    };

/**
 * How a request that may have been running lost its endpoint. `closed`: the
 * connection ended. `silent`: nothing had come until the attempt was given up.
 */
export type ConnectionLoss = 'closed' | 'silent';

/** Takes the events of a stream, over all attempts of one request. */
export interface EventSink {
  /** The first attempt's status and headers; later ones are not passed on. */
  begin(status: number, headers: ReplyHeaders): void;
  /** Passes an event on; false when the caller reads too slowly and the endpoint must wait. */
  write(frame: EventFrame): boolean;
  /** Calls back once when the caller takes more. */
  whenDrained(callback: () => void): void;
  /** Passes on what follows the last event of a complete stream. */
  finish(rest: Buffer): void;
}

export interface AttemptOptions {
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly attemptId: string;
  readonly upstreams: Upstreams;
  readonly format: CallFormat;
  readonly clock: Clock;
  /** Aborted when nobody waits for the answer any more. */
  readonly signal: AbortSignal;
  /** Where the events of a stream go; undefined for a request with a whole answer. */
  readonly sink: EventSink | undefined;
  /** Silence after which the attempt is given up, in milliseconds; undefined to wait for the signal alone. */
  readonly idleTimeoutMs: number | undefined;
  /** Whether the endpoint was told to stop the request: an end of its connection then proves nothing. */
  isStopRequested(): boolean;
  /** The head of the endpoint's answer to this attempt has come, whatever it says. */
  onDidRespond(head: ReplyHead): void;
  /** The endpoint's answer has begun; for a stream, its first event has come. */
  onDidBegin(head: ReplyHead): void;
}

/** Statuses of an answer that has a stream as its body. */
const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;

/**
 * Runs one attempt.
 *
 * An answer is taken only when it names this attempt: an endpoint may send a
 * second answer to an earlier request on the same connection, and its caller's
 * data would go to somebody else.
 *
 * @example
 * const end = await runAttempt({address: '10.0.0.7:8000', request, attemptId, ...rest});
 */
export function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  return new Promise(resolve => {
    const {clock, format, signal, sink, idleTimeoutMs} = options;
    const chunks: Buffer[] = [];
    const framer = createEventFramer();
    let reply: {status: number; headers: ReplyHeaders} | undefined;
    let head: ReplyHead | undefined;
    let isStream = false;
    let hasBegun = false;
    let isSettled = false;
    let lastActivityAt = clock.now();
    let idleTimer =
      idleTimeoutMs === undefined ? undefined : startIdleTimer(idleTimeoutMs);

    /** Gives up after a silence; a check in between is cheaper than a timer for each event. */
    function startIdleTimer(limitMs: number): Disposable {
      const remainingMs = limitMs - (clock.now() - lastActivityAt);
      return clock.after(remainingMs, () => {
        if (clock.now() - lastActivityAt < limitMs) {
          idleTimer = startIdleTimer(limitMs);
          return;
        }
        abort(interrupted(`no data for ${limitMs} ms`), 'silent');
      });
    }

    function noteActivity(): void {
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

    function onDidRespond(status: number, headers: ReplyHeaders): void {
      noteActivity();
      head = format.readReply(headers, status);
      reply = {status, headers};
      if (head.attemptId !== options.attemptId) {
        abort(protocolViolation('the answer names another request'));
        return;
      }
      if (headers['content-encoding'] !== undefined) {
        abort(protocolViolation('the answer is encoded'));
        return;
      }
      options.onDidRespond(head);
      const isSuccess = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
      isStream = sink !== undefined && isSuccess;
      if (!isStream && !head.isNotRun) {
        begin();
      }
    }

    function forwardFrame(frame: EventFrame): void {
      if (reply === undefined || sink === undefined) {
        return;
      }
      if (!hasBegun) {
        begin();
        sink.begin(reply.status, reply.headers);
      }
      if (!sink.write(frame)) {
        exchange.pause();
        idleTimer?.dispose();
        sink.whenDrained(() => {
          noteActivity();
          idleTimer =
            idleTimeoutMs === undefined
              ? undefined
              : startIdleTimer(idleTimeoutMs);
          exchange.resume();
        });
      }
    }

    function onDidReceive(chunk: Buffer): void {
      noteActivity();
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
      if (reply === undefined || head === undefined) {
        abort(interrupted('the answer has no head'), 'closed');
        return;
      }
      if (head.isNotRun) {
        settle({type: 'declined', status: reply.status});
        return;
      }
      if (isStream && sink !== undefined) {
        if (!hasBegun) {
          begin();
          sink.begin(reply.status, reply.headers);
        }
        sink.finish(framer.remainder());
        settle({type: 'streamed'});
        return;
      }
      settle({type: 'answered', ...reply, body: Buffer.concat(chunks)});
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

/** The end of a connection; before the request was sent it tells nothing about the endpoint's runs. */
function connectionLost(error: ServingError): AttemptEnd {
  return error.run === 'not-run'
    ? {type: 'failed', error}
    : {type: 'failed', error, loss: 'closed'};
}

/** Why nobody waits any more: the signal's own error, or the caller has left. */
function abortReason(signal: AbortSignal): ServingError {
  if (signal.reason instanceof ServingError) {
    return signal.reason;
  }
  return new ServingError('cancelled', 'the caller has left', {
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
  return new ServingError('cancelled', 'given up before it was sent', {
    run: 'not-run',
  });
}
