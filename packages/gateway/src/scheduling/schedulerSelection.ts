/** Selects the entry to ask as the scheduler of a service. */
import type {Clock, Disposable, Logger} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import {rankSchedulers} from '@skylarkfield/scheduling';
import {DEFAULT_CORES} from '../callers/lookup.js';

export interface SchedulerSelection extends Disposable {
  /** Returns the entry to ask next; undefined if there is none. */
  next(service: string, excluded: ReadonlySet<string>): string | undefined;
  recordAnswer(service: string, scheduler: string): void;
  /**
   * Records that a question asked at `askedAt` was not answered in time; returns
   * whether the entry now counts as silent and is skipped for the service.
   */
  recordLate(service: string, scheduler: string, askedAt: number): boolean;
  /** Skips an entry for all services, because it cannot be reached. */
  skip(scheduler: string, reason: string): void;
  dump(): Record<string, unknown>;
}

/** Time for which an entry that does not answer is not asked, in ms. */
const SKIP_MS = 1_000;

/**
 * Number of questions, each asked after the previous one was late, from which on
 * an entry is skipped: a single late answer is usually a pause of a few dozen
 * milliseconds, and skipping means that two entries schedule at the same time.
 */
const MAX_LATE_IN_A_ROW = 3;

interface LateAnswers {
  count: number;
  lastAt: number;
}

/**
 * Creates the selection of one entry.
 *
 * @example
 * const scheduler = selection.next('booking', new Set());
 */
export function createSchedulerSelection(options: {
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns the live entries; undefined while they are not known. */
  liveMembers(): readonly Member[] | undefined;
  onDidChangeMembers(listener: () => void): Disposable;
}): SchedulerSelection {
  const {clock, log} = options;
  const rankings = new Map<string, readonly string[]>();
  /** Ends of the skips by entry, and by service and entry. */
  const skippedUntil = new Map<string, number>();
  const lateAnswers = new Map<string, LateAnswers>();
  const lastSchedulers = new Map<string, string>();
  const counts = {late: 0, skipped: 0};

  function rank(service: string): readonly string[] {
    const existing = rankings.get(service);
    const members = options.liveMembers();
    if (existing !== undefined || members === undefined) {
      return existing ?? [];
    }
    const ranking = rankSchedulers(
      service,
      members.map(({id, cores = DEFAULT_CORES}) => ({id, cores})),
    );
    rankings.set(service, ranking);
    return ranking;
  }

  function isSkipped(key: string): boolean {
    return (skippedUntil.get(key) ?? 0) > clock.now();
  }

  function skip(key: string, scheduler: string, reason: string): void {
    counts.skipped += 1;
    skippedUntil.set(key, clock.now() + SKIP_MS);
    log.info({scheduler, reason, skippedMs: SKIP_MS}, 'scheduler skipped');
  }

  const membersSubscription = options.onDidChangeMembers(() =>
    rankings.clear(),
  );
  return {
    next: (service, excluded) =>
      rank(service).find(
        id =>
          !excluded.has(id) && !isSkipped(id) && !isSkipped(keyOf(service, id)),
      ),
    recordAnswer(service, scheduler) {
      lateAnswers.delete(keyOf(service, scheduler));
      const previous = lastSchedulers.get(service);
      if (previous !== scheduler) {
        lastSchedulers.set(service, scheduler);
        log.info({service, scheduler, previous}, 'scheduler changed');
      }
    },
    recordLate(service, scheduler, askedAt) {
      counts.late += 1;
      const key = keyOf(service, scheduler);
      const late = lateAnswers.get(key) ?? {count: 0, lastAt: -Infinity};
      if (askedAt >= late.lastAt) {
        late.count += 1;
        late.lastAt = clock.now();
      }
      lateAnswers.set(key, late);
      if (late.count < MAX_LATE_IN_A_ROW) {
        return false;
      }
      if (!isSkipped(key)) {
        skip(key, scheduler, `no answer for ${service} in time`);
      }
      return true;
    },
    skip: (scheduler, reason) => skip(scheduler, scheduler, reason),
    dump: () => ({
      ...counts,
      schedulers: Object.fromEntries(lastSchedulers),
    }),
    dispose: () => membersSubscription.dispose(),
  };
}

function keyOf(service: string, scheduler: string): string {
  return `${service} ${scheduler}`;
}
