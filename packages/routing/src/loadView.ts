/** The load of one endpoint now, from late reports and what this entry sent. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {EntryLoad} from './contracts.js';

/** A request of this entry at the endpoint. */
export interface OwnRequest {
  /** Prompt tokens that it has yet to compute. */
  pendingTokens: number;
  /** Tokens of its whole prompt. */
  readonly contextTokens: number;
  /** 0 (served first) to 9. */
  readonly urgency: number;
}

export interface LoadEstimate {
  /** Requests running or waiting there. */
  readonly requests: number;
  readonly slots: number;
  /** Prompt tokens to be computed before those of a new request. */
  readonly pendingTokens: number;
  /** Pending tokens by urgency, as far as entries tell of them. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of the requests there, as far as entries tell of them. */
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
  /** What another entry has there now; undefined for nothing. */
  reportEntry(entry: string, load: EntryLoad | undefined): void;
  /** What this entry has there. */
  ownLoad(): EntryLoad;
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
/** What an entry said counts this long: four of its messages. */
const ENTRY_FRESH_MS = 1_200;
/** Entries count in place of the endpoint's reports while one of them was heard this lately. */
const ENTRIES_HEARD_MS = 2_500;

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
  const entries = new Map<string, {load: EntryLoad; atMs: number}>();
  let entriesHeardMs = Number.NEGATIVE_INFINITY;

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

  function ownLoad(): EntryLoad {
    return sumOf([...own].map(loadOf));
  }

  function entryLoads(): EntryLoad {
    const oldestMs = clock.now() - ENTRY_FRESH_MS;
    return sumOf(
      [...entries.values()]
        .filter(({atMs}) => atMs >= oldestMs)
        .map(({load}) => load),
    );
  }

  function reportedLoad(): EntryLoad {
    const fresh = freshness();
    return {
      requests: others * fresh,
      pendingTokens: othersTokens * fresh,
      contextTokens: 0,
    };
  }

  return {
    add(pendingTokens, contextTokens, urgency) {
      const request = {pendingTokens, contextTokens, urgency};
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
    reportEntry(entry, load) {
      entriesHeardMs = clock.now();
      if (load === undefined) {
        entries.delete(entry);
        return;
      }
      entries.set(entry, {load, atMs: clock.now()});
    },
    ownLoad,
    estimate() {
      const mine = ownLoad();
      const theirs =
        clock.now() - entriesHeardMs <= ENTRIES_HEARD_MS
          ? entryLoads()
          : reportedLoad();
      return {
        requests: theirs.requests + mine.requests,
        slots,
        pendingTokens: theirs.pendingTokens + mine.pendingTokens,
        pendingByUrgency: addByUrgency(
          theirs.pendingByUrgency,
          mine.pendingByUrgency,
        ),
        contextTokens: theirs.contextTokens + mine.contextTokens,
      };
    },
    get own() {
      return own.size;
    },
    reportAgeMs: () => clock.now() - reportedMs,
    dump: () => ({own: own.size, others, othersTokens, slots}),
  };
}

function loadOf(request: OwnRequest): EntryLoad {
  const {pendingTokens, contextTokens, urgency} = request;
  const load = {requests: 1, pendingTokens, contextTokens};
  if (pendingTokens === 0) {
    return load;
  }
  const pendingByUrgency = new Array<number>(urgency + 1).fill(0);
  pendingByUrgency[urgency] = pendingTokens;
  return {...load, pendingByUrgency};
}

function sumOf(loads: readonly EntryLoad[]): EntryLoad {
  return loads.reduce(addLoads, {
    requests: 0,
    pendingTokens: 0,
    contextTokens: 0,
  });
}

/**
 * What two entries have at one endpoint together.
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
 * Pending tokens that are read before those of a new request of this urgency.
 * Without a division by urgency all count.
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
