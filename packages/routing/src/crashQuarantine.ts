/**
 * Quarantines requests that crash the endpoints that run them ("queries of
 * death").
 *
 * Every request that a crashed endpoint was running is suspected. After several
 * endpoints crashed under the same request, no entry forwards it until its
 * quarantine ends. A complete response clears a request.
 */
import {
  emitter,
  rendezvousOrder,
  type Clock,
  type DecisionLog,
  type Event,
} from '@skylarkfield/base';
import {
  truncateReport,
  EMPTY_CRASH_REPORT,
  createCrashEvidence,
  hasNewEvidence,
  mergeCrashReports,
  reportSince,
  type Crash,
  type CrashReport,
} from './crashEvidence.js';
import {createCrashDetector, type CrashDetector} from './crashDetector.js';

/** Whether a request may go to an endpoint. */
export type QuarantineVerdict =
  | {readonly type: 'clear'}
  /** Too few endpoints crashed under it to quarantine it. */
  | {readonly type: 'suspected'; readonly crashes: number}
  /** Its quarantine has ended, and this entry may send it once. */
  | {readonly type: 'trial'; readonly crashes: number}
  | {
      readonly type: 'quarantined';
      readonly crashes: number;
      readonly retryAfterMs: number;
    };

export interface CrashQuarantine extends Omit<CrashDetector, 'isUnconfirmed'> {
  /** Whether no crash is known; every verdict is then `clear`. */
  isEmpty(): boolean;
  /** Returns whether the request may be sent. */
  verdictFor(request: string): QuarantineVerdict;
  /** Records that this entry sends the request after its quarantine. */
  beginTrial(request: string): void;
  /** Records a complete response to the request. */
  recordCompleted(request: string): void;
  /** Replaces another entry's stored report. */
  setStoredReport(entry: string, report: CrashReport): void;
  /** Removes the deleted report of an entry, which may be this one. */
  removeStoredReport(entry: string): void;
  /** Merges a report gossiped by another entry, which may not be stored yet. */
  mergeGossip(report: CrashReport): void;
  /** Merges the report that this entry stored before a restart. */
  restoreOwnReport(report: CrashReport): void;
  /** Report of this entry to be stored: confirmed crashes only. */
  reportToStore(): CrashReport;
  /** Records that a report of this entry was stored, where others read it. */
  recordStored(report: CrashReport): void;
  /** New or not yet stored evidence to gossip; undefined for none. */
  reportToGossip(): CrashReport | undefined;
  /** Ids of the serving entries; one of them retries after a quarantine. */
  setEntries(entries: readonly string[]): void;
  /** Fires when the report to be stored changes. */
  readonly onDidChange: Event<void>;
}

/** Crashes under one request from which on it is quarantined. */
const QUARANTINE_CRASHES = 3;

/**
 * Milliseconds in which crashes count as one incident: they may share another
 * cause, such as the loss of a failure domain.
 */
const INCIDENT_MS = 1_000;

/** Lifetime of crash evidence in milliseconds. */
export const CRASH_TTL_MS = 3_600_000;

/**
 * Milliseconds of quarantine after the last crash, by the number of incidents:
 * a single incident is weak evidence.
 */
const QUARANTINE_MS = [10_000, 60_000, CRASH_TTL_MS] as const;

/** Milliseconds after which a trial without a result may be repeated. */
const TRIAL_TIMEOUT_MS = 10_000;

/** Milliseconds for which stored evidence is gossiped, in several digests. */
const GOSSIP_MS = 1_500;

/** Crashes for a suspicion to be logged and a complete response shared. */
const NOTABLE_CRASHES = 2;

/** Maximum number of crashes stored by an entry, and received by gossip. */
const MAX_STORED_CRASHES = 100;
const MAX_GOSSIPED_CRASHES = 1_000;

/** Largest number of requests in a dump. */
const MAX_DUMPED_REQUESTS = 50;

/** Sources of evidence besides the stored reports of entries. */
const OWN_SOURCE = 'own';
const GOSSIP_SOURCE = 'gossip';
/** Source of complete responses that this entry does not share. */
const LOCAL_SOURCE = 'local';

function storedBy(entry: string): string {
  return `stored by ${entry}`;
}

/**
 * Creates the crash quarantine of one entry.
 *
 * @example
 * crashQuarantine.recordConnectionLost({request: fingerprint, endpoint: 'i-1@7'});
 * if (crashQuarantine.verdictFor(fingerprint).type === 'quarantined') { return reject(); }
 */
export function createCrashQuarantine(options: {
  readonly clock: Clock;
  readonly self: string;
  readonly decisions: DecisionLog;
  /** Wall-clock milliseconds, comparable between entries. */
  wallMs(): number;
}): CrashQuarantine {
  const {clock, self, decisions, wallMs} = options;
  const evidence = createCrashEvidence();
  const changed = emitter<void>();
  const quarantined = new Set<string>();
  /** Monotonic milliseconds at which trials began, by request. */
  const trials = new Map<string, number>();
  let storedReport: CrashReport = EMPTY_CRASH_REPORT;
  let entries: readonly string[] = [self];
  const detector = createCrashDetector({
    clock,
    wallMs,
    // Counts before its confirmation, so that this entry does not forward the
    // request meanwhile.
    onDidSuspect: crash => addToOwnReport({crashes: [crash], served: {}}),
    onDidRefute: removeOwnCrash,
    onDidConfirm: confirm,
  });

  function recentCrashTimesMs(request: string): readonly number[] {
    const oldestMs = wallMs() - CRASH_TTL_MS;
    return evidence.crashTimesMs(request).filter(atMs => atMs >= oldestMs);
  }

  function crashCountOf(request: string): number {
    return recentCrashTimesMs(request).length;
  }

  function isTrialRunning(request: string): boolean {
    const startedAt = trials.get(request);
    return (
      startedAt !== undefined && clock.now() - startedAt < TRIAL_TIMEOUT_MS
    );
  }

  function computeVerdict(request: string): QuarantineVerdict {
    const timesMs = recentCrashTimesMs(request);
    const crashes = timesMs.length;
    if (crashes === 0) {
      return {type: 'clear'};
    }
    if (crashes < QUARANTINE_CRASHES) {
      return {type: 'suspected', crashes};
    }
    const remainingMs = timesMs.at(-1)! + quarantineMs(timesMs) - wallMs();
    if (remainingMs > 0) {
      return {type: 'quarantined', crashes, retryAfterMs: remainingMs};
    }
    const [owner] = rendezvousOrder(request, entries);
    return owner === self && !isTrialRunning(request)
      ? {type: 'trial', crashes}
      : {type: 'quarantined', crashes, retryAfterMs: TRIAL_TIMEOUT_MS};
  }

  function logQuarantineChanges(requests: ReadonlySet<string>): void {
    for (const request of requests) {
      const timesMs = recentCrashTimesMs(request);
      const isOverThreshold = timesMs.length >= QUARANTINE_CRASHES;
      if (isOverThreshold === quarantined.has(request)) {
        continue;
      }
      const figures = {
        crashes: timesMs.length,
        occasions: countIncidents(timesMs),
      };
      if (isOverThreshold) {
        quarantined.add(request);
        const why = 'endpoints crashed under it';
        decisions.note('routing', request, 'quarantine', why, figures);
      } else {
        quarantined.delete(request);
        const why = 'it was served, or its crashes have expired';
        decisions.note('routing', request, 'end quarantine', why, figures);
      }
    }
  }

  function addToOwnReport(report: CrashReport): void {
    const oldestMs = wallMs() - CRASH_TTL_MS;
    const merged = mergeCrashReports(evidence.reportOf(OWN_SOURCE), report);
    const {crashes, served} = reportSince(merged, oldestMs);
    // A complete response matters only for a request with known crashes.
    const relevant = Object.entries(served).filter(([request]) =>
      evidence.hasCrashes(request),
    );
    const current = {crashes, served: Object.fromEntries(relevant)};
    const truncated = truncateReport(current, MAX_STORED_CRASHES, crashCountOf);
    logQuarantineChanges(evidence.setReport(OWN_SOURCE, truncated));
  }

  /** Records a complete response: `LOCAL_SOURCE` is not shared. */
  function recordServed(
    request: string,
    source: typeof OWN_SOURCE | typeof LOCAL_SOURCE,
  ): void {
    const {crashes, served} = evidence.reportOf(OWN_SOURCE);
    const remaining = crashes.filter(crash => crash.request !== request);
    logQuarantineChanges(
      evidence.setReport(OWN_SOURCE, {crashes: remaining, served}),
    );
    const relevant = Object.entries(evidence.reportOf(source).served).filter(
      ([other]) => evidence.hasCrashes(other),
    );
    relevant.push([request, Math.round(wallMs())]);
    const report = {
      ...evidence.reportOf(source),
      served: Object.fromEntries(relevant),
    };
    logQuarantineChanges(evidence.setReport(source, report));
  }

  function removeOwnCrash({request, endpoint}: Crash): void {
    const {crashes, served} = evidence.reportOf(OWN_SOURCE);
    const remaining = crashes.filter(
      crash => crash.request !== request || crash.endpoint !== endpoint,
    );
    logQuarantineChanges(
      evidence.setReport(OWN_SOURCE, {crashes: remaining, served}),
    );
  }

  function confirm(crash: Crash): void {
    const {request, endpoint} = crash;
    addToOwnReport({crashes: [crash], served: {}});
    const crashes = crashCountOf(request);
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

  function confirmedOwnReport(): CrashReport {
    const {crashes, served} = evidence.reportOf(OWN_SOURCE);
    const confirmed = crashes.filter(crash => !detector.isUnconfirmed(crash));
    return {crashes: confirmed, served};
  }

  return {
    ...detector,
    isEmpty: evidence.isEmpty,
    verdictFor: computeVerdict,
    beginTrial(request) {
      trials.set(request, clock.now());
      const figures = {crashes: crashCountOf(request)};
      const why = 'its quarantine is over';
      decisions.note('routing', request, 'try once', why, figures);
    },
    recordCompleted(request) {
      const crashes = crashCountOf(request);
      if (crashes === 0) {
        return;
      }
      trials.delete(request);
      const isNotable = crashes >= NOTABLE_CRASHES;
      recordServed(request, isNotable ? OWN_SOURCE : LOCAL_SOURCE);
      if (isNotable) {
        changed.fire();
      }
    },
    setStoredReport: (entry, report) =>
      logQuarantineChanges(evidence.setReport(storedBy(entry), report)),
    removeStoredReport(entry) {
      const source = entry === self ? OWN_SOURCE : storedBy(entry);
      logQuarantineChanges(evidence.removeReport(source));
      logQuarantineChanges(evidence.removeReport(GOSSIP_SOURCE));
    },
    mergeGossip(report) {
      const known = evidence.reportOf(GOSSIP_SOURCE);
      if (!hasNewEvidence(known, report)) {
        return;
      }
      const merged = mergeCrashReports(known, report);
      const current = reportSince(merged, wallMs() - CRASH_TTL_MS);
      const truncated = truncateReport(
        current,
        MAX_GOSSIPED_CRASHES,
        crashCountOf,
      );
      logQuarantineChanges(evidence.setReport(GOSSIP_SOURCE, truncated));
    },
    restoreOwnReport: addToOwnReport,
    reportToStore: confirmedOwnReport,
    recordStored(report) {
      storedReport = report;
    },
    reportToGossip() {
      if (evidence.isEmpty()) {
        return undefined;
      }
      const current = confirmedOwnReport();
      if (hasNewEvidence(storedReport, current)) {
        return current;
      }
      const report = reportSince(current, wallMs() - GOSSIP_MS);
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
      losses: detector.dump(),
      most: evidence
        .requests()
        .map(request => ({request, ...computeVerdict(request)}))
        .sort((a, b) => crashesInVerdict(b) - crashesInVerdict(a))
        .slice(0, MAX_DUMPED_REQUESTS),
    }),
  };
}

function crashesInVerdict(verdict: QuarantineVerdict): number {
  return verdict.type === 'clear' ? 0 : verdict.crashes;
}

/** Counts the incidents among ascending crash times. */
function countIncidents(timesMs: readonly number[]): number {
  let incidents = 0;
  let startMs = -Infinity;
  for (const atMs of timesMs) {
    if (atMs - startMs >= INCIDENT_MS) {
      incidents += 1;
      startMs = atMs;
    }
  }
  return incidents;
}

function quarantineMs(timesMs: readonly number[]): number {
  const index = Math.min(countIncidents(timesMs), QUARANTINE_MS.length) - 1;
  return QUARANTINE_MS[Math.max(0, index)]!;
}
