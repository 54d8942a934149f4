/** Estimates an endpoint's load from reports and the requests of this entry. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {EntryLoad} from '../contracts.js';

/** A request that this entry sent to the endpoint and that is in flight. */
export interface OwnRequest {
  /** Prompt tokens yet to be computed. */
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
  removeRequest(request: OwnRequest): void;
  recordReport(report: LoadReport): void;
  /** Replaces another entry's load; undefined if it has no requests. */
  recordEntryLoad(entry: string, load: EntryLoad | undefined): void;
  /** Returns the load of this entry's requests. */
  ownLoad(): EntryLoad;
  /** Returns the estimated load from all entries. */
  estimate(): LoadEstimate;
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
 *   clock, isOwnAttempt: id => id.startsWith('e1-'),
 * });
 */
export function createLoadView(options: LoadViewOptions): LoadView {
  const {clock, isOwnAttempt} = options;
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
  let lastEntryReportMs = Number.NEGATIVE_INFINITY;

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

  // Both sums run for each endpoint at each choice, so they create no lists.
  function ownLoad(): EntryLoad {
    let sum = NO_LOAD;
    for (const request of ownRequests) {
      sum = addLoads(sum, requestLoad(request));
    }
    return sum;
  }

  function sumEntryLoads(): EntryLoad {
    const oldestMs = clock.now() - ENTRY_LOAD_TTL_MS;
    let sum = NO_LOAD;
    for (const {load, receivedMs} of loadsByEntry.values()) {
      sum = receivedMs >= oldestMs ? addLoads(sum, load) : sum;
    }
    return sum;
  }

  function loadFromReport(): EntryLoad {
    const weight = reportWeight();
    return {
      requests: otherEntriesRequestCount * weight,
      pendingTokens: otherEntriesPendingTokens * weight,
      contextTokens: 0,
    };
  }

  return {
    addRequest(pendingTokens, contextTokens, urgency) {
      const request = {pendingTokens, contextTokens, urgency};
      ownRequests.add(request);
      recordOwnRequestCount();
      return request;
    },
    removeRequest(request) {
      ownRequests.delete(request);
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
      lastEntryReportMs = clock.now();
      if (load === undefined) {
        loadsByEntry.delete(entry);
        return;
      }
      loadsByEntry.set(entry, {load, receivedMs: clock.now()});
    },
    ownLoad,
    estimate() {
      const thisEntryLoad = ownLoad();
      const otherEntriesLoad =
        clock.now() - lastEntryReportMs <= ENTRY_REPORTS_TIMEOUT_MS
          ? sumEntryLoads()
          : loadFromReport();
      return {
        requests: otherEntriesLoad.requests + thisEntryLoad.requests,
        slots,
        pendingTokens:
          otherEntriesLoad.pendingTokens + thisEntryLoad.pendingTokens,
        pendingByUrgency: addByUrgency(
          otherEntriesLoad.pendingByUrgency,
          thisEntryLoad.pendingByUrgency,
        ),
        contextTokens:
          otherEntriesLoad.contextTokens + thisEntryLoad.contextTokens,
        slowness: slowness(),
      };
    },
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

function requestLoad(request: OwnRequest): EntryLoad {
  const {pendingTokens, contextTokens, urgency} = request;
  const load = {requests: 1, pendingTokens, contextTokens};
  if (pendingTokens === 0) {
    return load;
  }
  const pendingByUrgency = new Array<number>(urgency + 1).fill(0);
  pendingByUrgency[urgency] = pendingTokens;
  return {...load, pendingByUrgency};
}

const NO_LOAD: EntryLoad = {requests: 0, pendingTokens: 0, contextTokens: 0};

/**
 * Adds two loads on one endpoint, such as those of two entries.
 *
 * @example
 * const all = loads.reduce(addLoads);
 */
export function addLoads(a: EntryLoad, b: EntryLoad): EntryLoad {
  if (a === NO_LOAD || b === NO_LOAD) {
    return a === NO_LOAD ? b : a;
  }
  const pendingByUrgency = addByUrgency(a.pendingByUrgency, b.pendingByUrgency);
  return {
    requests: a.requests + b.requests,
    pendingTokens: a.pendingTokens + b.pendingTokens,
    contextTokens: a.contextTokens + b.contextTokens,
    ...(pendingByUrgency && {pendingByUrgency}),
  };
}

function addByUrgency(
  a: readonly number[] | undefined,
  b: readonly number[] | undefined,
): readonly number[] | undefined {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  const [longer, shorter] = a.length >= b.length ? [a, b] : [b, a];
  return longer.map((tokens, urgency) => tokens + (shorter[urgency] ?? 0));
}

/**
 * Returns the pending tokens that an endpoint computes before the prompt of a
 * new request of this urgency; all pending tokens when the load is not broken
 * down by urgency.
 *
 * @example
 * const tokens = tokensAhead(load.estimate(), 2);
 */
export function tokensAhead(load: EntryLoad, urgency: number): number {
  if (load.pendingByUrgency === undefined) {
    return load.pendingTokens;
  }
  return load.pendingByUrgency
    .slice(0, urgency + 1)
    .reduce((sum, tokens) => sum + tokens, 0);
}
