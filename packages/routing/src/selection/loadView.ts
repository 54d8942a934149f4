/** Estimates an endpoint's load from reports and the requests of this entry. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {EntryLoad} from '../contracts.js';
import type {EntryReports} from './entryLoads.js';
import {addByUrgency, addLoads, NO_LOAD, requestLoad} from './loadSums.js';

/** A request that this entry sent to the endpoint and that is in flight. */
export interface OwnRequest {
  /** Prompt tokens yet to be computed; changed by `setPendingTokens`. */
  pendingTokens: number;
  /** Tokens of the whole prompt. */
  readonly contextTokens: number;
  /** 0 (served first) to 9. */
  readonly urgency: number;
}

/** Estimated load on an endpoint from all entries. */
export interface LoadEstimate {
  /** Running and waiting requests. */
  readonly requests: number;
  /** Requests that the endpoint can run concurrently. */
  readonly slots: number;
  /** Prompt tokens of these requests that are yet to be computed. */
  readonly pendingTokens: number;
  /** Pending tokens indexed by urgency; absent if no entry reported any. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of these requests; 0 for requests that no entry reported. */
  readonly contextTokens: number;
  /** How many times as long as usual work takes on the endpoint's host. */
  readonly slowness: number;
}

export interface LoadView {
  addRequest(
    pendingTokens: number,
    contextTokens: number,
    urgency: number,
  ): OwnRequest;
  /** Sets the prompt tokens of a request that are yet to be computed. */
  setPendingTokens(request: OwnRequest, pendingTokens: number): void;
  removeRequest(request: OwnRequest): void;
  recordReport(report: LoadReport): void;
  /** Replaces another entry's load; undefined if it has no requests. */
  recordEntryLoad(entry: string, load: EntryLoad | undefined): void;
  /** Returns the load of this entry's requests. */
  ownLoad(): EntryLoad;
  /**
   * Returns the estimated load from all entries. `nowMs` is the monotonic time,
   * for callers that have just read it.
   */
  estimate(nowMs?: number): LoadEstimate;
  /**
   * Returns how many times as long as usual work takes on the endpoint's host
   * according to its last reports; at least 1, and 1 without a report of it.
   */
  slowness(): number;
  /** Number of this entry's requests in flight. */
  readonly ownRequestCount: number;
  /**
   * Milliseconds since the endpoint's last report; infinite before the first.
   */
  reportAgeMs(): number;
  dump(): unknown;
}

export interface LoadViewOptions {
  readonly clock: Clock;
  /** Returns whether this entry made the attempt with this id. */
  readonly isOwnAttempt: (attempt: string) => boolean;
  /** Reports of other entries, on the loads of all endpoints. */
  readonly entryReports: EntryReports;
}

/** Sum of the loads of other entries. */
interface EntrySum {
  readonly load: EntryLoad;
  /** Monotonic milliseconds at which the oldest of the loads was received. */
  readonly oldestReceivedMs: number;
}

/** An estimate that holds for some time if no load changes. */
interface CachedEstimate {
  readonly estimate: LoadEstimate;
  /** End of the validity in monotonic milliseconds. */
  readonly validUntilMs: number;
}

/** Assumed lag of a load report that does not list its attempts. */
const ASSUMED_REPORT_LAG_MS = 400;
/** Time for which past counts of this entry's requests are retained. */
const OWN_COUNT_HISTORY_MS = 4000;
/** Age above which the weight of an endpoint's report decays. */
const FRESH_REPORT_MS = 2500;
const STALE_REPORT_HALF_LIFE_MS = 2500;
/**
 * Half-life of a reported slowness. Hosts are slow for about a second, and an
 * endpoint that is avoided sends no further reports.
 */
const SLOWNESS_HALF_LIFE_MS = 400;
/** Slots assumed before the first report. */
const DEFAULT_SLOTS = 8;
/** Lifetime of the load that an entry reports: four report intervals. */
const ENTRY_LOAD_TTL_MS = 1_200;
/** Time without reports from entries after which endpoint reports are used. */
const ENTRY_REPORTS_TIMEOUT_MS = 2_500;

/**
 * Creates a view of an endpoint with no load.
 *
 * A delayed report still counts requests of this entry that have ended and
 * lacks requests just sent. So the view uses the reported count of other
 * entries' requests and the exact load of this entry. If it used the reported
 * count of this entry's requests, all requests in one report interval would go
 * to the endpoint that last looked idle.
 *
 * @example
 * const load = createLoadView({
 *   clock, isOwnAttempt: id => id.startsWith('e1-'), entryReports,
 * });
 */
export function createLoadView(options: LoadViewOptions): LoadView {
  const {clock, isOwnAttempt, entryReports} = options;
  const ownRequests = new Set<OwnRequest>();
  /** Past counts of this entry's requests, for reports without attempts. */
  const ownCountHistory: {atMs: number; count: number}[] = [];
  let slots = DEFAULT_SLOTS;
  let otherEntriesRequestCount = 0;
  let otherEntriesPendingTokens = 0;
  let reportReceivedMs = Number.NEGATIVE_INFINITY;
  let lastReportSequence = -1;
  let reportedSlowness = 1;
  let slownessReceivedMs = Number.NEGATIVE_INFINITY;
  const loadsByEntry = new Map<string, {load: EntryLoad; receivedMs: number}>();
  /** Reports that do not cover this endpoint, which was added later. */
  const earlierReportCount = entryReports.count();
  // An estimate is needed of each endpoint at each choice, but the loads of few
  // endpoints change between two choices.
  let cachedEstimate: CachedEstimate | undefined;

  function recordOwnRequestCount() {
    const nowMs = clock.now();
    ownCountHistory.push({atMs: nowMs, count: ownRequests.size});
    while (
      ownCountHistory.length > 1 &&
      ownCountHistory[1]!.atMs < nowMs - OWN_COUNT_HISTORY_MS
    ) {
      ownCountHistory.shift();
    }
  }

  function pastOwnRequestCount(agoMs: number): number {
    const pastMs = clock.now() - agoMs;
    let count = 0;
    for (const sample of ownCountHistory) {
      if (sample.atMs > pastMs) {
        break;
      }
      count = sample.count;
    }
    return count;
  }

  function countOwnAttempts(report: LoadReport): number {
    if (report.attempts === undefined) {
      return pastOwnRequestCount(ASSUMED_REPORT_LAG_MS);
    }
    return report.attempts.filter(isOwnAttempt).length;
  }

  function reportWeight(): number {
    const ageMs = clock.now() - reportReceivedMs;
    if (ageMs <= FRESH_REPORT_MS) {
      return 1;
    }
    return 0.5 ** ((ageMs - FRESH_REPORT_MS) / STALE_REPORT_HALF_LIFE_MS);
  }

  function slowness(): number {
    if (reportedSlowness === 1) {
      return 1;
    }
    const ageMs = clock.now() - slownessReceivedMs;
    const weight = 0.5 ** (ageMs / SLOWNESS_HALF_LIFE_MS);
    return 1 + (reportedSlowness - 1) * weight;
  }

  function ownLoad(): EntryLoad {
    return [...ownRequests].map(requestLoad).reduce(addLoads, NO_LOAD);
  }

  function hasRecentEntryReport(nowMs: number): boolean {
    return (
      entryReports.count() > earlierReportCount &&
      nowMs - entryReports.lastMs() <= ENTRY_REPORTS_TIMEOUT_MS
    );
  }

  function sumEntryLoads(nowMs: number): EntrySum {
    const oldestMs = nowMs - ENTRY_LOAD_TTL_MS;
    let sum = NO_LOAD;
    let oldestReceivedMs = Infinity;
    for (const {load, receivedMs} of loadsByEntry.values()) {
      if (receivedMs >= oldestMs) {
        sum = addLoads(sum, load);
        oldestReceivedMs = Math.min(oldestReceivedMs, receivedMs);
      }
    }
    return {load: sum, oldestReceivedMs};
  }

  function loadFromReport(): EntryLoad {
    const weight = reportWeight();
    return {
      requests: otherEntriesRequestCount * weight,
      pendingTokens: otherEntriesPendingTokens * weight,
      contextTokens: 0,
    };
  }

  function estimateWith(others: EntryLoad): LoadEstimate {
    const own = ownLoad();
    return {
      requests: others.requests + own.requests,
      slots,
      pendingTokens: others.pendingTokens + own.pendingTokens,
      pendingByUrgency: addByUrgency(
        others.pendingByUrgency,
        own.pendingByUrgency,
      ),
      contextTokens: others.contextTokens + own.contextTokens,
      slowness: slowness(),
    };
  }

  function estimate(nowMs = clock.now()): LoadEstimate {
    if (cachedEstimate !== undefined && nowMs <= cachedEstimate.validUntilMs) {
      return cachedEstimate.estimate;
    }
    if (!hasRecentEntryReport(nowMs)) {
      return estimateWith(loadFromReport());
    }
    const {load, oldestReceivedMs} = sumEntryLoads(nowMs);
    const newEstimate = estimateWith(load);
    // A reported slowness fades continuously, so it is never cached.
    if (newEstimate.slowness === 1) {
      const validUntilMs = Math.min(
        oldestReceivedMs + ENTRY_LOAD_TTL_MS,
        entryReports.lastMs() + ENTRY_REPORTS_TIMEOUT_MS,
      );
      cachedEstimate = {estimate: newEstimate, validUntilMs};
    }
    return newEstimate;
  }

  return {
    addRequest(pendingTokens, contextTokens, urgency) {
      const request = {pendingTokens, contextTokens, urgency};
      ownRequests.add(request);
      cachedEstimate = undefined;
      recordOwnRequestCount();
      return request;
    },
    setPendingTokens(request, pendingTokens) {
      request.pendingTokens = pendingTokens;
      cachedEstimate = undefined;
    },
    removeRequest(request) {
      ownRequests.delete(request);
      cachedEstimate = undefined;
      recordOwnRequestCount();
    },
    recordReport(report) {
      // Drops a report that arrives after a newer one. A sequence number that
      // is lower by 50 or more is taken for a restarted sequence.
      if (
        report.sequence < lastReportSequence &&
        lastReportSequence - report.sequence < 50
      ) {
        return;
      }
      lastReportSequence = report.sequence;
      cachedEstimate = undefined;
      const total = report.running + report.waiting;
      slots = Math.max(1, report.slots);
      otherEntriesRequestCount = Math.max(0, total - countOwnAttempts(report));
      otherEntriesPendingTokens =
        total === 0
          ? 0
          : (report.waitingPromptTokens * otherEntriesRequestCount) / total;
      reportReceivedMs = clock.now();
      if (report.slowness !== undefined) {
        // A bonus for fast hosts would make all entries choose the same one.
        reportedSlowness = Math.max(1, report.slowness);
        slownessReceivedMs = clock.now();
      }
    },
    recordEntryLoad(entry, load) {
      cachedEstimate = undefined;
      if (load === undefined) {
        loadsByEntry.delete(entry);
        return;
      }
      loadsByEntry.set(entry, {load, receivedMs: clock.now()});
    },
    ownLoad,
    estimate,
    slowness,
    get ownRequestCount() {
      return ownRequests.size;
    },
    reportAgeMs: () => clock.now() - reportReceivedMs,
    dump: () => ({
      own: ownRequests.size,
      others: otherEntriesRequestCount,
      othersTokens: otherEntriesPendingTokens,
      slots,
      slowness: slowness(),
    }),
  };
}
