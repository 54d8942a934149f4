/**
 * An in-process object API with fault injection, for tests and benchmarks.
 *
 * Several named clients share one store; each has its own faults, so that a
 * test can disconnect one simulated process while the others continue. The
 * clients run the production code; only the transport is replaced.
 */
import {
  seededRandom,
  ServingError,
  toDisposable,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import {
  createObjectStore,
  type ObjectStoreClient,
  type ObjectStoreSettings,
} from './objectStore.js';
import {
  createObjectTable,
  type ObjectTable,
  type ObjectTableCopy,
} from './objectTable.js';
import type {
  ObjectTransport,
  TransportWatchListener,
  WatchEndReason,
} from './objectTransport.js';
import {eraOf} from './storeRevision.js';

/** Injects faults into the calls of one client or of all clients. */
export interface ObjectFaultControls {
  /** While down, calls fail at once without effect and watches end. */
  setDown(isDown: boolean): void;
  /**
   * Delays watch events by `delayMs`, and calls by half of it before and half
   * after they take effect.
   */
  setDelay(delayMs: number): void;
  /** Loses the replies of the next `count` writes, which take effect. */
  loseReplies(count: number): void;
  /** While rejecting, ends open watches and rejects new watches. */
  setRejectingWatches(isRejecting: boolean): void;
  /** While stalled, watches stay open without events, as on a dead link. */
  setStallingWatches(isStalled: boolean): void;
}

/** Number of calls by all clients. */
export interface PlatformCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watchCalls: number;
  /** Watches currently open. */
  readonly openWatches: number;
}

export interface MemoryPlatform {
  /** The underlying table, to set up and inspect objects without a client. */
  readonly table: ObjectTable;
  /** Injects faults into the calls of all clients. */
  readonly faults: ObjectFaultControls;
  /** Creates a client, which simulates a separate process. */
  createClient(
    name: string,
    settings?: MemoryClientSettings,
  ): MemoryObjectStoreClient;
  callCounts(): PlatformCallCounts;
  takeCopy(): ObjectTableCopy;
  /** Restores the table from a copy; open watches lose their history. */
  restore(copy: ObjectTableCopy): void;
}

/** Settings of a client and of the process that it simulates. */
export interface MemoryClientSettings extends ObjectStoreSettings {
  /** Clock of the process; replies are delayed while this clock is paused. */
  readonly clock?: Clock;
}

/** A client into whose calls faults can be injected. */
export interface MemoryObjectStoreClient extends ObjectStoreClient {
  readonly faults: ObjectFaultControls;
}

interface FaultState {
  isDown: boolean;
  delayMs: number;
  repliesToLose: number;
  isRejectingWatches: boolean;
  isStallingWatches: boolean;
}

interface WatchRequest {
  readonly faults: readonly FaultState[];
  readonly processClock: Clock;
  readonly kind: string;
  readonly fromVersion: number;
  readonly listener: TransportWatchListener;
}

interface OpenWatch {
  readonly faults: readonly FaultState[];
  readonly end: (reason: WatchEndReason) => void;
}

/**
 * Creates a platform whose clients run on the given clock.
 *
 * @example
 * const platform = createMemoryPlatform({clock: createVirtualClock()});
 * const store = platform.createClient('a1');
 * platform.faults.setDown(true);
 */
export function createMemoryPlatform(options: {
  readonly clock: Clock;
  readonly random?: Random;
  readonly historyLimit?: number;
}): MemoryPlatform {
  const {clock} = options;
  const random = options.random ?? seededRandom(1);
  const table = createObjectTable(options.historyLimit);
  const platformFaults = createFaultState();
  const openWatches = new Set<OpenWatch>();
  const callCounts = {reads: 0, writes: 0, watchCalls: 0};
  let clientCount = 0;

  function endWatches(): void {
    for (const watch of [...openWatches]) {
      if (
        watch.faults.some(fault => fault.isDown || fault.isRejectingWatches)
      ) {
        watch.end('lost');
      }
    }
  }

  function createTransport(
    clientFaults: FaultState,
    processClock: Clock,
  ): ObjectTransport {
    const faults = [platformFaults, clientFaults];
    const delayMs = () => totalDelayMs(faults);
    let era: number | undefined;

    async function performRead<T>(operation: () => T): Promise<T> {
      callCounts.reads += 1;
      const waitMs = delayMs() / 2;
      await sleep(clock, waitMs);
      throwIfDown(faults);
      const result = operation();
      const currentEra = eraOf(table.version());
      await sleep(processClock, waitMs);
      recordEra(currentEra);
      return result;
    }

    function recordEra(responseEra: number): void {
      era = Math.max(era ?? 0, responseEra);
    }

    async function performWrite<T>(operation: () => T): Promise<T> {
      callCounts.writes += 1;
      const waitMs = delayMs() / 2;
      await sleep(clock, waitMs);
      throwIfDown(faults);
      const result = operation();
      const lossyFaults = faults.find(fault => fault.repliesToLose > 0);
      if (lossyFaults !== undefined) {
        lossyFaults.repliesToLose -= 1;
        throw new ServingError('outcome-unknown', 'the reply was lost');
      }
      const currentEra = eraOf(table.version());
      await sleep(processClock, waitMs);
      recordEra(currentEra);
      return result;
    }

    return {
      era: () => era,
      get: (kind, name) =>
        performRead(() => ({
          version: table.version(),
          object: table.get(kind, name),
        })),
      list: kind => performRead(() => table.list(kind)),
      put: (write, value) => performWrite(() => table.put(write, value)),
      remove: write => performWrite(() => table.remove(write)),
      watch: (kind, fromVersion, listener) =>
        openWatch({faults, processClock, kind, fromVersion, listener}),
      dispose() {
        clientFaults.isDown = true;
        endWatches();
      },
    };
  }

  function openWatch({
    faults,
    processClock,
    kind,
    fromVersion,
    listener,
  }: WatchRequest): Disposable {
    callCounts.watchCalls += 1;
    let isClosed = false;
    const subscription = table.onDidChange(change => {
      if (change.kind === kind) {
        deliver(() => listener.onDidChange(change));
      }
    });
    const watch = {faults, end};
    openWatches.add(watch);

    function close(): void {
      isClosed = true;
      subscription.dispose();
      openWatches.delete(watch);
    }
    function end(reason: WatchEndReason): void {
      if (isClosed) {
        return;
      }
      close();
      listener.onDidEnd(reason);
    }
    /** Delivers events in order: equal timers fire in creation order. */
    function deliver(notify: () => void): void {
      const notifyUnlessStalled = () => {
        if (!isClosed && !faults.some(fault => fault.isStallingWatches)) {
          notify();
        }
      };
      const waitMs = totalDelayMs(faults);
      if (waitMs === 0) {
        queueMicrotask(notifyUnlessStalled);
        return;
      }
      processClock.after(waitMs, notifyUnlessStalled);
    }

    queueMicrotask(() => {
      if (isClosed) {
        return;
      }
      if (faults.some(fault => fault.isDown || fault.isRejectingWatches)) {
        end('lost');
        return;
      }
      listener.onDidOpen();
    });
    const backlog = table.changesSince(kind, fromVersion);
    const currentVersion = table.version();
    if (backlog === undefined) {
      queueMicrotask(() => end('compacted'));
      return toDisposable(close);
    }
    for (const change of backlog) {
      deliver(() => listener.onDidChange(change));
    }
    deliver(() => listener.onDidCatchUp(currentVersion));
    return toDisposable(close);
  }

  return {
    table,
    faults: createFaultControls(platformFaults, endWatches),
    createClient(name, settings = {}) {
      clientCount += 1;
      const clientFaults = createFaultState();
      const processClock = settings.clock ?? clock;
      const client = createObjectStore({
        ...settings,
        transport: createTransport(clientFaults, processClock),
        clock: processClock,
        random: seededRandom(random.integer(0, 1_000_000_000)),
        writer: `${name}.${clientCount}`,
      });
      return {...client, faults: createFaultControls(clientFaults, endWatches)};
    },
    callCounts: () => ({...callCounts, openWatches: openWatches.size}),
    takeCopy: table.takeCopy,
    restore(copy) {
      table.restore(copy);
      for (const watch of [...openWatches]) {
        watch.end('compacted');
      }
    },
  };
}

/**
 * Creates a new memory platform and returns its only client.
 *
 * @example
 * const store = createMemoryObjectStore({clock: createVirtualClock()});
 */
export function createMemoryObjectStore(options: {
  readonly clock: Clock;
  readonly random?: Random;
}): MemoryObjectStoreClient {
  return createMemoryPlatform(options).createClient('only');
}

function createFaultState(): FaultState {
  return {
    isDown: false,
    delayMs: 0,
    repliesToLose: 0,
    isRejectingWatches: false,
    isStallingWatches: false,
  };
}

function createFaultControls(
  faults: FaultState,
  endWatches: () => void,
): ObjectFaultControls {
  return {
    setDown(isDown) {
      faults.isDown = isDown;
      endWatches();
    },
    setDelay(delayMs) {
      faults.delayMs = delayMs;
    },
    loseReplies(count) {
      faults.repliesToLose = count;
    },
    setRejectingWatches(isRejecting) {
      faults.isRejectingWatches = isRejecting;
      endWatches();
    },
    setStallingWatches(isStalled) {
      faults.isStallingWatches = isStalled;
    },
  };
}

function totalDelayMs(faults: readonly FaultState[]): number {
  return faults.reduce((sum, fault) => sum + fault.delayMs, 0);
}

function throwIfDown(faults: readonly FaultState[]): void {
  if (faults.some(fault => fault.isDown)) {
    throw new ServingError('platform-unavailable', 'the platform is down');
  }
}

async function sleep(clock: Clock, durationMs: number): Promise<void> {
  if (durationMs > 0) {
    await new Promise<void>(resolve => clock.after(durationMs, resolve));
  }
}
