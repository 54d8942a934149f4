/**
 * Keeps in the platform's store which requests crash endpoints.
 *
 * Entries restart, are cut off from each other and are lost together; each of
 * them must still know within seconds what any of them has learned. Every entry
 * keeps one object with what it has seen itself, and mirrors those of the others.
 */
import {
  disposableStore,
  every,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import {
  CRASH_MEMORY_MS,
  type CrashReport,
  type CrashSuspects,
} from '@skylarkfield/routing';
import * as z from 'zod';
import type {Platform, Source} from './contracts.js';
import type {Mirror} from './mirror.js';

/** Kind of the objects; each is named after the entry that keeps it. */
const OBJECT_KIND = 'endpoint-crashes';

/** Time for one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** Time in which the requests that one endpoint takes down are gathered into one write, in milliseconds. */
const WRITE_BATCH_MS = 50;

/** Pause before a write that failed is repeated, in milliseconds, of which half to all is waited. */
const WRITE_RETRY_MS = 500;

/** Interval in which objects are removed that hold nothing that still counts, in milliseconds. */
const CLEANUP_INTERVAL_MS = 300_000;

const reportSchema = z.object({
  crashes: z.array(
    z.object({request: z.string(), endpoint: z.string(), atMs: z.number()}),
  ),
  served: z.record(z.string(), z.number()),
});

/**
 * The kept reports, to be mirrored.
 *
 * @example
 * const view = createPlatformView({crashReports: crashReportsOf(platform), ...rest});
 */
export function crashReportSource(platform: Platform): Source<CrashReport> {
  return platform.ownObjects(OBJECT_KIND, value => reportSchema.parse(value));
}

/**
 * Starts to keep what this entry sees and to take what the others have kept.
 *
 * @example
 * const memory = owned.add(startCrashMemory({mirror: view.crashes, suspects, store, self, ...rest}));
 */
export function startCrashPersistence(options: {
  readonly mirror: Mirror<CrashReport>;
  readonly suspects: CrashSuspects;
  readonly store: ObjectStore;
  readonly self: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Whether this entry mirrors the objects on behalf of others, and so cleans up. */
  isReader(): boolean;
}): Disposable {
  const {mirror, suspects, store, self, clock, random, log} = options;
  const owned = disposableStore();
  const revisions = new Map<string, number>();
  let isRestored = false;
  let isDirty = false;
  let isWriting = false;
  let isDisposed = false;

  function applyItems(): void {
    const items = mirror.items();
    for (const {name, revision, value} of items) {
      if (revisions.get(name) !== revision) {
        revisions.set(name, revision);
        applyReport(name, value);
      }
    }
    for (const name of revisions.keys()) {
      if (mirror.get(name) === undefined) {
        revisions.delete(name);
        log.info({entry: name}, 'crashes taken away');
        suspects.dropKept(name);
      }
    }
    isRestored = true;
  }

  function applyReport(name: string, report: CrashReport): void {
    if (name !== self) {
      suspects.takeKept(name, report);
    } else if (!isRestored) {
      suspects.restore(report);
    }
  }

  /** Writes until the store has what is known here. */
  async function flush(): Promise<void> {
    if (isWriting) {
      return;
    }
    isWriting = true;
    await pause(WRITE_BATCH_MS);
    let failures = 0;
    while (isDirty && !isDisposed) {
      // Before the object of an earlier process is known it would be lost.
      const isDone = isRestored && (await writeOnce(failures));
      if (!isDone) {
        failures += 1;
        await pause(WRITE_RETRY_MS * (0.5 + random.next() / 2));
      }
    }
    isWriting = false;
  }

  function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => clock.after(delayMs, resolve));
  }

  async function writeOnce(failures: number): Promise<boolean> {
    isDirty = false;
    const report = suspects.own();
    try {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      await store.put(OBJECT_KIND, self, report, {type: 'any'}, signal);
      suspects.noteKept(report);
      log.info({crashes: report.crashes.length, failures}, 'crashes kept');
      return true;
    } catch (error) {
      isDirty = true;
      const {kind, message} = toServingError(error);
      if (failures === 0) {
        log.warn({kind, message}, 'crashes not kept');
      }
      return false;
    }
  }

  function removeExpired(): void {
    if (!options.isReader()) {
      return;
    }
    const oldestMs = clock.wall() - CRASH_MEMORY_MS;
    for (const {name, revision, value} of mirror.items()) {
      if (value.crashes.some(({atMs}) => atMs >= oldestMs)) {
        continue;
      }
      store
        .remove(OBJECT_KIND, name, {type: 'version', version: revision})
        .catch(error => {
          const {kind, message} = toServingError(error);
          log.warn({kind, message, entry: name}, 'old crashes not removed');
        });
    }
  }

  mirror.onDidChange(applyItems);
  suspects.onDidChange(() => {
    isDirty = true;
    void flush();
  });
  owned.add(every(clock, CLEANUP_INTERVAL_MS, removeExpired));
  owned.add({dispose: () => (isDisposed = true)});
  return owned;
}
