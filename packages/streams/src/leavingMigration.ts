/** Migration of a stream from an endpoint that is about to leave. */
import {sleep, type Clock, type Disposable} from '@skylarkfield/base';
import type {AttemptAbortController} from './attemptAbortController.js';
import type {EndpointPick} from './contracts.js';
import type {MigrationCosts} from './migrationCosts.js';
import {prepareMigration} from './migration.js';

export interface LeavingMigrationOptions {
  readonly clock: Clock;
  readonly costs: MigrationCosts;
  readonly pick: EndpointPick;
  readonly attempt: string;
  readonly abortController: AttemptAbortController;
  /** Estimated milliseconds until the answer ends; undefined when unknown. */
  remainingMs(): number | undefined;
  /** Called when the preparation of the migration starts. */
  onPreparing(): void;
  pickEndpoint(): EndpointPick;
}

/** Time reserved for a migration: minimum, and fraction of the notice time. */
const MIN_MIGRATION_MS = 1000;
const MIGRATION_NOTICE_FRACTION = 0.4;
/** Streams expected to end in this fraction of the time left do not move. */
const FINISH_TIME_FRACTION = 0.7;
/** Assumed notice period when the time of departure is unknown. */
const DEFAULT_NOTICE_MS = 2000;
/** Interval between checks of a stream that is expected to end in time. */
const RECHECK_INTERVAL_MS = 100;

/**
 * Migrates the stream once its endpoint is leaving, unless disposed before. The
 * migration starts as late as is safe, since many answers end without one.
 *
 * @example
 * disposables.add(migrateWhenLeaving({clock, costs, pick, ...hooks}));
 */
export function migrateWhenLeaving(
  options: LeavingMigrationOptions,
): Disposable {
  const {leaving} = options.pick;
  // The preparation rejects only when the attempt has ended.
  const onLeaving = () => void migrate(options).catch(() => {});
  if (leaving.aborted) {
    onLeaving();
  }
  leaving.addEventListener('abort', onLeaving, {once: true});
  return {dispose: () => leaving.removeEventListener('abort', onLeaving)};
}

async function migrate(options: LeavingMigrationOptions): Promise<void> {
  const {clock, costs, pick, attempt, abortController, pickEndpoint} = options;
  const goneAtMs = pick.goneAt?.() ?? clock.now() + DEFAULT_NOTICE_MS;
  await waitUntilMigrationDue(options, goneAtMs);
  options.onPreparing();
  const target = await prepareMigration({
    clock,
    costs,
    source: pick,
    attempt,
    goneAtMs,
    pickEndpoint,
    signal: abortController.signal,
  });
  if (abortController.reason !== undefined) {
    target.pick.finish({outcome: 'cancelled', latencyMs: 0});
    return;
  }
  abortController.abort({type: 'moved', target});
}

async function waitUntilMigrationDue(
  {clock, abortController, remainingMs}: LeavingMigrationOptions,
  goneAtMs: number,
): Promise<void> {
  const noticeMs = Math.max(0, goneAtMs - clock.now());
  const dueMs =
    goneAtMs - Math.max(MIN_MIGRATION_MS, noticeMs * MIGRATION_NOTICE_FRACTION);
  await sleep(clock, dueMs - clock.now(), abortController.signal);
  for (;;) {
    const generationMs = remainingMs() ?? Number.POSITIVE_INFINITY;
    if (generationMs >= (goneAtMs - clock.now()) * FINISH_TIME_FRACTION) {
      return;
    }
    await sleep(clock, RECHECK_INTERVAL_MS, abortController.signal);
  }
}
