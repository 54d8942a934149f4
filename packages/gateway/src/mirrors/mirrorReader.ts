/**
 * Reads the objects of one kind from the platform on behalf of all entries.
 *
 * Calls are billed and rate-limited for the whole fleet, so only one entry
 * reads and broadcasts the changes. The other entries take over in a fixed
 * order when no entry before them reports successful reads: the reading entry
 * may be down, or the platform may reject only its calls.
 */
import {
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {Freshness} from '@skylarkfield/providers';
import {currentTimestamp} from '@skylarkfield/traffic';
import type {ObjectSource} from '../contracts.js';
import type {Mirror, MirrorStep} from './mirror.js';

/** Timing of one kind's reads, in milliseconds. */
export interface ReadTiming {
  /** Long-poll timeout of one call. */
  readonly waitMs: number;
  /** Time beyond the long-poll timeout after which a call counts as failed. */
  readonly graceMs: number;
  /**
   * Freshness of the first listing; later changes come from subsequent reads or
   * from peers.
   */
  readonly firstListing: Freshness;
  /**
   * Minimum interval between reads of changes; absent if changes must be
   * received as they happen.
   */
  readonly changeInterval?: ChangeInterval;
}

/**
 * Interval that grows with the number of objects, as the rate of their changes
 * does: while many endpoints start or end, a read for each change would cost a
 * call and a broadcast each.
 */
export interface ChangeInterval {
  readonly msPerObject: number;
  readonly maxMs: number;
}

/** Reads objects of one kind from the platform and applies them to a mirror. */
export interface MirrorReader extends Disposable {
  /** Whether a read by this entry succeeded recently. */
  isReading(): boolean;
  dump(): unknown;
}

/**
 * First and maximum backoff after a failed call, in milliseconds; short enough
 * to notice the platform's recovery within a second.
 */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 500;

/**
 * Pause after the first listing, in milliseconds. Without the pause, a new
 * process that has not discovered its peers yet would read in addition to the
 * current reader.
 */
const PAUSE_AFTER_FIRST_LISTING_MS = 1_000;

/** Interval at which `shouldRead` is checked, in milliseconds. */
const READ_CHECK_INTERVAL_MS = 200;

/**
 * Starts reading from `source` into `mirror`, while `shouldRead` returns true.
 *
 * @example
 * const reader = startMirrorReader({mirror, source, clock, random, log,
 *   timing, shouldRead, onDidStep});
 */
export function startMirrorReader<T>(options: {
  readonly mirror: Mirror<T>;
  readonly source: ObjectSource<T>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly timing: ReadTiming;
  /**
   * Whether this entry should read, since no entry before it in the takeover
   * order reports successful reads.
   */
  shouldRead(): boolean;
  /** Called with changes to broadcast to peers. */
  onDidStep(step: MirrorStep): void;
}): MirrorReader {
  const {mirror, source, clock, random, log, timing} = options;
  const stopController = new AbortController();
  let lastSuccessAt = -Infinity;
  let failureCount = 0;
  let callCount = 0;
  let isCompacted = false;

  function isReading(): boolean {
    return clock.now() - lastSuccessAt < timing.waitMs + timing.graceMs;
  }

  async function callWithTimeout<R>(
    timeoutMs: number,
    call: (signal: AbortSignal) => Promise<R>,
  ): Promise<R> {
    const timeoutController = new AbortController();
    const timer = clock.after(timeoutMs, () => timeoutController.abort());
    callCount += 1;
    try {
      return await call(
        AbortSignal.any([timeoutController.signal, stopController.signal]),
      );
    } finally {
      timer.dispose();
    }
  }

  async function readList(): Promise<void> {
    const requestedAt = currentTimestamp(clock);
    // A stale listing could predate the compaction, and the changes after the
    // listing are no longer available.
    const freshness = isCompacted ? 'latest' : timing.firstListing;
    const listing = await callWithTimeout(timing.graceMs, signal =>
      source.list(signal, freshness),
    );
    mirror.applyListing(
      listing,
      freshness === 'latest' ? requestedAt : undefined,
    );
    isCompacted = false;
  }

  async function readChanges(): Promise<void> {
    const requestedAt = currentTimestamp(clock);
    const changes = await callWithTimeout(
      timing.waitMs + timing.graceMs,
      signal => source.readChanges(mirror.revision(), timing.waitMs, signal),
    );
    if (changes === undefined) {
      isCompacted = true;
      log.info(
        {mirror: mirror.kind, after: mirror.revision()},
        'the store no longer has the changes; listing again',
      );
      return;
    }
    const step = mirror.applyChanges(changes, requestedAt);
    if (step !== undefined) {
      options.onDidStep(step);
    }
  }

  /** Returns the pause after a read that began at `beganAt`. */
  function pauseAfterReadMs(beganAt: number): number {
    const {msPerObject = 0, maxMs = 0} = timing.changeInterval ?? {};
    const intervalMs = Math.min(maxMs, mirror.items().length * msPerObject);
    return Math.max(0, beganAt + intervalMs - clock.now());
  }

  /**
   * Reads once if this entry should, and returns the pause before the next read,
   * in milliseconds. Never rejects, as the loop would end.
   */
  async function tryRead(): Promise<number> {
    const beganAt = clock.now();
    try {
      if (!options.shouldRead()) {
        return READ_CHECK_INTERVAL_MS;
      }
      await (mirror.isLoaded() && !isCompacted ? readChanges() : readList());
      if (failureCount > 0) {
        log.info(
          {mirror: mirror.kind, failures: failureCount},
          'platform reads recovered',
        );
      }
      failureCount = 0;
      lastSuccessAt = clock.now();
      return pauseAfterReadMs(beganAt);
    } catch (error) {
      failureCount += 1;
      if (failureCount === 1 && !stopController.signal.aborted) {
        const {kind, message} = toServingError(error);
        log.warn({mirror: mirror.kind, kind, message}, 'platform read failed');
      }
      const delayMs = FIRST_RETRY_MS * 2 ** Math.min(failureCount, 6);
      return Math.min(MAX_RETRY_MS, delayMs) * (0.5 + random.next());
    }
  }

  async function runReadLoop(): Promise<void> {
    while (!stopController.signal.aborted) {
      const wasLoaded = mirror.isLoaded();
      const wasCompacted = isCompacted;
      let pauseMs = await tryRead();
      if (!wasLoaded && mirror.isLoaded()) {
        pauseMs = PAUSE_AFTER_FIRST_LISTING_MS * (0.75 + random.next() / 2);
      } else if (wasCompacted) {
        pauseMs = Math.max(pauseMs, FIRST_RETRY_MS);
      }
      if (pauseMs > 0) {
        await new Promise<void>(resolve => clock.after(pauseMs, resolve));
      }
    }
  }

  void runReadLoop();
  return {
    isReading,
    dump: () => ({
      calls: callCount,
      failures: failureCount,
      isReading: isReading(),
      ageMs: mirror.ageMs(),
    }),
    dispose: () => stopController.abort(),
  };
}
