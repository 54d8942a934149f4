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
  readonly attemptId: string;
  readonly abortController: AttemptAbortController;
  /** Estimated milliseconds until the answer ends; undefined if unknown. */
  remainingMs(): number | undefined;
  /** Called when the preparation of the migration starts. */
  onPreparing(): void;
  pickEndpoint(): EndpointPick;
}

/** Minimum time reserved for a migration before the endpoint is gone. */
const MIN_MIGRATION_MS = 1000;
/** Fraction of the notice time that is reserved for a migration. */
const MIGRATION_NOTICE_FRACTION = 0.4;
/**
 * A stream is not migrated while its answer is expected to be complete within
 * this fraction of the time until the endpoint is gone.
 */
const FINISH_TIME_FRACTION = 0.7;
/** Assumed notice time when it is unknown when the endpoint will be gone. */
const DEFAULT_NOTICE_MS = 2000;
/** Interval at which the expected end of a stream is checked again. */
const RECHECK_INTERVAL_MS = 100;

/**
 * Migrates the stream once its endpoint is leaving, unless the returned object
 * is disposed before. The migration starts as late as is safe, since many
 * answers are complete by then and need no migration.
 *
 * @example
 * disposables.add(migrateWhenLeaving({clock, costs, pick, ...hooks}));
 */
export function migrateWhenLeaving(
  options: LeavingMigrationOptions,
): Disposable {
  const {leavingSignal} = options.pick;
  // `migrate` rejects only when the attempt has ended, so the error is ignored.
  const onLeaving = () => void migrate(options).catch(() => {});
  if (leavingSignal.aborted) {
    onLeaving();
  }
  leavingSignal.addEventListener('abort', onLeaving, {once: true});
  return {dispose: () => leavingSignal.removeEventListener('abort', onLeaving)};
}

async function migrate(options: LeavingMigrationOptions): Promise<void> {
  const {clock, costs, pick, attemptId, abortController, pickEndpoint} =
    options;
  const goneAtMs = pick.goneAtMs?.() ?? clock.now() + DEFAULT_NOTICE_MS;
  await waitUntilMigrationDue(options, goneAtMs);
  options.onPreparing();
  const target = await prepareMigration({
    clock,
    costs,
    source: pick,
    attemptId,
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
  const dueAtMs =
    goneAtMs - Math.max(MIN_MIGRATION_MS, noticeMs * MIGRATION_NOTICE_FRACTION);
  await sleep(clock, dueAtMs - clock.now(), abortController.signal);
  for (;;) {
    const answerRemainingMs = remainingMs() ?? Number.POSITIVE_INFINITY;
    if (answerRemainingMs >= (goneAtMs - clock.now()) * FINISH_TIME_FRACTION) {
      return;
    }
    await sleep(clock, RECHECK_INTERVAL_MS, abortController.signal);
  }
}
