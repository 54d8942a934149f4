/** Client of the object API over any transport. */
import {
  createEmitter,
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
import {createStoreCalls, type CallType} from './storeCalls.js';
import {throwCallerError} from './storeErrors.js';
import {createStoreWrites} from './storeWrites.js';
import {startWatch, type WatchLoop, type WatchState} from './watchLoop.js';

export type {CallType} from './storeCalls.js';

/** Settings of an object store client; every field has a default. */
export interface ObjectStoreSettings {
  /** Timeout of one call, in milliseconds. */
  readonly callDeadlineMs?: number;
  /** Timeout of a write including lookups of its outcome, in milliseconds. */
  readonly writeDeadlineMs?: number;
  /** Rate limit of the whole fleet, in calls per second. */
  readonly platformCallsPerSecond?: number;
  /** Number of processes that share the rate limit. */
  readonly liveEntries?: number;
}

/** State of an object store client, as included in the process's state dump. */
export interface ObjectStoreDump {
  readonly state: string;
  readonly ratePerSecond: number;
  readonly waitingCalls: number;
  readonly watches: Readonly<Record<string, WatchState>>;
  /** Number of calls by type. */
  readonly calls: Readonly<Record<CallType, number>>;
  /** Number of calls without a response or with the platform unavailable. */
  readonly failures: number;
  /** Number of writes whose reply was lost. */
  readonly lostReplies: number;
  /** Number of writes whose outcome could not be determined. */
  readonly unknownOutcomes: number;
}

/** Object store client with an adjustable rate limit share and a state dump. */
export interface ObjectStoreClient extends ObjectStore {
  /** Sets the number of processes that share the platform's rate limit. */
  setLiveEntries(count: number): void;
  dump(): ObjectStoreDump;
}

const DEFAULT_CALL_DEADLINE_MS = 2000;
const DEFAULT_WRITE_DEADLINE_MS = 6000;
/** Below the platform's limit, to leave capacity for its other users. */
const DEFAULT_PLATFORM_CALLS_PER_SECOND = 1600;
const DEFAULT_LIVE_ENTRIES = 7;

/**
 * Creates an object store client; disposing it also disposes the transport.
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
    /** Identifies this process in its write ids. */
    readonly writer: string;
  } & ObjectStoreSettings,
): ObjectStoreClient {
  const {transport, clock, random} = options;
  const writerId = createWriterId(options.writer, clock, random);
  const calls = createStoreCalls({
    clock,
    random,
    callDeadlineMs: options.callDeadlineMs ?? DEFAULT_CALL_DEADLINE_MS,
    platformCallsPerSecond:
      options.platformCallsPerSecond ?? DEFAULT_PLATFORM_CALLS_PER_SECOND,
    liveEntries: options.liveEntries ?? DEFAULT_LIVE_ENTRIES,
    probe: signal => transport.get('probe', writerId, signal),
  });
  const {rateLimiter, circuitBreaker, call} = calls;
  const writes = createStoreWrites({
    calls,
    transport,
    clock,
    random,
    writeDeadlineMs: options.writeDeadlineMs ?? DEFAULT_WRITE_DEADLINE_MS,
    seenVersion: () => seenVersion,
  });
  const stateEmitter = createEmitter<'up' | 'doubtful' | 'down'>();
  const watches = new Set<WatchLoop>();
  let writeCount = 0;
  /** Highest store version received; every later write has a higher version. */
  let seenVersion = 0;

  circuitBreaker.onDidChange(state => {
    if (state === 'up') {
      rateLimiter.clearTokens();
    }
    stateEmitter.fire(state);
  });

  function recordVersion(version: number): void {
    seenVersion = Math.max(seenVersion, version);
  }

  function createWrite(
    kind: string,
    name: string,
    condition: WriteCondition,
  ): ObjectWrite {
    writeCount += 1;
    return {kind, name, condition, writeId: `${writerId}.${writeCount}`};
  }

  return {
    async get<T>(
      kind: string,
      name: string,
      signal?: AbortSignal,
      freshness: Freshness = 'latest',
    ) {
      const readResult = await call('get', Infinity, signal, callSignal =>
        transport.get(kind, name, callSignal, freshness),
      ).catch(throwCallerError);
      recordVersion(readResult.version);
      return readResult.object as StoredObject<T> | undefined;
    },
    async list<T>(
      kind: string,
      signal?: AbortSignal,
      freshness: Freshness = 'latest',
    ) {
      const listing = await call('list', Infinity, signal, callSignal =>
        transport.list(kind, callSignal, freshness),
      ).catch(throwCallerError);
      recordVersion(listing.version);
      return listing as {version: number; objects: StoredObject<T>[]};
    },
    async put<T>(
      kind: string,
      name: string,
      value: T,
      condition: WriteCondition,
      signal?: AbortSignal,
    ) {
      const write = createWrite(kind, name, condition);
      const writtenObject = await writes.execute(
        'put',
        write,
        signal,
        callSignal => transport.put(write, value, callSignal),
        ({version}): StoredObject => ({
          kind,
          name,
          version,
          writeId: write.writeId,
          value,
        }),
      );
      recordVersion(writtenObject.version);
      return writtenObject as StoredObject<T>;
    },
    async remove(kind, name, condition, signal) {
      const write = createWrite(kind, name, condition);
      await writes.execute(
        'remove',
        write,
        signal,
        callSignal => transport.remove(write, callSignal),
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
          const listing = await call('list', Infinity, undefined, callSignal =>
            transport.list(listedKind, callSignal),
          );
          recordVersion(listing.version);
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
    era: () => transport.era(),
    state: () => circuitBreaker.state(),
    onDidChangeState: listener => stateEmitter.event(listener),
    setLiveEntries: count => rateLimiter.setLiveEntries(count),
    dump: () => ({
      state: circuitBreaker.state(),
      ratePerSecond: rateLimiter.ratePerSecond(),
      waitingCalls: rateLimiter.queueLength(),
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
      stateEmitter.dispose();
      transport.dispose();
    },
  };
}

/**
 * Creates a writer id that is unique per process start. A restarted process
 * counts its writes from 1 again; with a reused writer id, its lookup of a
 * write could find a write of the previous process.
 */
function createWriterId(name: string, clock: Clock, random: Random): string {
  const startTime = Math.trunc(clock.wall()).toString(36);
  const randomSuffix = random.integer(0, 0xffff_ffff).toString(36);
  return `${name}.${startTime}.${randomSuffix}`;
}
