/**
 * An in-process object API with fault switches, for tests and measurements.
 *
 * Several named clients share one store; each has its own faults, so that a
 * test can cut one simulated process off while the others go on. The clients
 * are the real ones: only the wire is replaced.
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
  type ObjectClient,
  type ObjectStoreSettings,
} from './objectStore.js';
import {createObjectTable, type ObjectTable} from './objectTable.js';
import type {ObjectTransport, TransportWatch} from './objectTransport.js';

/** Switches of one client or, at the platform, of all. */
export interface ObjectFaults {
  /** Calls fail at once without effect, watches end. */
  setDown(isDown: boolean): void;
  /** Calls and watch news take this long; half before the effect, half after. */
  setSlow(delayMs: number): void;
  /** The next writes take effect but their replies are lost. */
  loseReplies(count: number): void;
  /** Watches end and new ones are refused. */
  rejectWatches(isRejecting: boolean): void;
  /** Watches stay open but hear nothing any more, as on a dead connection. */
  silenceWatches(isSilent: boolean): void;
}

/** What the clients together have asked of the platform. */
export interface PlatformLoad {
  readonly reads: number;
  readonly writes: number;
  readonly watchCalls: number;
  /** Watches open now. */
  readonly openWatches: number;
}

export interface MemoryPlatform {
  /** The object table itself, to prepare and check without a client. */
  readonly table: ObjectTable;
  readonly faults: ObjectFaults;
  /** A new client; each call stands for one process. */
  client(name: string, settings?: MemoryClientSettings): MemoryClient;
  load(): PlatformLoad;
}

/** Settings of a client and of the process that it stands for. */
export interface MemoryClientSettings extends ObjectStoreSettings {
  /** The process's own clock: while it is paused, replies wait. */
  readonly clock?: Clock;
}

/** A client with the switches of its own connection. */
export interface MemoryClient extends ObjectClient {
  readonly faults: ObjectFaults;
}

interface FaultState {
  isDown: boolean;
  delayMs: number;
  repliesToLose: number;
  isRejectingWatches: boolean;
  isSilent: boolean;
}

interface WatchRequest {
  readonly faults: readonly FaultState[];
  readonly ownClock: Clock;
  readonly kind: string;
  readonly from: number;
  readonly listener: TransportWatch;
}

interface OpenWatch {
  readonly faults: readonly FaultState[];
  readonly end: () => void;
}

/**
 * Makes a platform whose clients run on the given clock.
 *
 * @example
 * const platform = memoryPlatform({clock: virtualClock()});
 * const store = platform.client('a1');
 * platform.faults.setDown(true);
 */
export function memoryPlatform(options: {
  readonly clock: Clock;
  readonly random?: Random;
  readonly historyLimit?: number;
}): MemoryPlatform {
  const {clock} = options;
  const random = options.random ?? seededRandom(1);
  const table = createObjectTable(options.historyLimit);
  const common = noFaults();
  const open = new Set<OpenWatch>();
  const load = {reads: 0, writes: 0, watchCalls: 0};
  let clients = 0;

  function endWatches(): void {
    for (const watch of [...open]) {
      if (watch.faults.some(f => f.isDown || f.isRejectingWatches)) {
        watch.end();
      }
    }
  }

  function transportFor(own: FaultState, ownClock: Clock): ObjectTransport {
    const faults = [common, own];
    const delayMs = () => totalDelayMs(faults);

    async function read<T>(operation: () => T): Promise<T> {
      load.reads += 1;
      const spanMs = delayMs() / 2;
      await wait(clock, spanMs);
      checkUp(faults);
      const result = operation();
      await wait(ownClock, spanMs);
      return result;
    }

    async function write<T>(operation: () => T): Promise<T> {
      load.writes += 1;
      const spanMs = delayMs() / 2;
      await wait(clock, spanMs);
      checkUp(faults);
      const result = operation();
      const loser = faults.find(f => f.repliesToLose > 0);
      if (loser !== undefined) {
        loser.repliesToLose -= 1;
        throw new ServingError('outcome-unknown', 'the reply was lost');
      }
      await wait(ownClock, spanMs);
      return result;
    }

    return {
      get: (kind, name) =>
        read(() => ({version: table.version(), object: table.get(kind, name)})),
      list: kind => read(() => table.list(kind)),
      put: (target, value) => write(() => table.put(target, value)),
      remove: target => write(() => table.remove(target)),
      watch: (kind, from, listener) =>
        openWatch({faults, ownClock, kind, from, listener}),
      dispose() {
        own.isDown = true;
        endWatches();
      },
    };
  }

  function openWatch({
    faults,
    ownClock,
    kind,
    from,
    listener,
  }: WatchRequest): Disposable {
    load.watchCalls += 1;
    let isClosed = false;
    const subscription = table.onDidChange(change => {
      if (change.kind === kind) {
        deliver(() => listener.onDidChange(change));
      }
    });
    const watch = {faults, end: () => end('lost')};
    open.add(watch);

    function close(): void {
      isClosed = true;
      subscription.dispose();
      open.delete(watch);
    }
    function end(reason: 'lost' | 'compacted'): void {
      if (isClosed) {
        return;
      }
      close();
      listener.onDidEnd(reason);
    }
    /** Later news never overtakes earlier: timers of equal delay keep their order. */
    function deliver(news: () => void): void {
      const step = () => {
        if (!isClosed && !faults.some(f => f.isSilent)) {
          news();
        }
      };
      const spanMs = totalDelayMs(faults);
      if (spanMs === 0) {
        queueMicrotask(step);
        return;
      }
      ownClock.after(spanMs, step);
    }

    queueMicrotask(() => {
      if (isClosed) {
        return;
      }
      if (faults.some(f => f.isDown || f.isRejectingWatches)) {
        end('lost');
        return;
      }
      listener.onDidOpen();
    });
    const backlog = table.changesSince(kind, from);
    const reached = table.version();
    if (backlog === undefined) {
      queueMicrotask(() => end('compacted'));
      return toDisposable(close);
    }
    for (const change of backlog) {
      deliver(() => listener.onDidChange(change));
    }
    deliver(() => listener.onDidCatchUp(reached));
    return toDisposable(close);
  }

  return {
    table,
    faults: switches(common, endWatches),
    client(name, settings = {}) {
      clients += 1;
      const own = noFaults();
      const ownClock = settings.clock ?? clock;
      const client = createObjectStore({
        ...settings,
        transport: transportFor(own, ownClock),
        clock: ownClock,
        random: seededRandom(random.integer(0, 1_000_000_000)),
        writer: `${name}.${clients}`,
      });
      return {...client, faults: switches(own, endWatches)};
    },
    load: () => ({...load, openWatches: open.size}),
  };
}

/**
 * Makes one client over a memory platform of its own.
 *
 * @example
 * const store = createMemoryObjectStore({clock: virtualClock()});
 */
export function createMemoryObjectStore(options: {
  readonly clock: Clock;
  readonly random?: Random;
}): MemoryClient {
  return memoryPlatform(options).client('only');
}

function noFaults(): FaultState {
  return {
    isDown: false,
    delayMs: 0,
    repliesToLose: 0,
    isRejectingWatches: false,
    isSilent: false,
  };
}

function switches(faults: FaultState, endWatches: () => void): ObjectFaults {
  return {
    setDown(isDown) {
      faults.isDown = isDown;
      endWatches();
    },
    setSlow(delayMs) {
      faults.delayMs = delayMs;
    },
    loseReplies(count) {
      faults.repliesToLose = count;
    },
    rejectWatches(isRejecting) {
      faults.isRejectingWatches = isRejecting;
      endWatches();
    },
    silenceWatches(isSilent) {
      faults.isSilent = isSilent;
    },
  };
}

function totalDelayMs(faults: readonly FaultState[]): number {
  return faults.reduce((sum, fault) => sum + fault.delayMs, 0);
}

function checkUp(faults: readonly FaultState[]): void {
  if (faults.some(f => f.isDown)) {
    throw new ServingError('platform-unavailable', 'the platform is down');
  }
}

async function wait(clock: Clock, spanMs: number): Promise<void> {
  if (spanMs > 0) {
    await new Promise<void>(resolve => clock.after(spanMs, resolve));
  }
}
