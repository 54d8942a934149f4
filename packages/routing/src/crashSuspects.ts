/**
 * Requests that crash the endpoints that run them (queries of death).
 *
 * An endpoint that crashes takes down all that it was running, so each of these
 * requests is suspected. Several endpoints that crash under the same request
 * convict it: no entry sends it on until its quarantine is over. A whole answer
 * clears a request.
 */
import {
  emitter,
  rendezvousOrder,
  type Clock,
  type DecisionLog,
  type Event,
} from '@skylarkfield/base';
import {
  boundReport,
  EMPTY_REPORT,
  createCrashEvidence,
  isNews,
  mergeReports,
  reportSince,
  type Crash,
  type CrashReport,
} from './crashEvidence.js';
import {createCrashLosses, type CrashLosses} from './crashLosses.js';

/** Whether a request may go to an endpoint. */
export type Verdict =
  | {readonly type: 'clear'}
  /** Too few endpoints crashed under it to tell whether it was the cause. */
  | {readonly type: 'suspected'; readonly crashes: number}
  /** Its quarantine is over, and this entry may try it once. */
  | {readonly type: 'trial'; readonly crashes: number}
  | {
      readonly type: 'quarantined';
      readonly crashes: number;
      readonly retryAfterMs: number;
    };

export interface CrashSuspects extends Omit<CrashLosses, 'isUnconfirmed'> {
  /** No endpoint is known to have crashed under any request: every verdict is `clear`. */
  isEmpty(): boolean;
  judge(request: string): Verdict;
  /** The request is sent although it was quarantined. */
  beginTrial(request: string): void;
  /** The request was answered whole. */
  noteServed(request: string): void;
  /** What another entry has kept, in place of what it had before. */
  takeKept(entry: string, report: CrashReport): void;
  /** What an entry had kept was taken away, this one's included: it convicts nobody any more. */
  dropKept(entry: string): void;
  /** What other entries tell, which may not be kept yet. */
  hear(report: CrashReport): void;
  /** What this entry had kept before it was started again. */
  restore(report: CrashReport): void;
  /** What this entry has to keep. */
  own(): CrashReport;
  /** A report of this entry was kept, and reaches the others by that. */
  noteKept(report: CrashReport): void;
  /** What this entry tells the others: what is new, or not kept yet; undefined when there is nothing. */
  recent(): CrashReport | undefined;
  /** Ids of the entries that take work: one of them tries a request after its quarantine. */
  setEntries(entries: readonly string[]): void;
  /** Fires when there is more to keep. */
  readonly onDidChange: Event<void>;
}

/** Crashes under one request from which on it is quarantined. */
const CONVICTING_CRASHES = 3;

/**
 * Crashes within this span may have one other cause, like the loss of a failure
 * domain, and count as one occasion, in milliseconds.
 */
const OCCASION_MS = 1_000;

/** How long crashes are remembered, in milliseconds. */
export const CRASH_MEMORY_MS = 3_600_000;

/**
 * How long a request is quarantined after the last crash, in milliseconds, by
 * the number of occasions: a single one is weak evidence.
 */
const QUARANTINE_MS = [10_000, 60_000, CRASH_MEMORY_MS] as const;

/** Time after which a trial without a result may be repeated, in milliseconds. */
const TRIAL_MS = 10_000;

/** How long what has been kept is told to the other entries, in milliseconds: several digests. */
const TOLD_MS = 1_500;

/** Crashes from which on a suspicion is logged, and a whole answer told to the others. */
const NOTABLE_CRASHES = 2;

/** Most crashes that one entry keeps, and most that it remembers of what others told. */
const MOST_KEPT = 100;
const MOST_HEARD = 1_000;

/** Most requests that a dump shows. */
const MOST_DUMPED = 50;

/** Sources of evidence besides what entries have kept. */
const OWN = 'own';
const HEARD = 'heard';
/** Whole answers that matter to this entry only. */
const LOCAL = 'local';

function keptBy(entry: string): string {
  return `kept by ${entry}`;
}

/**
 * Creates the suspects of one entry.
 *
 * @example
 * suspects.noteClosed({request: fingerprint, endpoint: 'i-1@7'});
 * if (suspects.judge(fingerprint).type === 'quarantined') { return reject(); }
 */
export function createCrashSuspects(options: {
  readonly clock: Clock;
  readonly self: string;
  readonly decisions: DecisionLog;
  /** Wall-clock milliseconds, alike at all entries. */
  wallMs(): number;
}): CrashSuspects {
  const {clock, self, decisions, wallMs} = options;
  const evidence = createCrashEvidence();
  const changed = emitter<void>();
  const quarantined = new Set<string>();
  /** Monotonic milliseconds at which requests were tried. */
  const trials = new Map<string, number>();
  let kept: CrashReport = EMPTY_REPORT;
  let entries: readonly string[] = [self];
  const losses = createCrashLosses({
    clock,
    wallMs,
    // Counts here at once, so that this entry does not send the request on meanwhile.
    onDidSuspect: crash => addOwn({crashes: [crash], served: {}}),
    onDidRefute: dropOwn,
    onDidConfirm: confirm,
  });

  function timesMs(request: string): readonly number[] {
    const from = wallMs() - CRASH_MEMORY_MS;
    return evidence.crashTimesMs(request).filter(at => at >= from);
  }

  function countOf(request: string): number {
    return timesMs(request).length;
  }

  function isTried(request: string): boolean {
    const startedAt = trials.get(request);
    return startedAt !== undefined && clock.now() - startedAt < TRIAL_MS;
  }

  function judge(request: string): Verdict {
    const times = timesMs(request);
    const crashes = times.length;
    if (crashes === 0) {
      return {type: 'clear'};
    }
    if (crashes < CONVICTING_CRASHES) {
      return {type: 'suspected', crashes};
    }
    const remainingMs = times.at(-1)! + quarantineMs(times) - wallMs();
    if (remainingMs > 0) {
      return {type: 'quarantined', crashes, retryAfterMs: remainingMs};
    }
    const [owner] = rendezvousOrder(request, entries);
    return owner === self && !isTried(request)
      ? {type: 'trial', crashes}
      : {type: 'quarantined', crashes, retryAfterMs: TRIAL_MS};
  }

  function logVerdicts(requests: ReadonlySet<string>): void {
    for (const request of requests) {
      const times = timesMs(request);
      const isConvicted = times.length >= CONVICTING_CRASHES;
      if (isConvicted === quarantined.has(request)) {
        continue;
      }
      const figures = {crashes: times.length, occasions: occasionsOf(times)};
      if (isConvicted) {
        quarantined.add(request);
        const why = 'endpoints crashed under it';
        decisions.note('routing', request, 'quarantine', why, figures);
      } else {
        quarantined.delete(request);
        const why = 'it was served, or its crashes are forgotten';
        decisions.note('routing', request, 'end quarantine', why, figures);
      }
    }
  }

  function addOwn(report: CrashReport): void {
    const from = wallMs() - CRASH_MEMORY_MS;
    const merged = mergeReports(evidence.of(OWN), report);
    const {crashes, served} = reportSince(merged, from);
    // A whole answer matters only beside crashes that others tell of.
    const marks = Object.entries(served).filter(([request]) =>
      evidence.has(request),
    );
    const current = {crashes, served: Object.fromEntries(marks)};
    const bounded = boundReport(current, MOST_KEPT, countOf);
    logVerdicts(evidence.put(OWN, bounded));
  }

  /** Notes a whole answer, to be kept and told (`own`) or for this entry alone (`local`). */
  function clear(request: string, source: typeof OWN | typeof LOCAL): void {
    const {crashes, served} = evidence.of(OWN);
    const rest = crashes.filter(crash => crash.request !== request);
    logVerdicts(evidence.put(OWN, {crashes: rest, served}));
    const marks = Object.entries(evidence.of(source).served).filter(([other]) =>
      evidence.has(other),
    );
    marks.push([request, Math.round(wallMs())]);
    const report = {...evidence.of(source), served: Object.fromEntries(marks)};
    logVerdicts(evidence.put(source, report));
  }

  function dropOwn({request, endpoint}: Crash): void {
    const {crashes, served} = evidence.of(OWN);
    const rest = crashes.filter(
      crash => crash.request !== request || crash.endpoint !== endpoint,
    );
    logVerdicts(evidence.put(OWN, {crashes: rest, served}));
  }

  function confirm(crash: Crash): void {
    const {request, endpoint} = crash;
    addOwn({crashes: [crash], served: {}});
    const crashes = countOf(request);
    if (crashes === 0) {
      return;
    }
    trials.delete(request);
    if (crashes >= NOTABLE_CRASHES) {
      const why = 'its endpoint crashed';
      const figures = {endpoint, crashes};
      decisions.note('routing', request, 'suspect', why, figures);
    }
    changed.fire();
  }

  function own(): CrashReport {
    const {crashes, served} = evidence.of(OWN);
    const confirmed = crashes.filter(crash => !losses.isUnconfirmed(crash));
    return {crashes: confirmed, served};
  }

  return {
    ...losses,
    isEmpty: evidence.isEmpty,
    judge,
    beginTrial(request) {
      trials.set(request, clock.now());
      const figures = {crashes: countOf(request)};
      const why = 'its quarantine is over';
      decisions.note('routing', request, 'try once', why, figures);
    },
    noteServed(request) {
      const crashes = countOf(request);
      if (crashes === 0) {
        return;
      }
      trials.delete(request);
      const isTold = crashes >= NOTABLE_CRASHES;
      clear(request, isTold ? OWN : LOCAL);
      if (isTold) {
        changed.fire();
      }
    },
    takeKept: (entry, report) =>
      logVerdicts(evidence.put(keptBy(entry), report)),
    dropKept(entry) {
      const source = entry === self ? OWN : keptBy(entry);
      logVerdicts(evidence.remove(source));
      logVerdicts(evidence.remove(HEARD));
    },
    hear(report) {
      const known = evidence.of(HEARD);
      if (!isNews(known, report)) {
        return;
      }
      const heard = mergeReports(known, report);
      const current = reportSince(heard, wallMs() - CRASH_MEMORY_MS);
      const bounded = boundReport(current, MOST_HEARD, countOf);
      logVerdicts(evidence.put(HEARD, bounded));
    },
    restore: addOwn,
    own,
    noteKept(report) {
      kept = report;
    },
    recent() {
      if (evidence.isEmpty()) {
        return undefined;
      }
      const current = own();
      if (isNews(kept, current)) {
        return current;
      }
      const report = reportSince(current, wallMs() - TOLD_MS);
      const count = report.crashes.length + Object.keys(report.served).length;
      return count > 0 ? report : undefined;
    },
    setEntries(ids) {
      entries = ids;
    },
    onDidChange: changed.event,
    dump: () => ({
      requests: evidence.requests().length,
      sources: evidence.sources().length,
      losses: losses.dump(),
      most: evidence
        .requests()
        .map(request => ({request, ...judge(request)}))
        .sort((a, b) => crashesOf(b) - crashesOf(a))
        .slice(0, MOST_DUMPED),
    }),
  };
}

function crashesOf(verdict: Verdict): number {
  return verdict.type === 'clear' ? 0 : verdict.crashes;
}

/** Number of occasions on which endpoints crashed; times ascend. */
function occasionsOf(timesMs: readonly number[]): number {
  let occasions = 0;
  let startMs = -Infinity;
  for (const atMs of timesMs) {
    if (atMs - startMs >= OCCASION_MS) {
      occasions += 1;
      startMs = atMs;
    }
  }
  return occasions;
}

function quarantineMs(timesMs: readonly number[]): number {
  const index = Math.min(occasionsOf(timesMs), QUARANTINE_MS.length) - 1;
  return QUARANTINE_MS[Math.max(0, index)]!;
}
