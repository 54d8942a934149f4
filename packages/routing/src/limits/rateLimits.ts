/**
 * Rate limits that endpoints set in their responses, in requests per second of
 * all entries together.
 *
 * Limits are small compared with the number of entries, so a limit of n
 * requests per second is split among n entries only. Rendezvous hashing chooses
 * the same n entries at every entry; the other entries send the endpoint no
 * requests.
 */
import {
  rendezvousOrder,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {EndpointLimits} from './endpointLimits.js';

/** Rate limit from an endpoint's response, as entries gossip it. */
export interface RateLimitReport {
  /**
   * Maximum requests per second from all entries together, as set in the
   * endpoint's responses; absent if they set no limit.
   */
  readonly perSecond?: number;
  /** Milliseconds since the response arrived. */
  readonly agoMs: number;
}

/** Newest report by endpoint. */
export type RateLimitReports = Readonly<Record<string, RateLimitReport>>;

export interface RateLimits extends EndpointLimits {
  /** Records the limit in a response; undefined when the response sets none. */
  recordLimit(endpoint: string, perSecond: number | undefined): void;
  /** Merges the reports of another entry. */
  mergeReports(reports: RateLimitReports): void;
  /**
   * Returns the limits in responses to this entry, except those for which
   * another entry reported a newer limit.
   */
  ownReports(): RateLimitReports;
  /**
   * Sets the ids of the entries that split each limit. This entry sends no
   * requests to rate-limited endpoints unless its id is included.
   */
  setEntries(entries: readonly string[]): void;
  /** Drops the limits of endpoints that are not in the set. */
  retainEndpoints(endpoints: ReadonlySet<string>): void;
  dump(): unknown;
}

/** A rate limit observed in a response to this or another entry. */
interface Observation {
  readonly perSecond: number | undefined;
  /** Arrival of the response, in monotonic milliseconds. */
  readonly at: number;
  /** Whether this entry received the response. */
  readonly isOwn: boolean;
}

/** Token bucket with this entry's share of an endpoint's limit. */
interface TokenBucket {
  newestObservation: Observation;
  /** Tokens available: requests that may be sent now. */
  level: number;
  /** Last refill, in monotonic milliseconds. */
  refilledAt: number;
}

const SECOND_MS = 1_000;

/** Bucket capacity in milliseconds of refill; it is at least one request. */
const BURST_MS = 250;

/** Relative change of a limit above which the change is logged. */
const MIN_LOGGED_CHANGE = 0.2;

/** Time for which the removal of a limit is gossiped, over several digests. */
const REMOVAL_GOSSIP_MS = 10_000;

/**
 * Lower bound of an applied limit in requests per second, so that requests
 * still probe whether a limit of zero applies.
 */
const MIN_PER_SECOND = 0.1;

/**
 * Creates the rate limits of one entry.
 *
 * @example
 * rateLimits.recordLimit('i-1', 2.9);
 * if (rateLimits.allowsRequest('i-1')) { rateLimits.consumeToken('i-1'); }
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
    return buckets.get(endpoint)?.newestObservation.perSecond !== undefined;
  }

  function applyObservation(endpoint: string, newest: Observation): void {
    const bucket = buckets.get(endpoint);
    if (bucket === undefined) {
      buckets.set(endpoint, {
        newestObservation: newest,
        level: 0,
        refilledAt: clock.now(),
      });
      logChange(endpoint, undefined, newest);
      return;
    }
    if (newest.at >= bucket.newestObservation.at) {
      logChange(endpoint, bucket.newestObservation, newest);
      refill(endpoint, bucket);
      bucket.newestObservation = newest;
      shares.delete(endpoint);
    }
  }

  function logChange(
    endpoint: string,
    previous: Observation | undefined,
    {perSecond, at}: Observation,
  ): void {
    if (
      previous !== undefined &&
      isSimilarRate(previous.perSecond, perSecond)
    ) {
      return;
    }
    decisions.recordDecision(
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
    const cachedShare = shares.get(endpoint);
    if (cachedShare !== undefined) {
      return cachedShare;
    }
    const rate = Math.max(MIN_PER_SECOND, perSecond);
    const shareholderCount = Math.min(
      entries.length,
      Math.max(1, Math.floor(rate)),
    );
    const shareholders = rendezvousOrder(endpoint, entries).slice(
      0,
      shareholderCount,
    );
    const share = shareholders.includes(self) ? rate / shareholderCount : 0;
    shares.set(endpoint, share);
    return share;
  }

  function refill(endpoint: string, bucket: TokenBucket): void {
    const now = clock.now();
    const {perSecond} = bucket.newestObservation;
    const rate = perSecond === undefined ? 0 : shareOf(endpoint, perSecond);
    const addedTokens = ((now - bucket.refilledAt) * rate) / SECOND_MS;
    const capacity = Math.max(1, (rate * BURST_MS) / SECOND_MS);
    bucket.level = Math.min(capacity, bucket.level + addedTokens);
    bucket.refilledAt = now;
  }

  /** Refills and returns the endpoint's bucket; undefined without a limit. */
  function refilledBucket(endpoint: string): TokenBucket | undefined {
    const bucket = buckets.get(endpoint);
    if (bucket?.newestObservation.perSecond === undefined) {
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
      applyObservation(endpoint, {perSecond, at: clock.now(), isOwn: true});
    },
    mergeReports(reports) {
      for (const [endpoint, {perSecond, agoMs}] of Object.entries(reports)) {
        if (perSecond !== undefined || hasLimit(endpoint)) {
          const at = clock.now() - agoMs;
          applyObservation(endpoint, {perSecond, at, isOwn: false});
        }
      }
    },
    ownReports() {
      const reports: Record<string, RateLimitReport> = {};
      for (const [endpoint, {newestObservation: newest}] of buckets) {
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
      // Refills the buckets for the time until now at the old shares.
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
    consumeToken(endpoint) {
      const bucket = refilledBucket(endpoint);
      if (bucket !== undefined) {
        bucket.level -= 1;
      }
    },
    waitMs(endpoint) {
      const bucket = refilledBucket(endpoint);
      if (bucket?.newestObservation.perSecond === undefined) {
        return 0;
      }
      const share = shareOf(endpoint, bucket.newestObservation.perSecond);
      if (share === 0) {
        return undefined;
      }
      return Math.max(0, ((1 - bucket.level) / share) * SECOND_MS);
    },
    dump: () =>
      Object.fromEntries(
        [...buckets].map(([endpoint, {newestObservation: newest, level}]) => [
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
 * Returns the newest report for each endpoint. `elapsedMs` is the time since
 * the reports in `second` were current; it is added to their age.
 *
 * @example
 * const reports = mergeRateLimitReports(
 *   rateLimits.ownReports(), digest.limits, clock.now() - receivedAt,
 * );
 */
export function mergeRateLimitReports(
  first: RateLimitReports,
  second: RateLimitReports,
  elapsedMs: number,
): RateLimitReports {
  const newest: Record<string, RateLimitReport> = {...first};
  for (const [endpoint, report] of Object.entries(second)) {
    const agoMs = report.agoMs + elapsedMs;
    const existing = newest[endpoint];
    if (existing === undefined || agoMs < existing.agoMs) {
      newest[endpoint] = {...report, agoMs};
    }
  }
  return newest;
}
