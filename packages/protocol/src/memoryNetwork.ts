/**
 * Network of simulated processes with the real codec but without sockets.
 * Injects delay, loss, partitions and pauses, for tests and large-scale
 * benchmarks.
 */
import {
  createEmitter,
  createSilentLogger,
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
  /** Clock whose timers are deferred while the process is paused. */
  readonly clock: Clock;
}

export interface MemoryNetwork {
  /** Starts a process; first crashes a running process of the same id. */
  start(id: string): MemoryPeer;
  /** Ends a process without a shutdown, like SIGKILL. */
  crash(id: string): void;
  /** Defers timers and received messages of a process, like SIGSTOP. */
  pause(id: string): void;
  resume(id: string): void;
  /**
   * Drops messages from one process to another, but not in the opposite
   * direction; the two processes cannot open a new connection.
   */
  partition(from: string, to: string): void;
  /** Ends a partition in one direction. */
  heal(from: string, to: string): void;
  healAll(): void;
  /** Sets the probability with which each message is lost. */
  setLossProbability(probability: number): void;
  /** Replaces the connection of two processes, as when one of them redials. */
  replaceConnection(one: string, other: string): void;
  /** Sum of the traffic counters of all processes. */
  totalTraffic(): NetworkTraffic;
}

interface SimulatedProcess {
  readonly id: string;
  readonly dispatcher: Dispatcher;
  readonly connectedIds: Set<string>;
  readonly deferredActions: (() => void)[];
  readonly peerChangeEmitter: ReturnType<
    typeof createEmitter<{peer: string; isOpen: boolean}>
  >;
  readonly replacementEmitter: ReturnType<typeof createEmitter<string>>;
  isPaused: boolean;
  isAlive: boolean;
}

const DEFAULT_DELAY_MS = 1;

/** URL prefix of a simulated process, followed by its id. */
export const MEMORY_URL_PREFIX = 'memory://';

/**
 * Creates an empty network of simulated processes.
 *
 * @example
 * const net = createMemoryNetwork({clock: createVirtualClock(), random: seededRandom(1)});
 * const {network, clock} = net.start('a');
 */
export function createMemoryNetwork(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly log?: Logger;
  /**
   * Minimum one-way delay, in milliseconds; random jitter of up to the same
   * amount is added.
   */
  readonly delayMs?: number;
}): MemoryNetwork {
  const {clock, random} = options;
  const delayMs = options.delayMs ?? DEFAULT_DELAY_MS;
  const processes = new Map<string, SimulatedProcess>();
  const partitions = new Set<string>();
  let lossProbability = 0;

  /** Runs an action; defers it during a pause and drops it after a crash. */
  function runOrDefer(process: SimulatedProcess, action: () => void) {
    if (!process.isAlive) {
      return;
    }
    if (process.isPaused) {
      process.deferredActions.push(action);
      return;
    }
    action();
  }

  function createProcessClock(process: SimulatedProcess): Clock {
    return {
      now: () => clock.now(),
      wall: () => clock.wall(),
      after: (timeoutMs, callback) => {
        let isCancelled = false;
        const timer = clock.after(timeoutMs, () =>
          runOrDefer(process, () => {
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

  function deliverToPeer(
    from: SimulatedProcess,
    targetId: string,
    bytes: Buffer,
  ): void {
    const target = processes.get(targetId);
    if (target !== undefined) {
      deliverToProcess(from, target, bytes);
    }
  }

  function deliverToProcess(
    from: SimulatedProcess,
    target: SimulatedProcess,
    bytes: Buffer,
  ): void {
    const isLost = lossProbability > 0 && random.chance(lossProbability);
    if (isLost || partitions.has(partitionKey(from.id, target.id))) {
      return;
    }
    clock.after(delayMs * (1 + random.next()), () =>
      runOrDefer(target, () => {
        // The response goes to the process that sent the request, not to a
        // later process of the same id: a connection ends with its process.
        target.dispatcher.receive(from.id, bytes, reply =>
          deliverToProcess(target, from, reply),
        );
      }),
    );
  }

  function isConnected(process: SimulatedProcess, peerId: string): boolean {
    return (
      process.connectedIds.has(peerId) &&
      processes.get(peerId)?.isAlive === true
    );
  }

  /** Connects two processes unless they are partitioned in any direction. */
  function connect(process: SimulatedProcess, peerId: string) {
    const target = processes.get(peerId);
    const isPartitioned =
      partitions.has(partitionKey(process.id, peerId)) ||
      partitions.has(partitionKey(peerId, process.id));
    if (!target?.isAlive || isPartitioned || process.connectedIds.has(peerId)) {
      return;
    }
    process.connectedIds.add(peerId);
    target.connectedIds.add(process.id);
    process.peerChangeEmitter.fire({peer: peerId, isOpen: true});
    runOrDefer(target, () =>
      target.peerChangeEmitter.fire({peer: process.id, isOpen: true}),
    );
  }

  function disconnect(process: SimulatedProcess, peerId: string) {
    if (!process.connectedIds.delete(peerId)) {
      return;
    }
    process.dispatcher.failRequests(peerId);
    process.peerChangeEmitter.fire({peer: peerId, isOpen: false});
    const target = processes.get(peerId);
    if (target?.connectedIds.delete(process.id)) {
      runOrDefer(target, () =>
        target.peerChangeEmitter.fire({peer: process.id, isOpen: false}),
      );
    }
  }

  function createProcessNetwork(process: SimulatedProcess): PeerNetwork {
    const {dispatcher} = process;
    let addressBookIds = new Set<string>();
    let persistentPeerIds = new Set<string>();
    function sendBytes(peerId: string, bytes: Buffer): boolean {
      if (persistentPeerIds.has(peerId) || addressBookIds.has(peerId)) {
        connect(process, peerId);
      }
      if (!isConnected(process, peerId)) {
        return false;
      }
      deliverToPeer(process, peerId, bytes);
      return true;
    }
    function listConnectedIds() {
      return [...process.connectedIds].filter(peerId =>
        isConnected(process, peerId),
      );
    }
    return {
      setPeers(peers: readonly PeerAddress[]) {
        persistentPeerIds = new Set(peers.map(peer => peer.id));
        persistentPeerIds.delete(process.id);
        for (const id of [...process.connectedIds]) {
          if (!persistentPeerIds.has(id) && !addressBookIds.has(id)) {
            disconnect(process, id);
          }
        }
        for (const id of persistentPeerIds) {
          connect(process, id);
        }
      },
      setAddressBook(peers) {
        addressBookIds = new Set(peers.map(peer => peer.id));
      },
      dial(url) {
        const id = url.replace(MEMORY_URL_PREFIX, '');
        connect(process, id);
        return isConnected(process, id)
          ? Promise.resolve(id)
          : Promise.reject(notConnectedError(url));
      },
      connectedPeers: listConnectedIds,
      send: (peerId, type, body) =>
        sendBytes(peerId, dispatcher.encode({type, requestId: 0, body})),
      broadcast(type, body, peerIds) {
        const receivers = peerIds ?? listConnectedIds();
        const bytes = dispatcher.encode(
          {type, requestId: 0, body},
          receivers.length,
        );
        return receivers.filter(id => sendBytes(id, bytes)).length;
      },
      request: (peerId, type, body, timeoutMs) =>
        dispatcher.request(peerId, type, body, timeoutMs, bytes =>
          sendBytes(peerId, bytes),
        ),
      addHandler: (type, handler) =>
        dispatcher.addHandler(
          type,
          handler as (from: string, body: unknown) => unknown,
        ),
      onDidChangePeer: listener =>
        process.peerChangeEmitter.event(({peer, isOpen}) =>
          listener(peer, isOpen),
        ),
      onDidReplaceConnection: process.replacementEmitter.event,
      traffic: () => dispatcher.traffic(),
      dispose() {
        for (const id of [...process.connectedIds]) {
          disconnect(process, id);
        }
        process.isAlive = false;
        dispatcher.dispose();
      },
    };
  }

  function handleReplacement(process: SimulatedProcess, peerId: string) {
    if (process.connectedIds.has(peerId)) {
      process.replacementEmitter.fire(peerId);
      process.dispatcher.failRequests(peerId);
    }
  }

  function crash(id: string) {
    const process = processes.get(id);
    if (process === undefined || !process.isAlive) {
      return;
    }
    process.isAlive = false;
    for (const peerProcess of processes.values()) {
      if (peerProcess.connectedIds.delete(id)) {
        peerProcess.dispatcher.failRequests(id);
        runOrDefer(peerProcess, () =>
          peerProcess.peerChangeEmitter.fire({peer: id, isOpen: false}),
        );
      }
    }
  }

  return {
    start(id) {
      crash(id);
      const process = {
        id,
        connectedIds: new Set<string>(),
        deferredActions: [],
        peerChangeEmitter: createEmitter<{peer: string; isOpen: boolean}>(),
        replacementEmitter: createEmitter<string>(),
        isPaused: false,
        isAlive: true,
      } as Omit<SimulatedProcess, 'dispatcher'> as SimulatedProcess;
      const processClock = createProcessClock(process);
      const dispatcher = createDispatcher({
        clock: processClock,
        log: options.log ?? createSilentLogger(),
      });
      Object.assign(process, {dispatcher});
      processes.set(id, process);
      return {network: createProcessNetwork(process), clock: processClock};
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
      for (const action of process.deferredActions.splice(0)) {
        runOrDefer(process, action);
      }
    },
    partition: (from, to) => partitions.add(partitionKey(from, to)),
    heal: (from, to) => partitions.delete(partitionKey(from, to)),
    healAll: () => partitions.clear(),
    setLossProbability(probability) {
      lossProbability = probability;
    },
    replaceConnection(one, other) {
      const first = processes.get(one);
      const second = processes.get(other);
      if (first !== undefined && second !== undefined) {
        runOrDefer(first, () => handleReplacement(first, other));
        runOrDefer(second, () => handleReplacement(second, one));
      }
    },
    totalTraffic() {
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

function partitionKey(from: string, to: string): string {
  return `${from}>${to}`;
}
