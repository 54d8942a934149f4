/**
 * The client of the object API: deadlines, budget, outage state, write ids and
 * what follows from a lost reply. It works over any transport.
 */
import {
  emitter,
  isServingError,
  ServingError,
  toDisposable,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import {createCallBudget} from './callBudget.js';
import type {ObjectStore, StoredObject, WriteCondition} from './contracts.js';
import {withDeadline} from './deadline.js';
import type {ObjectWrite} from './objectTable.js';
import type {ObjectTransport} from './objectTransport.js';
import {createOutage} from './outage.js';
import {findWrite} from './unknownWrites.js';
import {startWatch, type WatchLoop, type WatchState} from './watchLoop.js';

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

/** What a call was for. */
export type CallUse = 'get' | 'list' | 'put' | 'remove' | 'watch' | 'find';

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
const FIND_RETRY_MS = 50;
const LONGEST_FIND_RETRY_MS = 1000;

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
  const callDeadlineMs = options.callDeadlineMs ?? DEFAULT_CALL_DEADLINE_MS;
  const writeDeadlineMs = options.writeDeadlineMs ?? DEFAULT_WRITE_DEADLINE_MS;
  const budget = createCallBudget(clock, {
    platformCallsPerSecond:
      options.platformCallsPerSecond ?? DEFAULT_PLATFORM_CALLS_PER_SECOND,
    liveEntries: options.liveEntries ?? DEFAULT_LIVE_ENTRIES,
  });
  const outage = createOutage({clock, random, probe: () => void probe()});
  const stateChanged = emitter<'up' | 'doubtful' | 'down'>();
  const watches = new Set<WatchLoop>();
  const calls = {get: 0, list: 0, put: 0, remove: 0, watch: 0, find: 0};
  let failures = 0;
  let lostReplies = 0;
  let unknownOutcomes = 0;
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

  /** One counted call within the budget; its result moves the outage state. */
  async function call<T>(
    use: CallUse,
    deadlineAt: number,
    signal: AbortSignal | undefined,
    operation: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    outage.admit();
    const callDeadlineAt = Math.min(deadlineAt, clock.now() + callDeadlineMs);
    await budget.take(callDeadlineAt, signal);
    const isWrite = use === 'put' || use === 'remove';
    calls[use] += 1;
    try {
      const result = await withDeadline(
        {
          clock,
          deadlineAt: callDeadlineAt,
          signal,
          onTimeout: () => timedOut(isWrite),
          onCancel: () => cancelled(isWrite),
        },
        operation,
      );
      outage.noteAnswer();
      return result;
    } catch (error) {
      noteError(error);
      throw error;
    }
  }

  function noteError(error: unknown): void {
    if (isServingError(error, 'overloaded')) {
      budget.holdBack(error.retryAfterMs ?? 0);
      outage.noteAnswer();
      return;
    }
    if (
      isServingError(error, 'platform-unavailable') ||
      isServingError(error, 'outcome-unknown')
    ) {
      failures += 1;
      outage.noteFailure();
      return;
    }
    if (!isServingError(error, 'cancelled')) {
      outage.noteAnswer();
    }
  }

  async function probe(): Promise<void> {
    calls.get += 1;
    try {
      await withDeadline(
        {
          clock,
          deadlineAt: clock.now() + callDeadlineMs,
          signal: undefined,
          onTimeout: () => timedOut(false),
          onCancel: () => cancelled(false),
        },
        signal => transport.get('probe', writer, signal),
      );
      outage.noteAnswer();
    } catch (error) {
      noteError(error);
    }
  }

  /** Sends a write until its outcome is known or the deadline passes. */
  async function write<T>(
    use: 'put' | 'remove',
    target: ObjectWrite,
    signal: AbortSignal | undefined,
    send: (signal: AbortSignal) => Promise<T>,
    landed: (found: {version: number}) => T,
  ): Promise<T> {
    const deadlineAt = clock.now() + writeDeadlineMs;
    const from =
      target.condition.type === 'version'
        ? target.condition.version
        : seenVersion;
    let wasSent = false;
    for (;;) {
      try {
        return await call(use, deadlineAt, signal, send);
      } catch (error) {
        const mayHaveLanded = isServingError(error, 'outcome-unknown');
        if (!wasSent && !mayHaveLanded) {
          throw asRefusal(error);
        }
        lostReplies += wasSent ? 0 : 1;
        wasSent = true;
        const isCertain = isServingError(error, 'version-conflict');
        const finding = await find(target, from, deadlineAt, signal);
        if (finding.type === 'landed') {
          return landed(finding.change);
        }
        if (
          finding.type === 'overtaken' ||
          (isCertain && finding.type === 'open')
        ) {
          throw conflict(target);
        }
        if (finding.type === 'unknown') {
          unknownOutcomes += 1;
          throw unknown(target, error);
        }
      }
    }
  }

  /** Looks for a write's effect, again and again until the deadline. */
  async function find(
    target: ObjectWrite,
    from: number,
    deadlineAt: number,
    signal: AbortSignal | undefined,
  ): Promise<Awaited<ReturnType<typeof findWrite>>> {
    let delayMs = FIND_RETRY_MS;
    for (;;) {
      try {
        return await call('find', deadlineAt, signal, inner =>
          findWrite(transport, target, from, inner),
        );
      } catch (error) {
        if (isServingError(error, 'cancelled')) {
          throw cancelled(true);
        }
        const pauseMs = delayMs * (0.5 + random.next());
        if (clock.now() + pauseMs >= deadlineAt) {
          return {type: 'unknown'};
        }
        await pause(pauseMs);
        delayMs = Math.min(LONGEST_FIND_RETRY_MS, delayMs * 2);
      }
    }
  }

  function pause(spanMs: number): Promise<void> {
    return new Promise(resolve => clock.after(spanMs, resolve));
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
    async get<T>(kind: string, name: string, signal?: AbortSignal) {
      const reading = await call('get', Infinity, signal, inner =>
        transport.get(kind, name, inner),
      ).catch(rethrowRefusal);
      saw(reading.version);
      return reading.object as StoredObject<T> | undefined;
    },
    async list<T>(kind: string, signal?: AbortSignal) {
      const listing = await call('list', Infinity, signal, inner =>
        transport.list(kind, inner),
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
      const written = await write(
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
      await write(
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
        async admit() {
          outage.admit();
          await budget.take(clock.now() + callDeadlineMs);
          calls.watch += 1;
        },
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
      calls: {...calls},
      failures,
      lostReplies,
      unknownOutcomes,
    }),
    dispose() {
      for (const loop of watches) {
        loop.dispose();
      }
      watches.clear();
      budget.dispose();
      outage.dispose();
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

function timedOut(isWrite: boolean): ServingError {
  if (isWrite) {
    return new ServingError('outcome-unknown', 'the write was not answered');
  }
  return new ServingError('platform-unavailable', 'the read was not answered');
}

function cancelled(isWrite: boolean): ServingError {
  return new ServingError('cancelled', 'the call was cancelled', {
    run: isWrite ? 'may-have-run' : 'not-run',
  });
}

function conflict(target: ObjectWrite): ServingError {
  return new ServingError(
    'version-conflict',
    `${target.kind}/${target.name} was changed by another writer first`,
  );
}

function unknown(target: ObjectWrite, cause: unknown): ServingError {
  return new ServingError(
    'outcome-unknown',
    `whether the write of ${target.kind}/${target.name} took effect cannot be told`,
    {cause},
  );
}

/** The platform's own rate limit reaches callers as the platform being unavailable. */
function asRefusal(error: unknown): unknown {
  if (!isServingError(error, 'overloaded')) {
    return error;
  }
  return new ServingError('platform-unavailable', error.message, {
    retryAfterMs: error.retryAfterMs,
    cause: error,
  });
}

function rethrowRefusal(error: unknown): never {
  throw asRefusal(error);
}
