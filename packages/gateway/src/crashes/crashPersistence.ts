/**
 * Persists the requests that crash endpoints in the platform's store.
 *
 * Entries restart, are partitioned and fail together, yet each entry needs the
 * crash observations of all others within seconds. Each entry writes its own
 * observations to one object and mirrors the objects of the other entries.
 */
import {isDeepStrictEqual} from 'node:util';
import {
  createDisposableStore,
  scheduleRepeatedly,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import {
  eraOf,
  type ObjectStore,
  type StoreRevision,
} from '@skylarkfield/providers';
import {
  CRASH_TTL_MS,
  type CrashReport,
  type CrashQuarantine,
} from '@skylarkfield/routing';
import * as z from 'zod';
import type {Platform, ObjectSource} from '../contracts.js';
import type {Mirror} from '../mirrors/mirror.js';
import {nameSchema} from '../storedNames.js';

/** Kind of the stored reports, each named after the entry that writes it. */
const OBJECT_KIND = 'endpoint-crashes';

/** Timeout of one write, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/**
 * Delay before a write, in milliseconds, to batch the requests of one crash.
 */
const WRITE_BATCH_MS = 50;

/**
 * Maximum delay before a write is retried, in milliseconds; the minimum delay
 * is half of it.
 */
const WRITE_RETRY_MS = 500;

/** Interval of checks whether the store was restored, in milliseconds. */
const ERA_CHECK_INTERVAL_MS = 500;

/**
 * Time over which the entries spread the writes of their reports after the
 * store was restored, in milliseconds.
 */
const RESTORED_WRITE_SPREAD_MS = 1_000;

/** Interval at which expired crash reports are removed, in milliseconds. */
const CLEANUP_INTERVAL_MS = 300_000;

/** Latest time that a `Date` can represent, in Unix milliseconds. */
const MAX_TIME_MS = 8.64e15;

const timeSchema = z.number().min(0).max(MAX_TIME_MS);

const reportSchema = z.object({
  crashes: z.array(
    z.object({
      request: nameSchema,
      endpoint: nameSchema,
      atMs: timeSchema,
      weight: z.number().min(0).max(1).optional(),
    }),
  ),
  served: z.record(nameSchema, timeSchema),
});

/**
 * Returns the persisted crash reports as a source for a mirror.
 *
 * @example
 * const view = createPlatformView({crashReports: crashReportSource(platform),
 *   ...rest});
 */
export function crashReportSource(
  platform: Platform,
): ObjectSource<CrashReport> {
  return platform.systemObjects(OBJECT_KIND, value =>
    reportSchema.parse(value),
  );
}

/**
 * Starts to persist this entry's crash observations and to apply those that the
 * other entries have persisted. Persists them again after the store was restored
 * from a copy that lacks them.
 *
 * @example
 * const persistence = disposables.add(startCrashPersistence({
 *   mirror: platformView.crashes, crashQuarantine, store, self, ...rest}));
 */
export function startCrashPersistence(options: {
  readonly mirror: Mirror<CrashReport>;
  readonly crashQuarantine: CrashQuarantine;
  readonly store: ObjectStore;
  readonly self: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /**
   * Whether this entry reads the crash reports from the store for all entries;
   * if so, it also removes expired reports.
   */
  isReader(): boolean;
}): Disposable {
  const {mirror, crashQuarantine, store, self, clock, random, log} = options;
  const disposables = createDisposableStore();
  const appliedRevisions = new Map<string, number>();
  let isRestored = false;
  /** Whether this process has persisted a report. */
  let hasPersisted = false;
  /** Latest era in which the store is known to hold this entry's report. */
  let persistedEra = 0;
  let isEraCheckPending = false;
  let isDirty = false;
  let isWriting = false;
  let isDisposed = false;

  function applyItems(): void {
    const reportItems = mirror.items();
    for (const {name, revision, value} of reportItems) {
      if (appliedRevisions.get(name) !== revision) {
        appliedRevisions.set(name, revision);
        applyReport(name, revision, value);
      }
    }
    for (const [name, revision] of appliedRevisions) {
      if (mirror.get(name) === undefined) {
        appliedRevisions.delete(name);
        applyAbsence(name, revision);
      }
    }
    isRestored = true;
  }

  function applyReport(
    name: string,
    revision: StoreRevision,
    report: CrashReport,
  ): void {
    if (name !== self) {
      crashQuarantine.setStoredReport(name, report);
    } else if (!hasPersisted) {
      crashQuarantine.restoreOwnReport(report);
      persistedEra = Math.min(persistedEra, eraOf(revision));
    }
  }

  function applyAbsence(name: string, revision: StoreRevision): void {
    if (name === self && eraOf(revision) < currentEra()) {
      // The restored store lacks the report, but nobody has removed it.
      return;
    }
    log.info({entry: name}, 'persisted crashes removed');
    crashQuarantine.removeStoredReport(name);
  }

  function currentEra(): number {
    return eraOf(mirror.revision());
  }

  function checkEra(): void {
    if (isEraCheckPending || isWriting || currentEra() <= persistedEra) {
      return;
    }
    isEraCheckPending = true;
    clock.after(random.next() * RESTORED_WRITE_SPREAD_MS, () => {
      isEraCheckPending = false;
      persistAgain();
    });
  }

  /** Persists this entry's report unless the restored store holds it. */
  function persistAgain(): void {
    const report = crashQuarantine.reportToStore();
    if (isEmptyReport(report) || isHeldByStore(report)) {
      persistedEra = currentEra();
      return;
    }
    log.info({era: currentEra()}, 'persisting crashes in the restored store');
    isDirty = true;
    void flush();
  }

  function isHeldByStore(report: CrashReport): boolean {
    const storedItem = mirror.items().find(({name}) => name === self);
    return (
      storedItem !== undefined &&
      eraOf(storedItem.revision) === currentEra() &&
      isDeepStrictEqual(storedItem.value, report)
    );
  }

  /**
   * Writes this entry's report, with retries, until the store is up to date.
   */
  async function flush(): Promise<void> {
    if (isWriting) {
      return;
    }
    isWriting = true;
    await delay(WRITE_BATCH_MS);
    let failureCount = 0;
    while (isDirty && !isDisposed) {
      // Writing before the object of the previous process under this id has
      // been restored would overwrite the object.
      const isWritten = isRestored && (await writeOnce(failureCount));
      if (!isWritten) {
        failureCount += 1;
        await delay(WRITE_RETRY_MS * (0.5 + random.next() / 2));
      }
    }
    isWriting = false;
  }

  function delay(delayMs: number): Promise<void> {
    return new Promise(resolve => clock.after(delayMs, resolve));
  }

  /** Returns whether the write succeeded. */
  async function writeOnce(failureCount: number): Promise<boolean> {
    isDirty = false;
    const report = crashQuarantine.reportToStore();
    try {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      const {version} = await store.put(
        OBJECT_KIND,
        self,
        report,
        {type: 'any'},
        signal,
      );
      hasPersisted = true;
      persistedEra = eraOf(version);
      crashQuarantine.recordStored(report);
      log.info(
        {crashes: report.crashes.length, failures: failureCount},
        'crashes persisted',
      );
      return true;
    } catch (error) {
      isDirty = true;
      const {kind, message} = toServingError(error);
      if (failureCount === 0) {
        log.warn({kind, message}, 'persisting crashes failed');
      }
      return false;
    }
  }

  function removeExpired(): void {
    if (!options.isReader()) {
      return;
    }
    const oldestValidMs = clock.wall() - CRASH_TTL_MS;
    for (const {name, revision, value} of mirror.items()) {
      const isRecent = value.crashes.some(({atMs}) => atMs >= oldestValidMs);
      // The restored store lacks a report of an earlier era.
      if (isRecent || eraOf(revision) < currentEra()) {
        continue;
      }
      store
        .remove(OBJECT_KIND, name, {type: 'version', version: revision})
        .catch(error => {
          const {kind, message} = toServingError(error);
          log.warn(
            {kind, message, entry: name},
            'removing expired crashes failed',
          );
        });
    }
  }

  mirror.onDidChange(applyItems);
  crashQuarantine.onDidChange(() => {
    isDirty = true;
    void flush();
  });
  disposables.add(
    scheduleRepeatedly(clock, CLEANUP_INTERVAL_MS, removeExpired),
  );
  disposables.add(scheduleRepeatedly(clock, ERA_CHECK_INTERVAL_MS, checkEra));
  disposables.add({dispose: () => (isDisposed = true)});
  return disposables;
}

function isEmptyReport({crashes, served}: CrashReport): boolean {
  return crashes.length === 0 && Object.keys(served).length === 0;
}
