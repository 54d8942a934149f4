/**
 * Limits on the requests that an endpoint takes a second from all entries
 * together, as endpoints in need name them in their answers.
 *
 * A limit is small beside the number of entries, so it is not divided among all
 * of them: as many entries as it allows requests a second hold an equal share,
 * chosen alike at every entry, and the others send nothing there.
 */
import {
  rendezvousOrder,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';

/** What an answer said about the limit of its endpoint, as entries tell each other. */
export interface LimitReport {
  /** Requests a second from all entries; absent when the endpoint no longer names a limit. */
  readonly perSecond?: number;
  /** Milliseconds since the answer came. */
  readonly agoMs: number;
}

export type LimitReports = Readonly<Record<string, LimitReport>>;

export interface RequestLimits {
  /** Takes what an answer of the endpoint says; undefined when it names no limit. */
  note(endpoint: string, perSecond: number | undefined): void;
  /** Takes what other entries were told. */
  report(reports: LimitReports): void;
  /** What answers told this entry, where it knows of no newer answer. */
  own(): LimitReports;
  /** Ids of the entries that take work; this one holds no share while it is not among them. */
  setEntries(entries: readonly string[]): void;
  /** Drops what is known of other endpoints than these. */
  keepOnly(endpoints: ReadonlySet<string>): void;
  /** Whether a request may be sent to the endpoint now. */
  mayTake(endpoint: string): boolean;
  /** Counts a request that is sent to the endpoint. */
  take(endpoint: string): void;
  /** Milliseconds until the endpoint may get a request from here; undefined when others hold its limit. */
  waitMs(endpoint: string): number | undefined;
  dump(): unknown;
}

interface Observation {
  readonly perSecond: number | undefined;
  /** Monotonic milliseconds. */
  readonly at: number;
  /** The answer came to this entry. */
  readonly isOwn: boolean;
}

interface Limit {
  newest: Observation;
  /** Requests that may be sent now. */
  level: number;
  filledAt: number;
}

const SECOND_MS = 1_000;

/** Time for which a share is saved up while no request comes, in milliseconds; one request at least. */
const SAVED_MS = 250;

/** Least relative change of a limit that is logged. */
const LOGGED_CHANGE = 0.2;

/** How long the end of a limit is told to others, in milliseconds: several digests. */
const END_TOLD_MS = 10_000;

/** Requests a second by which an endpoint that takes none is asked whether that still holds. */
const LEAST_PER_SECOND = 0.1;

/**
 * Creates the limits of one entry.
 *
 * @example
 * limits.note('i-1', 2.9);
 * if (limits.mayTake('i-1')) { limits.take('i-1'); }
 */
export function createRequestLimits(options: {
  readonly clock: Clock;
  readonly self: string;
  readonly decisions: DecisionLog;
}): RequestLimits {
  const {clock, self, decisions} = options;
  const limits = new Map<string, Limit>();
  let entries: readonly string[] = [self];
  /** Rate of this entry's share by endpoint, in requests per second; 0 where others hold it. */
  const shares = new Map<string, number>();

  function hasLimit(endpoint: string): boolean {
    return limits.get(endpoint)?.newest.perSecond !== undefined;
  }

  function observe(endpoint: string, newest: Observation): void {
    const known = limits.get(endpoint);
    if (known === undefined) {
      limits.set(endpoint, {newest, level: 0, filledAt: clock.now()});
      logChange(endpoint, undefined, newest);
      return;
    }
    if (newest.at >= known.newest.at) {
      logChange(endpoint, known.newest, newest);
      fill(endpoint, known);
      known.newest = newest;
      shares.delete(endpoint);
    }
  }

  function logChange(
    endpoint: string,
    before: Observation | undefined,
    {perSecond, at}: Observation,
  ): void {
    if (before !== undefined && isAlike(before.perSecond, perSecond)) {
      return;
    }
    decisions.note(
      'routing',
      endpoint,
      perSecond === undefined ? 'end its limit' : 'limit requests',
      'its answers say so',
      {
        ...(perSecond !== undefined && {perSecond}),
        entries: entries.length,
        agoMs: Math.round(clock.now() - at),
      },
    );
  }

  function shareOf(endpoint: string, perSecond: number): number {
    const known = shares.get(endpoint);
    if (known !== undefined) {
      return known;
    }
    const rate = Math.max(LEAST_PER_SECOND, perSecond);
    const count = Math.min(entries.length, Math.max(1, Math.floor(rate)));
    const holders = rendezvousOrder(endpoint, entries).slice(0, count);
    const share = holders.includes(self) ? rate / count : 0;
    shares.set(endpoint, share);
    return share;
  }

  function fill(endpoint: string, limit: Limit): void {
    const now = clock.now();
    const {perSecond} = limit.newest;
    const rate = perSecond === undefined ? 0 : shareOf(endpoint, perSecond);
    const grown = ((now - limit.filledAt) * rate) / SECOND_MS;
    const most = Math.max(1, (rate * SAVED_MS) / SECOND_MS);
    limit.level = Math.min(most, limit.level + grown);
    limit.filledAt = now;
  }

  /** Limit in force, filled up to now; undefined when there is none. */
  function inForce(endpoint: string): Limit | undefined {
    const limit = limits.get(endpoint);
    if (limit?.newest.perSecond === undefined) {
      return undefined;
    }
    fill(endpoint, limit);
    return limit;
  }

  return {
    note(endpoint, perSecond) {
      if (perSecond === undefined && !hasLimit(endpoint)) {
        return;
      }
      observe(endpoint, {perSecond, at: clock.now(), isOwn: true});
    },
    report(reports) {
      for (const [endpoint, {perSecond, agoMs}] of Object.entries(reports)) {
        if (perSecond !== undefined || hasLimit(endpoint)) {
          const at = clock.now() - agoMs;
          observe(endpoint, {perSecond, at, isOwn: false});
        }
      }
    },
    own() {
      const told: Record<string, LimitReport> = {};
      for (const [endpoint, {newest}] of limits) {
        const {perSecond, at, isOwn} = newest;
        const agoMs = clock.now() - at;
        if (isOwn && perSecond !== undefined) {
          told[endpoint] = {perSecond, agoMs};
        } else if (isOwn && agoMs <= END_TOLD_MS) {
          told[endpoint] = {agoMs};
        }
      }
      return told;
    },
    setEntries(ids) {
      // What has grown so far belongs to the shares until now.
      limits.forEach((limit, endpoint) => fill(endpoint, limit));
      entries = ids;
      shares.clear();
    },
    keepOnly(endpoints) {
      for (const endpoint of limits.keys()) {
        if (!endpoints.has(endpoint)) {
          limits.delete(endpoint);
          shares.delete(endpoint);
        }
      }
    },
    mayTake(endpoint) {
      const limit = inForce(endpoint);
      return limit === undefined || limit.level >= 1;
    },
    take(endpoint) {
      const limit = inForce(endpoint);
      if (limit !== undefined) {
        limit.level -= 1;
      }
    },
    waitMs(endpoint) {
      const limit = inForce(endpoint);
      if (limit?.newest.perSecond === undefined) {
        return 0;
      }
      const share = shareOf(endpoint, limit.newest.perSecond);
      if (share === 0) {
        return undefined;
      }
      return Math.max(0, ((1 - limit.level) / share) * SECOND_MS);
    },
    dump: () =>
      Object.fromEntries(
        [...limits].map(([endpoint, {newest, level}]) => [
          endpoint,
          {...newest, level, share: shares.get(endpoint)},
        ]),
      ),
  };
}

function isAlike(a: number | undefined, b: number | undefined): boolean {
  if (a === undefined || b === undefined) {
    return a === b;
  }
  return Math.abs(a - b) <= LOGGED_CHANGE * Math.max(a, b);
}

/**
 * The newest report about each endpoint; `sinceMs` is the time since the second
 * reports were sent.
 *
 * @example
 * const limits = newestLimits(own, digest.limits, clock.now() - heardAt);
 */
export function newestLimits(
  first: LimitReports,
  second: LimitReports,
  sinceMs: number,
): LimitReports {
  const newest: Record<string, LimitReport> = {...first};
  for (const [endpoint, report] of Object.entries(second)) {
    const agoMs = report.agoMs + sinceMs;
    const known = newest[endpoint];
    if (known === undefined || agoMs < known.agoMs) {
      newest[endpoint] = {...report, agoMs};
    }
  }
  return newest;
}
