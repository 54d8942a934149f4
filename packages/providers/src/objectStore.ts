/** The client of the object API, over any transport. */
import {
  emitter,
  toDisposable,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {
  Freshness,
  ObjectStore,
  StoredObject,
  WriteCondition,
} from './contracts.js';
import type {ObjectWrite} from './objectTable.js';
import type {ObjectTransport} from './objectTransport.js';
import {createStoreCalls, type CallUse} from './storeCalls.js';
import {rethrowRefusal} from './storeErrors.js';
import {createStoreWrites} from './storeWrites.js';
import {startWatch, type WatchLoop, type WatchState} from './watchLoop.js';

export type {CallUse} from './storeCalls.js';

/** What can be set about a client; every field has a default. */
export interface ObjectStoreSettings {
  /** Time for one call, in milliseconds. */
  readonly callDeadlineMs?: number;
  /** Time for a write with all that is needed to learn its outcome. */
  readonly writeDeadlineMs?: number;
  /** What the platform takes from the whole fleet, in calls a second. */
  readonly platformCallsPerSecond?: number;
  readonly liveEntries?: number;
}

/** The state of a client, as the process's dump shows it. */
export interface ObjectStoreDump {
  readonly state: string;
  readonly ratePerSecond: number;
  readonly waitingCalls: number;
  readonly watches: Readonly<Record<string, WatchState>>;
  /** Calls made, by what they were for. */
  readonly calls: Readonly<Record<CallUse, number>>;
  readonly failures: number;
  /** Writes whose reply was lost, and those among them that stayed unknown. */
  readonly lostReplies: number;
  readonly unknownOutcomes: number;
}

/** The client with what its process sets and shows. */
export interface ObjectClient extends ObjectStore {
  /** Sets the process's share of the platform's rate. */
  setLiveEntries(count: number): void;
  dump(): ObjectStoreDump;
}

const DEFAULT_CALL_DEADLINE_MS = 2000;
const DEFAULT_WRITE_DEADLINE_MS = 6000;
/** Less than the platform takes, so that other users of it are left some. */
const DEFAULT_PLATFORM_CALLS_PER_SECOND = 1600;
const DEFAULT_LIVE_ENTRIES = 7;

/**
 * Makes a client over a transport, which it owns.
 *
 * @example
 * const store = createObjectStore({transport, clock, random, writer: 'a1.7'});
 * const lease = await store.get('lease', 'acceptance');
 */
export function createObjectStore(
  options: {
    readonly transport: ObjectTransport;
    readonly clock: Clock;
    readonly random: Random;
    /** Names this process in its write ids. */
    readonly writer: string;
  } & ObjectStoreSettings,
): ObjectClient {
  const {transport, clock, random} = options;
  const writer = uniqueWriter(options.writer, clock, random);
  const calls = createStoreCalls({
    clock,
    random,
    callDeadlineMs: options.callDeadlineMs ?? DEFAULT_CALL_DEADLINE_MS,
    platformCallsPerSecond:
      options.platformCallsPerSecond ?? DEFAULT_PLATFORM_CALLS_PER_SECOND,
    liveEntries: options.liveEntries ?? DEFAULT_LIVE_ENTRIES,
    probe: signal => transport.get('probe', writer, signal),
  });
  const {budget, outage, call} = calls;
  const writes = createStoreWrites({
    calls,
    transport,
    clock,
    random,
    writeDeadlineMs: options.writeDeadlineMs ?? DEFAULT_WRITE_DEADLINE_MS,
    seenVersion: () => seenVersion,
  });
  const stateChanged = emitter<'up' | 'doubtful' | 'down'>();
  const watches = new Set<WatchLoop>();
  let nextWrite = 0;
  /** The highest store version seen: history from here on covers any later write. */
  let seenVersion = 0;

  outage.onDidChange(state => {
    if (state === 'up') {
      budget.drain();
    }
    stateChanged.fire(state);
  });

  function saw(version: number): void {
    seenVersion = Math.max(seenVersion, version);
  }

  function newWrite(
    kind: string,
    name: string,
    condition: WriteCondition,
  ): ObjectWrite {
    nextWrite += 1;
    return {kind, name, condition, writeId: `${writer}.${nextWrite}`};
  }

  return {
    async get<T>(
      kind: string,
      name: string,
      signal?: AbortSignal,
      freshness: Freshness = 'latest',
    ) {
      const reading = await call('get', Infinity, signal, inner =>
        transport.get(kind, name, inner, freshness),
      ).catch(rethrowRefusal);
      saw(reading.version);
      return reading.object as StoredObject<T> | undefined;
    },
    async list<T>(
      kind: string,
      signal?: AbortSignal,
      freshness: Freshness = 'latest',
    ) {
      const listing = await call('list', Infinity, signal, inner =>
        transport.list(kind, inner, freshness),
      ).catch(rethrowRefusal);
      saw(listing.version);
      return listing as {version: number; objects: StoredObject<T>[]};
    },
    async put<T>(
      kind: string,
      name: string,
      value: T,
      condition: WriteCondition,
      signal?: AbortSignal,
    ) {
      const target = newWrite(kind, name, condition);
      const written = await writes.write(
        'put',
        target,
        signal,
        inner => transport.put(target, value, inner),
        ({version}): StoredObject => ({
          kind,
          name,
          version,
          writeId: target.writeId,
          value,
        }),
      );
      saw(written.version);
      return written as StoredObject<T>;
    },
    async remove(kind, name, condition, signal) {
      const target = newWrite(kind, name, condition);
      await writes.write(
        'remove',
        target,
        signal,
        inner => transport.remove(target, inner),
        () => undefined,
      );
    },
    watch(kind, listener) {
      const loop = startWatch({
        kind,
        clock,
        random,
        transport,
        listener: listener as Parameters<typeof startWatch>[0]['listener'],
        list: async listedKind => {
          const listing = await call('list', Infinity, undefined, inner =>
            transport.list(listedKind, inner),
          );
          saw(listing.version);
          return listing;
        },
        admit: calls.admitWatch,
      });
      watches.add(loop);
      return toDisposable(() => {
        watches.delete(loop);
        loop.dispose();
      });
    },
    state: () => outage.state(),
    onDidChangeState: listener => stateChanged.event(listener),
    setLiveEntries: count => budget.setLiveEntries(count),
    dump: () => ({
      state: outage.state(),
      ratePerSecond: budget.ratePerSecond(),
      waitingCalls: budget.waiting(),
      watches: Object.fromEntries(
        [...watches].map(loop => [loop.kind, loop.state()]),
      ),
      ...calls.counts(),
      ...writes.counts(),
    }),
    dispose() {
      for (const loop of watches) {
        loop.dispose();
      }
      watches.clear();
      calls.dispose();
      stateChanged.dispose();
      transport.dispose();
    },
  };
}

/**
 * A restarted process counts its writes from 1 again. Without a part of its own
 * it would take a write of its predecessor for its own when it reads back.
 */
function uniqueWriter(name: string, clock: Clock, random: Random): string {
  const start = Math.trunc(clock.wall()).toString(36);
  const chance = random.integer(0, 0xffff_ffff).toString(36);
  return `${name}.${start}.${chance}`;
}
