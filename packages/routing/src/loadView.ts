/** The load of one endpoint now, from late reports and what this entry sent. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';

/** A request of this entry at the endpoint. */
export interface OwnRequest {
  /** Prompt tokens that it has yet to compute. */
  pendingTokens: number;
}

export interface LoadEstimate {
  /** Requests running or waiting there. */
  readonly requests: number;
  readonly slots: number;
  /** Prompt tokens to be computed before those of a new request. */
  readonly pendingTokens: number;
}

export interface LoadView {
  add(pendingTokens: number): OwnRequest;
  remove(request: OwnRequest): void;
  report(report: LoadReport): void;
  estimate(): LoadEstimate;
  /** Requests of this entry there. */
  readonly own: number;
  /** Milliseconds since the last report; infinite before the first. */
  reportAgeMs(): number;
  dump(): unknown;
}

export interface LoadViewOptions {
  readonly clock: Clock;
  /** Tells this entry's attempts in a report from those of other entries. */
  readonly isOwn: (attempt: string) => boolean;
}

/** Lag of a report that does not list its attempts. */
const ASSUMED_LAG_MS = 400;
const HISTORY_MS = 4000;
/** From this age on a report counts for less and less. */
const FRESH_MS = 2500;
const STALE_HALF_LIFE_MS = 2500;
const DEFAULT_SLOTS = 8;

/**
 * Makes a view of an endpoint with no load.
 *
 * A report is late, so it still counts requests of ours that have ended and
 * lacks those just sent. What it says of other entries is kept, and our own
 * part, which we know exactly, is put in its place. Without this every request
 * within one interval would go to the endpoint that last looked idle.
 *
 * @example
 * const load = createLoadView({clock, isOwn: id => id.startsWith('e1-')});
 */
export function createLoadView(options: LoadViewOptions): LoadView {
  const {clock, isOwn} = options;
  const own = new Set<OwnRequest>();
  /** Own requests over the last seconds, for reports without a list. */
  const history: {atMs: number; count: number}[] = [];
  let slots = DEFAULT_SLOTS;
  let others = 0;
  let othersTokens = 0;
  let reportedMs = Number.NEGATIVE_INFINITY;
  let lastSequence = -1;

  function noteCount() {
    const nowMs = clock.now();
    history.push({atMs: nowMs, count: own.size});
    while (history.length > 1 && history[1]!.atMs < nowMs - HISTORY_MS) {
      history.shift();
    }
  }

  function ownBefore(agoMs: number): number {
    const atMs = clock.now() - agoMs;
    let count = 0;
    for (const entry of history) {
      if (entry.atMs > atMs) {
        break;
      }
      count = entry.count;
    }
    return count;
  }

  function ownIn(report: LoadReport): number {
    if (report.attempts === undefined) {
      return ownBefore(ASSUMED_LAG_MS);
    }
    return report.attempts.filter(isOwn).length;
  }

  function freshness(): number {
    const ageMs = clock.now() - reportedMs;
    if (ageMs <= FRESH_MS) {
      return 1;
    }
    return 0.5 ** ((ageMs - FRESH_MS) / STALE_HALF_LIFE_MS);
  }

  return {
    add(pendingTokens) {
      const request = {pendingTokens};
      own.add(request);
      noteCount();
      return request;
    },
    remove(request) {
      own.delete(request);
      noteCount();
    },
    report(report) {
      // A report that is not newer was delayed on its way or sent twice.
      if (
        report.sequence < lastSequence &&
        lastSequence - report.sequence < 50
      ) {
        return;
      }
      lastSequence = report.sequence;
      const total = report.running + report.waiting;
      slots = Math.max(1, report.slots);
      others = Math.max(0, total - ownIn(report));
      othersTokens =
        total === 0 ? 0 : (report.waitingPromptTokens * others) / total;
      reportedMs = clock.now();
    },
    estimate() {
      const fresh = freshness();
      let ownTokens = 0;
      own.forEach(request => (ownTokens += request.pendingTokens));
      return {
        requests: others * fresh + own.size,
        slots,
        pendingTokens: othersTokens * fresh + ownTokens,
      };
    },
    get own() {
      return own.size;
    },
    reportAgeMs: () => clock.now() - reportedMs,
    dump: () => ({own: own.size, others, othersTokens, slots}),
  };
}
