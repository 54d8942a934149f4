/**
 * What every kind of network does alike: handlers by message type, questions
 * that wait for their answer, and counters.
 */
import {
  ServingError,
  errorAnswers,
  toDisposable,
  toServingError,
  type Clock,
  type Disposable,
  type ErrorKind,
  type Logger,
  type RunState,
} from '@skylarkfield/base';
import {
  ANSWER,
  FAILURE,
  encodeFrame,
  decodeFrame,
  type Frame,
} from './codec.js';
import type {NetworkTraffic} from './contracts.js';

/**
 * What a question travels over: a connection, or the id of the peer where two
 * connections to one peer never stand side by side.
 */
export type Channel = object | string;

type Handler = (from: string, body: unknown) => unknown;

interface PendingAsk {
  readonly to: string;
  readonly channel: Channel;
  settle(outcome: {body: unknown} | {error: ServingError}): void;
}

/** What a failed handler tells the asker. */
interface Failure {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly run: RunState;
}

export interface Dispatcher extends Disposable {
  /** Encodes a frame and counts it as sent to so many peers. */
  encode(frame: Frame, receivers?: number): Buffer;
  /** Handles received bytes; false when they broke the protocol. */
  receive(from: string, bytes: Buffer, reply: (bytes: Buffer) => void): boolean;
  handle(type: string, handler: Handler): Disposable;
  /**
   * Sends a question by the given function and waits for its answer. The channel
   * is the id of the peer unless another is given.
   */
  ask(
    to: string,
    type: string,
    body: unknown,
    timeoutMs: number,
    send: (bytes: Buffer) => boolean,
    channel?: Channel,
  ): Promise<unknown>;
  /** Fails the questions that wait for an answer over a channel that closed. */
  failAsks(channel: Channel): void;
  /** Counts something received that could not be used. */
  reject(): void;
  traffic(): NetworkTraffic;
}

/**
 * Makes the dispatcher of one process.
 *
 * @example
 * const dispatcher = createDispatcher({clock, log});
 * dispatcher.handle('heartbeat', (from, body) => hear(from, body));
 */
export function createDispatcher(options: {
  readonly clock: Clock;
  readonly log: Logger;
}): Dispatcher {
  const {clock, log} = options;
  const handlers = new Map<string, Set<Handler>>();
  const pending = new Map<number, PendingAsk>();
  let lastAsk = 0;
  const traffic = {
    messagesSent: 0,
    bytesSent: 0,
    messagesReceived: 0,
    bytesReceived: 0,
    rejected: 0,
  };

  function encode(frame: Frame, receivers = 1): Buffer {
    const bytes = encodeFrame(frame);
    traffic.messagesSent += receivers;
    traffic.bytesSent += bytes.length * receivers;
    return bytes;
  }

  /** Runs every handler of the type; the first result that is not undefined answers. */
  async function runHandlers(from: string, frame: Frame): Promise<unknown> {
    let result: unknown;
    for (const handler of [...(handlers.get(frame.type) ?? [])]) {
      result ??= await handler(from, frame.body);
    }
    return result;
  }

  function answer(from: string, frame: Frame, reply: (b: Buffer) => void) {
    runHandlers(from, frame).then(
      body => reply(encode({type: ANSWER, ask: frame.ask, body})),
      error => {
        const {kind, message, run} = toServingError(error);
        const body: Failure = {kind, message, run};
        reply(encode({type: FAILURE, ask: frame.ask, body}));
      },
    );
  }

  function notify(from: string, frame: Frame) {
    for (const handler of [...(handlers.get(frame.type) ?? [])]) {
      // A handler that throws must not keep the others from the message, nor end the process.
      new Promise(resolve => resolve(handler(from, frame.body))).catch(error =>
        log.error(
          {peer: from, type: frame.type, err: toServingError(error)},
          'a message handler failed',
        ),
      );
    }
  }

  function settleAsk(from: string, frame: Frame) {
    const waiting = pending.get(frame.ask);
    // The answer of another peer, or one after the timeout, belongs to nobody.
    if (waiting === undefined || waiting.to !== from) {
      traffic.rejected += 1;
      return;
    }
    waiting.settle(
      frame.type === ANSWER
        ? {body: frame.body}
        : {error: toAskError(frame.body)},
    );
  }

  function dispatch(from: string, frame: Frame, reply: (b: Buffer) => void) {
    if (frame.type === ANSWER || frame.type === FAILURE) {
      settleAsk(from, frame);
      return;
    }
    if (!handlers.has(frame.type)) {
      traffic.rejected += 1;
      log.debug({peer: from, type: frame.type}, 'unknown message type');
      if (frame.ask !== 0) {
        const body: Failure = {
          kind: 'protocol-violation',
          message: `no handler for ${frame.type}`,
          run: 'not-run',
        };
        reply(encode({type: FAILURE, ask: frame.ask, body}));
      }
      return;
    }
    if (frame.ask !== 0) {
      answer(from, frame, reply);
      return;
    }
    notify(from, frame);
  }

  return {
    encode,
    receive(from, bytes, reply) {
      traffic.messagesReceived += 1;
      traffic.bytesReceived += bytes.length;
      let frame: Frame;
      try {
        frame = decodeFrame(bytes);
      } catch (error) {
        traffic.rejected += 1;
        log.warn({peer: from, reason: String(error)}, 'unreadable message');
        return false;
      }
      dispatch(from, frame, reply);
      return true;
    },
    handle(type, handler) {
      const known = handlers.get(type) ?? new Set();
      handlers.set(type, known);
      known.add(handler);
      return toDisposable(() => {
        known.delete(handler);
        // An empty set would pass for a handler: a question would get an empty
        // answer instead of the word that nobody here takes it.
        if (known.size === 0 && handlers.get(type) === known) {
          handlers.delete(type);
        }
      });
    },
    ask(to, type, body, timeoutMs, send, channel = to) {
      const ask = ++lastAsk;
      return new Promise((resolve, reject) => {
        const timer = clock.after(timeoutMs, () =>
          settle({error: timeoutError(to, type)}),
        );
        function settle(outcome: {body: unknown} | {error: ServingError}) {
          pending.delete(ask);
          timer.dispose();
          if ('error' in outcome) {
            reject(outcome.error);
            return;
          }
          resolve(outcome.body);
        }
        pending.set(ask, {to, channel, settle});
        if (!send(encode({type, ask, body}))) {
          settle({error: notConnectedError(to)});
        }
      });
    },
    failAsks(channel) {
      for (const waiting of [...pending.values()]) {
        if (waiting.channel === channel) {
          waiting.settle({error: interruptedError(waiting.to)});
        }
      }
    },
    reject() {
      traffic.rejected += 1;
    },
    traffic: () => ({...traffic}),
    dispose() {
      for (const waiting of [...pending.values()]) {
        waiting.settle({
          error: new ServingError('cancelled', 'the network was closed'),
        });
      }
      handlers.clear();
    },
  };
}

/** A peer's words are checked before they become an error of ours. */
function toAskError(body: unknown): ServingError {
  const failure = (body ?? {}) as Partial<Failure>;
  const kind = String(failure.kind);
  if (!Object.hasOwn(errorAnswers, kind)) {
    return new ServingError('protocol-violation', 'unknown failure of a peer');
  }
  // Unless the peer clearly says so, `not-run` would be a promise without ground.
  const run = failure.run === 'not-run' ? 'not-run' : 'may-have-run';
  return new ServingError(kind as ErrorKind, String(failure.message), {run});
}

function timeoutError(to: string, type: string): ServingError {
  return new ServingError(
    'deadline-exceeded',
    `${to} did not answer ${type} in time`,
    {run: 'may-have-run'},
  );
}

/** The error of a question that never left this process. */
export function notConnectedError(to: string): ServingError {
  return new ServingError('interrupted', `no connection to ${to}`, {
    run: 'not-run',
  });
}

function interruptedError(to: string): ServingError {
  return new ServingError('interrupted', `the connection to ${to} closed`);
}
