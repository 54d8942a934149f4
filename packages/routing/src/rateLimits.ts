/**
 * Rate limits that endpoints set in their responses, in requests per second of
 * all entries together.
 *
 * Limits are small compared with the number of entries, so a limit of n
 * requests per second is split among n entries only. Rendezvous hashing chooses
 * the same n at every entry; the other entries send the endpoint nothing.
 */
import {
  rendezvousOrder,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';

/** Rate limit from an endpoint's response, as entries gossip it. */
export interface RateLimitReport {
  /** Requests per second of all entries; absent when the limit is removed. */
  readonly perSecond?: number;
  /** Milliseconds since the response arrived. */
  readonly agoMs: number;
}

/** Reports by endpoint. */
export type RateLimitReports = Readonly<Record<string, RateLimitReport>>;

export interface RateLimits {
  /** Records the limit in a response; undefined when it sets none. */
  recordLimit(endpoint: string, perSecond: number | undefined): void;
  /** Merges the reports of another entry. */
  mergeReports(reports: RateLimitReports): void;
  /** Limits in responses to this entry, unless another entry has newer ones. */
  ownReports(): RateLimitReports;
  /** Ids of the entries that serve; this one has no share unless included. */
  setEntries(entries: readonly string[]): void;
  /** Drops the limits of endpoints that are not in the set. */
  retainEndpoints(endpoints: ReadonlySet<string>): void;
  /** Whether a request may be sent to the endpoint now. */
  allowsRequest(endpoint: string): boolean;
  /** Takes a token for a request that is sent to the endpoint. */
  consume(endpoint: string): void;
  /** Milliseconds until this entry may send; undefined without a share. */
  waitMs(endpoint: string): number | undefined;
  dump(): unknown;
}

interface Observation {
  readonly perSecond: number | undefined;
  /** Monotonic milliseconds. */
  readonly at: number;
  /** The response came to this entry. */
  readonly isOwn: boolean;
}

interface TokenBucket {
  newest: Observation;
  /** Tokens available: requests that may be sent now. */
  level: number;
  /** Monotonic milliseconds. */
  refilledAt: number;
}

const SECOND_MS = 1_000;

/** Bucket capacity in milliseconds of its rate; at least one request. */
const BURST_MS = 250;

/** Relative change of a limit above which it is logged. */
const MIN_LOGGED_CHANGE = 0.2;

/** Milliseconds for which a removal is gossiped, in several digests. */
const REMOVAL_GOSSIP_MS = 10_000;

/** Requests per second that probe whether a limit of zero still holds. */
const MIN_PER_SECOND = 0.1;

/**
 * Creates the rate limits of one entry.
 *
 * @example
 * rateLimits.recordLimit('i-1', 2.9);
 * if (rateLimits.allowsRequest('i-1')) { rateLimits.consume('i-1'); }
 */
export function createRateLimits(options: {
  readonly clock: Clock;
  readonly self: string;
  readonly decisions: DecisionLog;
}): RateLimits {
  const {clock, self, decisions} = options;
  const buckets = new Map<string, TokenBucket>();
  let entries: readonly string[] = [self];
  /** This entry's share by endpoint, in requests per second; 0 for none. */
  const shares = new Map<string, number>();

  function hasLimit(endpoint: string): boolean {
    return buckets.get(endpoint)?.newest.perSecond !== undefined;
  }

  function observe(endpoint: string, newest: Observation): void {
    const known = buckets.get(endpoint);
    if (known === undefined) {
      buckets.set(endpoint, {newest, level: 0, refilledAt: clock.now()});
      logChange(endpoint, undefined, newest);
      return;
    }
    if (newest.at >= known.newest.at) {
      logChange(endpoint, known.newest, newest);
      refill(endpoint, known);
      known.newest = newest;
      shares.delete(endpoint);
    }
  }

  function logChange(
    endpoint: string,
    before: Observation | undefined,
    {perSecond, at}: Observation,
  ): void {
    if (before !== undefined && isSimilarRate(before.perSecond, perSecond)) {
      return;
    }
    decisions.note(
      'routing',
      endpoint,
      perSecond === undefined ? 'end its limit' : 'limit requests',
      'according to its responses',
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
    const rate = Math.max(MIN_PER_SECOND, perSecond);
    const count = Math.min(entries.length, Math.max(1, Math.floor(rate)));
    const shareholders = rendezvousOrder(endpoint, entries).slice(0, count);
    const share = shareholders.includes(self) ? rate / count : 0;
    shares.set(endpoint, share);
    return share;
  }

  function refill(endpoint: string, bucket: TokenBucket): void {
    const now = clock.now();
    const {perSecond} = bucket.newest;
    const rate = perSecond === undefined ? 0 : shareOf(endpoint, perSecond);
    const added = ((now - bucket.refilledAt) * rate) / SECOND_MS;
    const capacity = Math.max(1, (rate * BURST_MS) / SECOND_MS);
    bucket.level = Math.min(capacity, bucket.level + added);
    bucket.refilledAt = now;
  }

  /** Returns the bucket, refilled up to now; undefined without a limit. */
  function refilledBucket(endpoint: string): TokenBucket | undefined {
    const bucket = buckets.get(endpoint);
    if (bucket?.newest.perSecond === undefined) {
      return undefined;
    }
    refill(endpoint, bucket);
    return bucket;
  }

  return {
    recordLimit(endpoint, perSecond) {
      if (perSecond === undefined && !hasLimit(endpoint)) {
        return;
      }
      observe(endpoint, {perSecond, at: clock.now(), isOwn: true});
    },
    mergeReports(reports) {
      for (const [endpoint, {perSecond, agoMs}] of Object.entries(reports)) {
        if (perSecond !== undefined || hasLimit(endpoint)) {
          const at = clock.now() - agoMs;
          observe(endpoint, {perSecond, at, isOwn: false});
        }
      }
    },
    ownReports() {
      const reports: Record<string, RateLimitReport> = {};
      for (const [endpoint, {newest}] of buckets) {
        const {perSecond, at, isOwn} = newest;
        const agoMs = clock.now() - at;
        if (isOwn && perSecond !== undefined) {
          reports[endpoint] = {perSecond, agoMs};
        } else if (isOwn && agoMs <= REMOVAL_GOSSIP_MS) {
          reports[endpoint] = {agoMs};
        }
      }
      return reports;
    },
    setEntries(ids) {
      // Tokens earned so far accrue at the rates of the old shares.
      buckets.forEach((bucket, endpoint) => refill(endpoint, bucket));
      entries = ids;
      shares.clear();
    },
    retainEndpoints(endpoints) {
      for (const endpoint of buckets.keys()) {
        if (!endpoints.has(endpoint)) {
          buckets.delete(endpoint);
          shares.delete(endpoint);
        }
      }
    },
    allowsRequest(endpoint) {
      const bucket = refilledBucket(endpoint);
      return bucket === undefined || bucket.level >= 1;
    },
    consume(endpoint) {
      const bucket = refilledBucket(endpoint);
      if (bucket !== undefined) {
        bucket.level -= 1;
      }
    },
    waitMs(endpoint) {
      const bucket = refilledBucket(endpoint);
      if (bucket?.newest.perSecond === undefined) {
        return 0;
      }
      const share = shareOf(endpoint, bucket.newest.perSecond);
      if (share === 0) {
        return undefined;
      }
      return Math.max(0, ((1 - bucket.level) / share) * SECOND_MS);
    },
    dump: () =>
      Object.fromEntries(
        [...buckets].map(([endpoint, {newest, level}]) => [
          endpoint,
          {...newest, level, share: shares.get(endpoint)},
        ]),
      ),
  };
}

function isSimilarRate(a: number | undefined, b: number | undefined): boolean {
  if (a === undefined || b === undefined) {
    return a === b;
  }
  return Math.abs(a - b) <= MIN_LOGGED_CHANGE * Math.max(a, b);
}

/**
 * Returns the newest report for each endpoint; `elapsedMs` is the time since
 * the second reports were sent.
 *
 * @example
 * const reports = mergeRateLimitReports(own, digest.limits, clock.now() - receivedAt);
 */
export function mergeRateLimitReports(
  first: RateLimitReports,
  second: RateLimitReports,
  elapsedMs: number,
): RateLimitReports {
  const newest: Record<string, RateLimitReport> = {...first};
  for (const [endpoint, report] of Object.entries(second)) {
    const agoMs = report.agoMs + elapsedMs;
    const known = newest[endpoint];
    if (known === undefined || agoMs < known.agoMs) {
      newest[endpoint] = {...report, agoMs};
    }
  }
  return newest;
}
