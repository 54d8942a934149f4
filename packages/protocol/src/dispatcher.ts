/**
 * Handlers by message type, pending requests and traffic counters, which all
 * implementations of the peer network share.
 */
import {
  ServingError,
  errorResponses,
  toDisposable,
  toServingError,
  type Clock,
  type Disposable,
  type ErrorKind,
  type Logger,
  type RunState,
} from '@skylarkfield/base';
import {
  RESPONSE_FRAME,
  ERROR_FRAME,
  encodeFrame,
  decodeFrame,
  type Frame,
} from './codec.js';
import type {NetworkTraffic} from './contracts.js';

/**
 * Identifies the connection that carries a request: the connection itself, or
 * the peer's id in networks that never have two connections to one peer.
 */
export type Channel = object | string;

type Handler = (senderId: string, body: unknown) => unknown;

interface PendingRequest {
  readonly peerId: string;
  readonly channel: Channel;
  settle(outcome: {body: unknown} | {error: ServingError}): void;
}

/** Body of an error frame. */
interface ErrorBody {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly run: RunState;
}

/** Encodes, sends, receives and counts the messages of one process. */
export interface Dispatcher extends Disposable {
  /** Encodes a frame and counts it as sent to `receiverCount` peers. */
  encode(frame: Frame, receiverCount?: number): Buffer;
  /** Handles received bytes; returns false if they are malformed. */
  receive(
    senderId: string,
    bytes: Buffer,
    reply: (bytes: Buffer) => void,
  ): boolean;
  addHandler(type: string, handler: Handler): Disposable;
  /**
   * Sends a request through `send`, which returns false if it cannot send, and
   * waits for the response. `channel` defaults to the id of the peer.
   */
  request(
    peerId: string,
    type: string,
    body: unknown,
    timeoutMs: number,
    send: (bytes: Buffer) => boolean,
    channel?: Channel,
  ): Promise<unknown>;
  /** Fails the pending requests of a closed channel with `interrupted`. */
  failRequests(channel: Channel): void;
  /** Counts invalid input that was rejected outside the dispatcher. */
  countRejected(): void;
  traffic(): NetworkTraffic;
}

/**
 * Creates the dispatcher of one process.
 *
 * @example
 * const dispatcher = createDispatcher({clock, log});
 * dispatcher.addHandler('heartbeat', (from, body) => onHeartbeat(from, body));
 */
export function createDispatcher(options: {
  readonly clock: Clock;
  readonly log: Logger;
}): Dispatcher {
  const {clock, log} = options;
  const handlers = new Map<string, Set<Handler>>();
  const pendingRequests = new Map<number, PendingRequest>();
  let lastRequestId = 0;
  const traffic = {
    messagesSent: 0,
    bytesSent: 0,
    messagesReceived: 0,
    bytesReceived: 0,
    rejected: 0,
  };

  function encode(frame: Frame, receiverCount = 1): Buffer {
    const bytes = encodeFrame(frame);
    traffic.messagesSent += receiverCount;
    traffic.bytesSent += bytes.length * receiverCount;
    return bytes;
  }

  /** Runs the handlers of the frame's type until one returns a result. */
  async function runHandlers(senderId: string, frame: Frame): Promise<unknown> {
    let result: unknown;
    for (const handler of [...(handlers.get(frame.type) ?? [])]) {
      result ??= await handler(senderId, frame.body);
    }
    return result;
  }

  function respond(
    senderId: string,
    frame: Frame,
    reply: (bytes: Buffer) => void,
  ) {
    runHandlers(senderId, frame).then(
      body =>
        reply(encode({type: RESPONSE_FRAME, requestId: frame.requestId, body})),
      error => {
        const {kind, message, run} = toServingError(error);
        const body: ErrorBody = {kind, message, run};
        reply(encode({type: ERROR_FRAME, requestId: frame.requestId, body}));
      },
    );
  }

  function deliverOneWay(senderId: string, frame: Frame) {
    for (const handler of [...(handlers.get(frame.type) ?? [])]) {
      // A handler that throws must neither keep the other handlers from running
      // nor end the process.
      new Promise(resolve => resolve(handler(senderId, frame.body))).catch(
        error =>
          log.error(
            {peer: senderId, type: frame.type, err: toServingError(error)},
            'message handler failed',
          ),
      );
    }
  }

  function settleRequest(senderId: string, frame: Frame) {
    const request = pendingRequests.get(frame.requestId);
    // Drops responses that come from another peer or after the timeout.
    if (request === undefined || request.peerId !== senderId) {
      traffic.rejected += 1;
      return;
    }
    request.settle(
      frame.type === RESPONSE_FRAME
        ? {body: frame.body}
        : {error: toRequestError(frame.body)},
    );
  }

  function dispatch(
    senderId: string,
    frame: Frame,
    reply: (bytes: Buffer) => void,
  ) {
    if (frame.type === RESPONSE_FRAME || frame.type === ERROR_FRAME) {
      settleRequest(senderId, frame);
      return;
    }
    if (!handlers.has(frame.type)) {
      traffic.rejected += 1;
      log.debug(
        {peer: senderId, type: frame.type},
        'received an unknown message type',
      );
      if (frame.requestId !== 0) {
        const body: ErrorBody = {
          kind: 'protocol-violation',
          message: `no handler for ${frame.type}`,
          run: 'not-run',
        };
        reply(encode({type: ERROR_FRAME, requestId: frame.requestId, body}));
      }
      return;
    }
    if (frame.requestId !== 0) {
      respond(senderId, frame, reply);
      return;
    }
    deliverOneWay(senderId, frame);
  }

  return {
    encode,
    receive(senderId, bytes, reply) {
      traffic.messagesReceived += 1;
      traffic.bytesReceived += bytes.length;
      let frame: Frame;
      try {
        frame = decodeFrame(bytes);
      } catch (error) {
        traffic.rejected += 1;
        log.warn(
          {peer: senderId, reason: String(error)},
          'received a malformed message',
        );
        return false;
      }
      dispatch(senderId, frame, reply);
      return true;
    },
    addHandler(type, handler) {
      const typeHandlers = handlers.get(type) ?? new Set();
      handlers.set(type, typeHandlers);
      typeHandlers.add(handler);
      return toDisposable(() => {
        typeHandlers.delete(handler);
        // An empty set would count as a handler: a request would get an empty
        // response instead of the error that there is no handler.
        if (typeHandlers.size === 0 && handlers.get(type) === typeHandlers) {
          handlers.delete(type);
        }
      });
    },
    request(peerId, type, body, timeoutMs, send, channel = peerId) {
      const requestId = ++lastRequestId;
      return new Promise((resolve, reject) => {
        const timer = clock.after(timeoutMs, () =>
          settle({error: timeoutError(peerId, type)}),
        );
        function settle(outcome: {body: unknown} | {error: ServingError}) {
          pendingRequests.delete(requestId);
          timer.dispose();
          if ('error' in outcome) {
            reject(outcome.error);
            return;
          }
          resolve(outcome.body);
        }
        pendingRequests.set(requestId, {peerId, channel, settle});
        if (!send(encode({type, requestId, body}))) {
          settle({error: notConnectedError(peerId)});
        }
      });
    },
    failRequests(channel) {
      for (const request of [...pendingRequests.values()]) {
        if (request.channel === channel) {
          request.settle({error: interruptedError(request.peerId)});
        }
      }
    },
    countRejected() {
      traffic.rejected += 1;
    },
    traffic: () => ({...traffic}),
    dispose() {
      for (const request of [...pendingRequests.values()]) {
        request.settle({
          error: new ServingError('cancelled', 'the peer network was closed'),
        });
      }
      handlers.clear();
    },
  };
}

/** Converts the body of an error frame, which is not trusted, to an error. */
function toRequestError(body: unknown): ServingError {
  const errorBody = (body ?? {}) as Partial<ErrorBody>;
  const kind = String(errorBody.kind);
  if (!Object.hasOwn(errorResponses, kind)) {
    return new ServingError(
      'protocol-violation',
      'the peer returned an unknown error kind',
    );
  }
  // `not-run` is a guarantee, so it needs the peer's explicit statement.
  const run = errorBody.run === 'not-run' ? 'not-run' : 'may-have-run';
  return new ServingError(kind as ErrorKind, String(errorBody.message), {run});
}

function timeoutError(peerId: string, type: string): ServingError {
  return new ServingError(
    'deadline-exceeded',
    `${peerId} did not respond to ${type} in time`,
    {run: 'may-have-run'},
  );
}

/**
 * Returns the error of a request that was never sent to `target`, a peer's id
 * or URL; its run state is `not-run`.
 *
 * @example
 * throw notConnectedError('b');
 */
export function notConnectedError(target: string): ServingError {
  return new ServingError('interrupted', `no connection to ${target}`, {
    run: 'not-run',
  });
}

function interruptedError(peerId: string): ServingError {
  return new ServingError('interrupted', `the connection to ${peerId} closed`);
}
