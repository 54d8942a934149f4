/**
 * Reads one kind from the platform while it is this entry's turn.
 *
 * Calls are dear and rated for the whole fleet, so the first live entry in a
 * fixed order reads and the others hear it from there. An entry reads as well
 * while no entry before it in the order shows that it gets answers: the first
 * one may be dead, or the platform may turn it away while it serves others.
 */
import {
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {Freshness} from '@skylarkfield/providers';
import {momentOf} from '@skylarkfield/traffic';
import type {Source} from './contracts.js';
import type {Mirror, MirrorStep} from './mirror.js';

/** How often a kind is read and how soon a silent reader is replaced, in milliseconds. */
export interface ReadTiming {
  /** How long one call waits for changes. */
  readonly waitMs: number;
  /** Time beyond the wait after which a call counts as lost. */
  readonly graceMs: number;
  /** How new the first listing must be; changes since then are read next, or come from peers. */
  readonly firstListing: Freshness;
}

export interface MirrorReader extends Disposable {
  /** Whether this entry reads, and got an answer lately. */
  isReading(): boolean;
  dump(): unknown;
}

/** First and longest pause after a failed call; the platform's return must be noticed well under a second. */
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 500;

/**
 * Pause after the first listing, in milliseconds: a process that has just
 * started knows nobody yet and would take every turn for its own.
 */
const SETTLE_MS = 1_000;

/** How often an entry looks whether it is its turn. */
const TURN_CHECK_MS = 200;

/**
 * Starts to read when it is this entry's turn.
 *
 * @example
 * const reader = startMirrorReader({mirror, source, clock, random, log, timing, isTurn, onDidStep});
 */
export function startMirrorReader<T>(options: {
  readonly mirror: Mirror<T>;
  readonly source: Source<T>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly timing: ReadTiming;
  /** Whether no entry before this one reads. */
  isTurn(): boolean;
  /** Changes that the others should hear of. */
  onDidStep(step: MirrorStep): void;
}): MirrorReader {
  const {mirror, source, clock, random, log, timing} = options;
  const stop = new AbortController();
  let answeredAt = -Infinity;
  let failures = 0;
  let calls = 0;
  let isCompacted = false;

  function isReading(): boolean {
    return clock.now() - answeredAt < timing.waitMs + timing.graceMs;
  }

  async function bounded<R>(
    spanMs: number,
    call: (signal: AbortSignal) => Promise<R>,
  ): Promise<R> {
    const limit = new AbortController();
    const timer = clock.after(spanMs, () => limit.abort());
    calls += 1;
    try {
      return await call(AbortSignal.any([limit.signal, stop.signal]));
    } finally {
      timer.dispose();
    }
  }

  async function readList(): Promise<void> {
    const asked = momentOf(clock);
    // After a lost history an old listing could lead back to before the loss.
    const freshness = isCompacted ? 'latest' : timing.firstListing;
    const listing = await bounded(timing.graceMs, signal =>
      source.list(signal, freshness),
    );
    mirror.takeListing(listing, freshness === 'latest' ? asked : undefined);
    isCompacted = false;
  }

  async function readChanges(): Promise<void> {
    const asked = momentOf(clock);
    const changes = await bounded(timing.waitMs + timing.graceMs, signal =>
      source.changes(mirror.revision(), timing.waitMs, signal),
    );
    if (changes === undefined) {
      isCompacted = true;
      return;
    }
    const step = mirror.takeChanges(changes, asked);
    if (step !== undefined) {
      options.onDidStep(step);
    }
  }

  async function readOnce(): Promise<number> {
    try {
      await (mirror.isKnown() && !isCompacted ? readChanges() : readList());
      if (failures > 0) {
        log.info({mirror: mirror.kind, failures}, 'platform answers again');
      }
      failures = 0;
      answeredAt = clock.now();
      return 0;
    } catch (error) {
      failures += 1;
      if (failures === 1 && !stop.signal.aborted) {
        const {kind, message} = toServingError(error);
        log.warn({mirror: mirror.kind, kind, message}, 'platform read failed');
      }
      const delayMs = FIRST_RETRY_MS * 2 ** Math.min(failures, 6);
      return Math.min(LONGEST_RETRY_MS, delayMs) * (0.5 + random.next());
    }
  }

  async function loop(): Promise<void> {
    while (!stop.signal.aborted) {
      const wasKnown = mirror.isKnown();
      const wasCompacted = isCompacted;
      let pauseMs = options.isTurn() ? await readOnce() : TURN_CHECK_MS;
      if (!wasKnown && mirror.isKnown()) {
        pauseMs = SETTLE_MS * (0.75 + random.next() / 2);
      } else if (wasCompacted) {
        pauseMs = Math.max(pauseMs, FIRST_RETRY_MS);
      }
      if (pauseMs > 0) {
        await new Promise<void>(resolve => clock.after(pauseMs, resolve));
      }
    }
  }

  void loop();
  return {
    isReading,
    dump: () => ({
      calls,
      failures,
      isReading: isReading(),
      ageMs: mirror.ageMs(),
    }),
    dispose: () => stop.abort(),
  };
}
