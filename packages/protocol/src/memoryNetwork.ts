/**
 * Many peers in one process, with the real codec and without sockets: delay,
 * loss, cuts and pauses, for tests and for measurements at many members.
 */
import {
  emitter,
  silentLogger,
  toDisposable,
  type Clock,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {NetworkTraffic, PeerAddress, PeerNetwork} from './contracts.js';
import {
  createDispatcher,
  notConnectedError,
  type Dispatcher,
} from './dispatcher.js';

/** One simulated process. */
export interface MemoryPeer {
  readonly network: PeerNetwork;
  /** A clock whose timers wait while the process is paused. */
  readonly clock: Clock;
}

export interface MemoryNetwork {
  /** Starts a process; one of the same id that ran before is crashed first. */
  start(id: string): MemoryPeer;
  /** Ends a process without a word, as SIGKILL does. */
  crash(id: string): void;
  /** Stops its timers and lets received messages wait, as SIGSTOP does. */
  pause(id: string): void;
  resume(id: string): void;
  /** Drops what goes from one to the other; the way back stays open. */
  cut(from: string, to: string): void;
  heal(from: string, to: string): void;
  healAll(): void;
  setLoss(probability: number): void;
  /** Messages and bytes of all processes together. */
  total(): NetworkTraffic;
}

interface Process {
  readonly id: string;
  readonly dispatcher: Dispatcher;
  readonly known: Set<string>;
  readonly waiting: (() => void)[];
  readonly changed: ReturnType<typeof emitter<{peer: string; isOpen: boolean}>>;
  isPaused: boolean;
  isAlive: boolean;
}

const DEFAULT_DELAY_MS = 1;

/** Addresses of simulated processes are this and the id. */
export const MEMORY_SCHEME = 'memory://';

/**
 * Makes an empty network of simulated processes.
 *
 * @example
 * const net = createMemoryNetwork({clock: virtualClock(), random: seededRandom(1)});
 * const {network, clock} = net.start('a');
 */
export function createMemoryNetwork(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly log?: Logger;
  /** One-way delay; up to the same again is added at random. */
  readonly delayMs?: number;
}): MemoryNetwork {
  const {clock, random} = options;
  const delayMs = options.delayMs ?? DEFAULT_DELAY_MS;
  const processes = new Map<string, Process>();
  const cuts = new Set<string>();
  let loss = 0;

  /** Runs now, or after the pause when the process is paused, or never when it has died. */
  function runIn(process: Process, action: () => void) {
    if (!process.isAlive) {
      return;
    }
    if (process.isPaused) {
      process.waiting.push(action);
      return;
    }
    action();
  }

  function clockOf(process: Process): Clock {
    return {
      now: () => clock.now(),
      wall: () => clock.wall(),
      after: (delay, callback) => {
        let isCancelled = false;
        const timer = clock.after(delay, () =>
          runIn(process, () => {
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
    };
  }

  function carry(from: Process, to: string, bytes: Buffer): void {
    const target = processes.get(to);
    if (target !== undefined) {
      carryTo(from, target, bytes);
    }
  }

  function carryTo(from: Process, target: Process, bytes: Buffer): void {
    const isLost = loss > 0 && random.chance(loss);
    if (isLost || cuts.has(cutKey(from.id, target.id))) {
      return;
    }
    clock.after(delayMs * (1 + random.next()), () =>
      runIn(target, () => {
        // The answer goes to the process that asked, never to a later one of
        // its id: as with a connection, which ends with the process.
        target.dispatcher.receive(from.id, bytes, reply =>
          carryTo(target, from, reply),
        );
      }),
    );
  }

  function isConnected(process: Process, to: string): boolean {
    return process.known.has(to) && processes.get(to)?.isAlive === true;
  }

  /** Opens both ends, as a connection dialled by either side does. */
  function connect(process: Process, to: string) {
    const target = processes.get(to);
    const isCut =
      cuts.has(cutKey(process.id, to)) || cuts.has(cutKey(to, process.id));
    if (!target?.isAlive || isCut || process.known.has(to)) {
      return;
    }
    process.known.add(to);
    target.known.add(process.id);
    process.changed.fire({peer: to, isOpen: true});
    runIn(target, () => target.changed.fire({peer: process.id, isOpen: true}));
  }

  function disconnect(process: Process, to: string) {
    if (!process.known.delete(to)) {
      return;
    }
    process.dispatcher.failAsks(to);
    process.changed.fire({peer: to, isOpen: false});
    const target = processes.get(to);
    if (target?.known.delete(process.id)) {
      runIn(target, () =>
        target.changed.fire({peer: process.id, isOpen: false}),
      );
    }
  }

  function networkOf(process: Process): PeerNetwork {
    const {dispatcher} = process;
    let book = new Set<string>();
    let wanted = new Set<string>();
    function sendBytes(to: string, bytes: Buffer): boolean {
      if (wanted.has(to) || book.has(to)) {
        connect(process, to);
      }
      if (!isConnected(process, to)) {
        return false;
      }
      carry(process, to, bytes);
      return true;
    }
    function connected() {
      return [...process.known].filter(to => isConnected(process, to));
    }
    return {
      setPeers(peers: readonly PeerAddress[]) {
        wanted = new Set(peers.map(peer => peer.id));
        wanted.delete(process.id);
        for (const id of [...process.known]) {
          if (!wanted.has(id) && !book.has(id)) {
            disconnect(process, id);
          }
        }
        for (const id of wanted) {
          connect(process, id);
        }
      },
      setAddressBook(peers) {
        book = new Set(peers.map(peer => peer.id));
      },
      dial(url) {
        const id = url.replace(MEMORY_SCHEME, '');
        connect(process, id);
        return isConnected(process, id)
          ? Promise.resolve(id)
          : Promise.reject(notConnectedError(url));
      },
      connected,
      send: (to, type, body) =>
        sendBytes(to, dispatcher.encode({type, ask: 0, body})),
      broadcast(type, body, to) {
        const receivers = to ?? connected();
        const bytes = dispatcher.encode({type, ask: 0, body}, receivers.length);
        return receivers.filter(id => sendBytes(id, bytes)).length;
      },
      ask: (to, type, body, timeoutMs) =>
        dispatcher.ask(to, type, body, timeoutMs, bytes =>
          sendBytes(to, bytes),
        ),
      onDidReceive: (type, handler) =>
        dispatcher.handle(type, handler as (f: string, b: unknown) => unknown),
      onDidChangePeer: listener =>
        process.changed.event(({peer, isOpen}) => listener(peer, isOpen)),
      traffic: () => dispatcher.traffic(),
      dispose() {
        for (const id of [...process.known]) {
          disconnect(process, id);
        }
        process.isAlive = false;
        dispatcher.dispose();
      },
    };
  }

  function crash(id: string) {
    const process = processes.get(id);
    if (process === undefined || !process.isAlive) {
      return;
    }
    process.isAlive = false;
    for (const other of processes.values()) {
      if (other.known.delete(id)) {
        other.dispatcher.failAsks(id);
        runIn(other, () => other.changed.fire({peer: id, isOpen: false}));
      }
    }
  }

  return {
    start(id) {
      crash(id);
      const process = {
        id,
        known: new Set<string>(),
        waiting: [],
        changed: emitter<{peer: string; isOpen: boolean}>(),
        isPaused: false,
        isAlive: true,
      } as Omit<Process, 'dispatcher'> as Process;
      const own = clockOf(process);
      const dispatcher = createDispatcher({
        clock: own,
        log: options.log ?? silentLogger(),
      });
      Object.assign(process, {dispatcher});
      processes.set(id, process);
      return {network: networkOf(process), clock: own};
    },
    crash,
    pause(id) {
      const process = processes.get(id);
      if (process !== undefined) {
        process.isPaused = true;
      }
    },
    resume(id) {
      const process = processes.get(id);
      if (process === undefined || !process.isPaused) {
        return;
      }
      process.isPaused = false;
      for (const action of process.waiting.splice(0)) {
        runIn(process, action);
      }
    },
    cut: (from, to) => cuts.add(cutKey(from, to)),
    heal: (from, to) => cuts.delete(cutKey(from, to)),
    healAll: () => cuts.clear(),
    setLoss(probability) {
      loss = probability;
    },
    total() {
      return [...processes.values()]
        .map(process => process.dispatcher.traffic())
        .reduce(addTraffic, NO_TRAFFIC);
    },
  };
}

const NO_TRAFFIC: NetworkTraffic = {
  messagesSent: 0,
  bytesSent: 0,
  messagesReceived: 0,
  bytesReceived: 0,
  rejected: 0,
};

function addTraffic(a: NetworkTraffic, b: NetworkTraffic): NetworkTraffic {
  return {
    messagesSent: a.messagesSent + b.messagesSent,
    bytesSent: a.bytesSent + b.bytesSent,
    messagesReceived: a.messagesReceived + b.messagesReceived,
    bytesReceived: a.bytesReceived + b.bytesReceived,
    rejected: a.rejected + b.rejected,
  };
}

function cutKey(from: string, to: string): string {
  return `${from}>${to}`;
}
