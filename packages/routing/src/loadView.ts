/** Load estimate of an endpoint from delayed reports and own requests. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {EntryLoad} from './contracts.js';

/** A request of this entry at the endpoint. */
export interface OwnRequest {
  /** Prompt tokens yet to be computed. */
  pendingTokens: number;
  /** Tokens of the whole prompt. */
  readonly contextTokens: number;
  /** 0 (served first) to 9. */
  readonly urgency: number;
}

export interface LoadEstimate {
  /** Running and waiting requests. */
  readonly requests: number;
  readonly slots: number;
  /** Prompt tokens to be computed before those of a new request. */
  readonly pendingTokens: number;
  /** Pending tokens by urgency, as far as entries report them. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of the requests there, as far as entries report them. */
  readonly contextTokens: number;
}

export interface LoadView {
  add(
    pendingTokens: number,
    contextTokens: number,
    urgency: number,
  ): OwnRequest;
  remove(request: OwnRequest): void;
  report(report: LoadReport): void;
  /** Replaces another entry's load; undefined for none. */
  reportEntryLoad(entry: string, load: EntryLoad | undefined): void;
  /** Load of this entry's requests. */
  ownLoad(): EntryLoad;
  estimate(): LoadEstimate;
  /** Number of this entry's requests in flight. */
  readonly ownRequestCount: number;
  /** Milliseconds since the last report; infinite before the first. */
  reportAgeMs(): number;
  dump(): unknown;
}

export interface LoadViewOptions {
  readonly clock: Clock;
  /** Whether an attempt in a report is this entry's. */
  readonly isOwn: (attempt: string) => boolean;
}

/** Assumed lag of a report that does not list its attempts. */
const ASSUMED_REPORT_LAG_MS = 400;
const HISTORY_MS = 4000;
/** Age from which on the weight of a report decays. */
const FRESH_REPORT_MS = 2500;
const STALE_REPORT_HALF_LIFE_MS = 2500;
const DEFAULT_SLOTS = 8;
/** Lifetime of an entry's reported load: four report intervals. */
const ENTRY_LOAD_TTL_MS = 1_200;
/** Time without entries' reports until the endpoint's reports are used. */
const ENTRY_REPORTS_TIMEOUT_MS = 2_500;

/**
 * Creates a view of an endpoint with no load.
 *
 * A delayed report still counts requests of this entry that have ended and
 * lacks those just sent. So its count for other entries is retained, and its
 * count for this entry is replaced by the exact load. Otherwise all requests in
 * one report interval would go to the endpoint that last looked idle.
 *
 * @example
 * const load = createLoadView({clock, isOwn: id => id.startsWith('e1-')});
 */
export function createLoadView(options: LoadViewOptions): LoadView {
  const {clock, isOwn} = options;
  const ownRequests = new Set<OwnRequest>();
  /** Number of own requests over time, for reports that list no attempts. */
  const history: {atMs: number; count: number}[] = [];
  let slots = DEFAULT_SLOTS;
  let otherRequests = 0;
  let otherPendingTokens = 0;
  let reportedMs = Number.NEGATIVE_INFINITY;
  let lastSequence = -1;
  const loadsByEntry = new Map<string, {load: EntryLoad; atMs: number}>();
  let lastEntryReportMs = Number.NEGATIVE_INFINITY;

  function recordOwnCount() {
    const nowMs = clock.now();
    history.push({atMs: nowMs, count: ownRequests.size});
    while (history.length > 1 && history[1]!.atMs < nowMs - HISTORY_MS) {
      history.shift();
    }
  }

  function ownCountAt(agoMs: number): number {
    const atMs = clock.now() - agoMs;
    let count = 0;
    for (const historySample of history) {
      if (historySample.atMs > atMs) {
        break;
      }
      count = historySample.count;
    }
    return count;
  }

  function countOwn(report: LoadReport): number {
    if (report.attempts === undefined) {
      return ownCountAt(ASSUMED_REPORT_LAG_MS);
    }
    return report.attempts.filter(isOwn).length;
  }

  function reportWeight(): number {
    const ageMs = clock.now() - reportedMs;
    if (ageMs <= FRESH_REPORT_MS) {
      return 1;
    }
    return 0.5 ** ((ageMs - FRESH_REPORT_MS) / STALE_REPORT_HALF_LIFE_MS);
  }

  function ownLoad(): EntryLoad {
    return sumLoads([...ownRequests].map(requestLoad));
  }

  function sumEntryLoads(): EntryLoad {
    const oldestMs = clock.now() - ENTRY_LOAD_TTL_MS;
    return sumLoads(
      [...loadsByEntry.values()]
        .filter(({atMs}) => atMs >= oldestMs)
        .map(({load}) => load),
    );
  }

  function reportedLoad(): EntryLoad {
    const weight = reportWeight();
    return {
      requests: otherRequests * weight,
      pendingTokens: otherPendingTokens * weight,
      contextTokens: 0,
    };
  }

  return {
    add(pendingTokens, contextTokens, urgency) {
      const request = {pendingTokens, contextTokens, urgency};
      ownRequests.add(request);
      recordOwnCount();
      return request;
    },
    remove(request) {
      ownRequests.delete(request);
      recordOwnCount();
    },
    report(report) {
      // Drops a report that was overtaken by a newer one.
      if (
        report.sequence < lastSequence &&
        lastSequence - report.sequence < 50
      ) {
        return;
      }
      lastSequence = report.sequence;
      const total = report.running + report.waiting;
      slots = Math.max(1, report.slots);
      otherRequests = Math.max(0, total - countOwn(report));
      otherPendingTokens =
        total === 0 ? 0 : (report.waitingPromptTokens * otherRequests) / total;
      reportedMs = clock.now();
    },
    reportEntryLoad(entry, load) {
      lastEntryReportMs = clock.now();
      if (load === undefined) {
        loadsByEntry.delete(entry);
        return;
      }
      loadsByEntry.set(entry, {load, atMs: clock.now()});
    },
    ownLoad,
    estimate() {
      const ownTotal = ownLoad();
      const othersTotal =
        clock.now() - lastEntryReportMs <= ENTRY_REPORTS_TIMEOUT_MS
          ? sumEntryLoads()
          : reportedLoad();
      return {
        requests: othersTotal.requests + ownTotal.requests,
        slots,
        pendingTokens: othersTotal.pendingTokens + ownTotal.pendingTokens,
        pendingByUrgency: addByUrgency(
          othersTotal.pendingByUrgency,
          ownTotal.pendingByUrgency,
        ),
        contextTokens: othersTotal.contextTokens + ownTotal.contextTokens,
      };
    },
    get ownRequestCount() {
      return ownRequests.size;
    },
    reportAgeMs: () => clock.now() - reportedMs,
    dump: () => ({
      own: ownRequests.size,
      others: otherRequests,
      othersTokens: otherPendingTokens,
      slots,
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

function sumLoads(loads: readonly EntryLoad[]): EntryLoad {
  return loads.reduce(addLoads, {
    requests: 0,
    pendingTokens: 0,
    contextTokens: 0,
  });
}

/**
 * Adds the loads of two entries on one endpoint.
 *
 * @example
 * const all = loads.reduce(addLoads);
 */
export function addLoads(a: EntryLoad, b: EntryLoad): EntryLoad {
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
  const [long, short] = a.length >= b.length ? [a, b] : [b, a];
  return long.map((tokens, urgency) => tokens + (short[urgency] ?? 0));
}

/**
 * Returns the pending tokens computed before those of a new request of this
 * urgency; all of them when the load is not broken down by urgency.
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
