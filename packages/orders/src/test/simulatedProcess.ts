/** A process whose clock, network and store stop while it is paused. */
import {
  ServingError,
  settlePromises,
  toDisposable,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {OrderNetwork} from '../index.js';

type Handler = (from: string, body: never) => unknown;

export interface SimulatedProcess {
  readonly id: string;
  readonly clock: Clock;
  readonly handlers: Map<string, Handler>;
  isAlive: boolean;
  isPaused: boolean;
  /**
   * When each of the next writes takes effect; the responses to these writes
   * are lost.
   */
  readonly lostReplyEffects: LostReplyEffect[];
  /**
   * Callbacks for the end of the process; they fail pending requests to the
   * process, as closed connections would.
   */
  readonly endListeners: Array<() => void>;
  /** Runs an action now, after the pause, or never if the process has ended. */
  run(action: () => void): void;
  /** Resolves at once or after the pause; never once the process has ended. */
  whenRunning(): Promise<void>;
  /**
   * Runs the actions deferred by the pause one by one, letting promises settle
   * after each action, and ends the pause.
   */
  resume(): Promise<void>;
}

/** Creates a process on the clock of the simulation. */
export function createProcess(id: string, clock: Clock): SimulatedProcess {
  const deferredActions: Array<() => void> = [];
  const process: SimulatedProcess = {
    id,
    handlers: new Map(),
    isAlive: true,
    isPaused: false,
    lostReplyEffects: [],
    endListeners: [],
    clock: {
      now: () => clock.now(),
      wall: () => clock.wall(),
      after(delayMs, callback) {
        let isCancelled = false;
        const timer = clock.after(delayMs, () =>
          process.run(() => {
            if (!isCancelled) {
              callback();
            }
          }),
        );
        return toDisposable(() => {
          isCancelled = true;
          timer.dispose();
        });
      },
    },
    run(action) {
      if (process.isPaused) {
        deferredActions.push(action);
        return;
      }
      if (process.isAlive) {
        action();
      }
    },
    whenRunning: () => new Promise<void>(resolve => process.run(resolve)),
    async resume() {
      let action = deferredActions.shift();
      while (action !== undefined && process.isAlive) {
        action();
        await settlePromises();
        action = deferredActions.shift();
      }
      process.isPaused = false;
    },
  };
  return process;
}

/** When a write whose response is lost takes effect. */
export type LostReplyEffect = 'now' | 'late' | 'never';

const LATE_WRITE_DELAY_MS = 600;

/**
 * Wraps a store: its responses are delayed until a pause ends, and responses to
 * writes can be lost.
 */
export function createProcessStore(
  store: ObjectStore,
  process: SimulatedProcess,
  clock: Clock,
): ObjectStore {
  async function afterResume<T>(call: Promise<T>): Promise<T> {
    try {
      return await call;
    } finally {
      await process.whenRunning();
    }
  }

  async function loseReply<T>(
    effect: LostReplyEffect,
    write: () => Promise<T>,
  ): Promise<T> {
    if (effect === 'now') {
      await write().catch(() => undefined);
    }
    if (effect === 'late') {
      clock.after(
        LATE_WRITE_DELAY_MS,
        () => void write().catch(() => undefined),
      );
    }
    throw new ServingError('outcome-unknown', 'the reply was lost');
  }

  return {
    ...store,
    get: (kind, name) => afterResume(store.get(kind, name)),
    put(kind, name, value, condition) {
      // Copied, since a real platform receives a serialized copy of the value.
      const copy = structuredClone(value);
      const write = () => store.put(kind, name, copy, condition);
      const effect = process.lostReplyEffects.shift();
      return afterResume(
        effect === undefined ? write() : loseReply(effect, write),
      );
    },
  };
}

export interface SimulatedNetwork {
  connect(process: SimulatedProcess): OrderNetwork;
  readonly processes: Map<string, SimulatedProcess>;
  /** Pairs `from>to` whose messages are lost. */
  readonly cuts: Set<string>;
  /** Share of the requests that are delivered a second time, after a delay. */
  duplicatedShare: number;
  /** Share of the messages that are lost. */
  lostShare: number;
}

const MAX_MESSAGE_DELAY_MS = 2;
const MAX_DUPLICATE_DELAY_MS = 3_000;

/** Creates the network between simulated processes. */
export function createSimulatedNetwork(
  clock: Clock,
  random: Random,
): SimulatedNetwork {
  const processes = new Map<string, SimulatedProcess>();
  const cuts = new Set<string>();
  const network: SimulatedNetwork = {
    processes,
    cuts,
    duplicatedShare: 0,
    lostShare: 0,
    connect,
  };

  function transmit(from: string, to: string, action: () => void): void {
    if (cuts.has(`${from}>${to}`) || random.chance(network.lostShare)) {
      return;
    }
    const target = processes.get(to);
    clock.after(MAX_MESSAGE_DELAY_MS * random.next(), () =>
      target?.run(action),
    );
  }

  async function callHandler(
    from: string,
    to: string,
    type: string,
    body: unknown,
  ): Promise<unknown> {
    const handler = processes.get(to)?.handlers.get(type);
    return handler?.(from, structuredClone(body) as never);
  }

  function connect(process: SimulatedProcess): OrderNetwork {
    processes.set(process.id, process);
    return {
      addHandler(type, handler) {
        process.handlers.set(type, handler as unknown as Handler);
        return toDisposable(() => process.handlers.delete(type));
      },
      request: (to, type, body, timeoutMs) =>
        new Promise((resolve, reject) => {
          process.clock.after(timeoutMs, () => reject(new Error('timeout')));
          if (!processes.get(to)?.isAlive) {
            reject(notConnectedError(to));
            return;
          }
          const onConnectionClosed = () =>
            process.run(() => reject(new Error('connection closed')));
          processes.get(to)?.endListeners.push(onConnectionClosed);
          const deliver = () =>
            transmit(process.id, to, () => {
              callHandler(process.id, to, type, body).then(
                result =>
                  transmit(to, process.id, () =>
                    resolve(structuredClone(result)),
                  ),
                () => undefined,
              );
            });
          deliver();
          if (random.chance(network.duplicatedShare)) {
            clock.after(MAX_DUPLICATE_DELAY_MS * random.next(), deliver);
          }
        }),
    };
  }

  return network;
}

/** Error of the inner protocol for a request that was not sent. */
function notConnectedError(to: string): ServingError {
  return new ServingError('interrupted', `no connection to ${to}`, {
    run: 'not-run',
  });
}
