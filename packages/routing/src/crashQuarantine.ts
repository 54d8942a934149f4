/**
 * Quarantines requests that crash the endpoints that run them ("queries of
 * death").
 *
 * Every request that a crashed endpoint was running is suspected. After several
 * endpoints crashed while running the same request, no entry forwards the
 * request until its quarantine ends. A complete response clears the request.
 */
import {
  createEmitter,
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
  filterReportSince,
  type Crash,
  type CrashReport,
} from './crashEvidence.js';
import {createCrashDetector, type CrashDetector} from './crashDetector.js';

/** Whether a request may be forwarded to an endpoint. */
export type QuarantineVerdict =
  | {readonly type: 'clear'}
  /** Too few endpoints crashed under the request to quarantine it. */
  | {readonly type: 'suspected'; readonly crashes: number}
  /** The quarantine has ended, and this entry may forward the request once. */
  | {readonly type: 'trial'; readonly crashes: number}
  | {
      readonly type: 'quarantined';
      readonly crashes: number;
      readonly retryAfterMs: number;
    };

/** Quarantine of one entry. Requests are identified by their fingerprints. */
export interface CrashQuarantine extends Omit<CrashDetector, 'isUnconfirmed'> {
  /** Whether no crash is recorded; every verdict is then `clear`. */
  isEmpty(): boolean;
  /** Returns whether the request may be forwarded. */
  verdictFor(request: string): QuarantineVerdict;
  /** Records that this entry forwards the request after its quarantine. */
  beginTrial(request: string): void;
  /** Records a complete response to the request. */
  recordCompleted(request: string): void;
  /** Replaces another entry's stored report. */
  setStoredReport(entry: string, report: CrashReport): void;
  /**
   * Removes the evidence of an entry (this or another one) whose stored report
   * was deleted, and all gossiped evidence.
   */
  removeStoredReport(entry: string): void;
  /** Merges a report gossiped by another entry, which may not be stored yet. */
  mergeGossip(report: CrashReport): void;
  /** Merges the report that this entry stored before a restart. */
  restoreOwnReport(report: CrashReport): void;
  /** Returns this entry's report to be stored, with confirmed crashes only. */
  reportToStore(): CrashReport;
  /**
   * Records that this entry's report was stored, where other entries read it.
   */
  recordStored(report: CrashReport): void;
  /** Returns recent or not yet stored evidence to gossip; undefined if none. */
  reportToGossip(): CrashReport | undefined;
  /** Sets the ids of the entries, one of which runs the trial of a request. */
  setEntries(entries: readonly string[]): void;
  /** Fires when the report to be stored changes. */
  readonly onDidChange: Event<void>;
}

/** Number of crashes from which on a request is quarantined. */
const QUARANTINE_CRASHES = 3;

/**
 * Milliseconds within which crashes count as one incident: they may have a
 * common cause other than the request, such as the loss of a failure domain.
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

/**
 * Milliseconds for which stored evidence is still gossiped: several digests.
 */
const GOSSIP_MS = 1_500;

/**
 * Number of crashes from which on a suspicion is logged and a complete response
 * is reported to other entries.
 */
const NOTABLE_CRASHES = 2;

/**
 * Maximum crashes in an entry's stored report, and in the gossiped evidence.
 */
const MAX_STORED_CRASHES = 100;
const MAX_GOSSIPED_CRASHES = 1_000;

/** Maximum number of requests in a dump. */
const MAX_DUMPED_REQUESTS = 50;

/** Sources of evidence: this entry, and the gossip of other entries. */
const OWN_SOURCE = 'own';
const GOSSIP_SOURCE = 'gossip';
/** Source of complete responses that are not reported to other entries. */
const LOCAL_SOURCE = 'local';

function storedReportSource(entry: string): string {
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
  /** Returns wall-clock milliseconds, comparable between entries. */
  wallMs(): number;
}): CrashQuarantine {
  const {clock, self, decisions, wallMs} = options;
  const evidence = createCrashEvidence();
  const changeEmitter = createEmitter<void>();
  const quarantinedRequests = new Set<string>();
  /** Start of the last trial in monotonic milliseconds, by request. */
  const trialStartTimes = new Map<string, number>();
  let lastStoredReport: CrashReport = EMPTY_CRASH_REPORT;
  let entries: readonly string[] = [self];
  const detector = createCrashDetector({
    clock,
    wallMs,
    // Counts an unconfirmed crash, so that this entry does not forward the
    // request until the crash is refuted.
    onDidSuspect: crash => addToOwnReport({crashes: [crash], served: {}}),
    onDidRefute: removeOwnCrash,
    onDidConfirm: addConfirmedCrash,
  });

  function recentCrashTimesMs(request: string): readonly number[] {
    const oldestMs = wallMs() - CRASH_TTL_MS;
    return evidence.crashTimesMs(request).filter(atMs => atMs >= oldestMs);
  }

  function crashCountOf(request: string): number {
    return recentCrashTimesMs(request).length;
  }

  function isTrialRunning(request: string): boolean {
    const startedAt = trialStartTimes.get(request);
    return (
      startedAt !== undefined && clock.now() - startedAt < TRIAL_TIMEOUT_MS
    );
  }

  function computeVerdict(request: string): QuarantineVerdict {
    const crashTimesMs = recentCrashTimesMs(request);
    const crashes = crashTimesMs.length;
    if (crashes === 0) {
      return {type: 'clear'};
    }
    if (crashes < QUARANTINE_CRASHES) {
      return {type: 'suspected', crashes};
    }
    const remainingMs =
      crashTimesMs.at(-1)! + quarantineDurationMs(crashTimesMs) - wallMs();
    if (remainingMs > 0) {
      return {type: 'quarantined', crashes, retryAfterMs: remainingMs};
    }
    const [trialEntry] = rendezvousOrder(request, entries);
    return trialEntry === self && !isTrialRunning(request)
      ? {type: 'trial', crashes}
      : {type: 'quarantined', crashes, retryAfterMs: TRIAL_TIMEOUT_MS};
  }

  function updateQuarantinedRequests(requests: ReadonlySet<string>): void {
    for (const request of requests) {
      const crashTimesMs = recentCrashTimesMs(request);
      const hasReachedThreshold = crashTimesMs.length >= QUARANTINE_CRASHES;
      if (hasReachedThreshold === quarantinedRequests.has(request)) {
        continue;
      }
      const figures = {
        crashes: crashTimesMs.length,
        occasions: countIncidents(crashTimesMs),
      };
      if (hasReachedThreshold) {
        quarantinedRequests.add(request);
        const why = 'several endpoints crashed while running it';
        decisions.recordDecision(
          'routing',
          request,
          'quarantine',
          why,
          figures,
        );
      } else {
        quarantinedRequests.delete(request);
        const why =
          'it received a complete response or its crashes have expired';
        decisions.recordDecision(
          'routing',
          request,
          'end quarantine',
          why,
          figures,
        );
      }
    }
  }

  function addToOwnReport(report: CrashReport): void {
    const oldestMs = wallMs() - CRASH_TTL_MS;
    const merged = mergeCrashReports(evidence.reportOf(OWN_SOURCE), report);
    const {crashes, served} = filterReportSince(merged, oldestMs);
    // A complete response matters only for a request with recorded crashes.
    const relevantServed = Object.entries(served).filter(([request]) =>
      evidence.hasCrashes(request),
    );
    const currentReport = {crashes, served: Object.fromEntries(relevantServed)};
    const truncated = truncateReport(
      currentReport,
      MAX_STORED_CRASHES,
      crashCountOf,
    );
    updateQuarantinedRequests(evidence.setReport(OWN_SOURCE, truncated));
  }

  /**
   * Removes this entry's crashes under the request, and adds a complete
   * response to the report of the source.
   */
  function addCompleteResponse(
    request: string,
    source: typeof OWN_SOURCE | typeof LOCAL_SOURCE,
  ): void {
    const {crashes, served} = evidence.reportOf(OWN_SOURCE);
    const remainingCrashes = crashes.filter(crash => crash.request !== request);
    updateQuarantinedRequests(
      evidence.setReport(OWN_SOURCE, {crashes: remainingCrashes, served}),
    );
    const relevantServed = Object.entries(
      evidence.reportOf(source).served,
    ).filter(([servedRequest]) => evidence.hasCrashes(servedRequest));
    relevantServed.push([request, Math.round(wallMs())]);
    const report = {
      ...evidence.reportOf(source),
      served: Object.fromEntries(relevantServed),
    };
    updateQuarantinedRequests(evidence.setReport(source, report));
  }

  function removeOwnCrash({request, endpoint}: Crash): void {
    const {crashes, served} = evidence.reportOf(OWN_SOURCE);
    const remainingCrashes = crashes.filter(
      crash => crash.request !== request || crash.endpoint !== endpoint,
    );
    updateQuarantinedRequests(
      evidence.setReport(OWN_SOURCE, {crashes: remainingCrashes, served}),
    );
  }

  function addConfirmedCrash(crash: Crash): void {
    const {request, endpoint} = crash;
    addToOwnReport({crashes: [crash], served: {}});
    const crashes = crashCountOf(request);
    if (crashes === 0) {
      return;
    }
    trialStartTimes.delete(request);
    if (crashes >= NOTABLE_CRASHES) {
      const why = 'its endpoint crashed while running it';
      const figures = {endpoint, crashes};
      decisions.recordDecision('routing', request, 'suspect', why, figures);
    }
    changeEmitter.fire();
  }

  function confirmedOwnReport(): CrashReport {
    const {crashes, served} = evidence.reportOf(OWN_SOURCE);
    const confirmedCrashes = crashes.filter(
      crash => !detector.isUnconfirmed(crash),
    );
    return {crashes: confirmedCrashes, served};
  }

  return {
    ...detector,
    isEmpty: evidence.isEmpty,
    verdictFor: computeVerdict,
    beginTrial(request) {
      trialStartTimes.set(request, clock.now());
      const figures = {crashes: crashCountOf(request)};
      const why = 'its quarantine has ended';
      decisions.recordDecision('routing', request, 'try once', why, figures);
    },
    recordCompleted(request) {
      const crashes = crashCountOf(request);
      if (crashes === 0) {
        return;
      }
      trialStartTimes.delete(request);
      const isNotable = crashes >= NOTABLE_CRASHES;
      addCompleteResponse(request, isNotable ? OWN_SOURCE : LOCAL_SOURCE);
      if (isNotable) {
        changeEmitter.fire();
      }
    },
    setStoredReport: (entry, report) =>
      updateQuarantinedRequests(
        evidence.setReport(storedReportSource(entry), report),
      ),
    removeStoredReport(entry) {
      const source = entry === self ? OWN_SOURCE : storedReportSource(entry);
      updateQuarantinedRequests(evidence.removeReport(source));
      updateQuarantinedRequests(evidence.removeReport(GOSSIP_SOURCE));
    },
    mergeGossip(report) {
      const gossipedReport = evidence.reportOf(GOSSIP_SOURCE);
      if (!hasNewEvidence(gossipedReport, report)) {
        return;
      }
      const merged = mergeCrashReports(gossipedReport, report);
      const currentReport = filterReportSince(merged, wallMs() - CRASH_TTL_MS);
      const truncated = truncateReport(
        currentReport,
        MAX_GOSSIPED_CRASHES,
        crashCountOf,
      );
      updateQuarantinedRequests(evidence.setReport(GOSSIP_SOURCE, truncated));
    },
    restoreOwnReport: addToOwnReport,
    reportToStore: confirmedOwnReport,
    recordStored(report) {
      lastStoredReport = report;
    },
    reportToGossip() {
      if (evidence.isEmpty()) {
        return undefined;
      }
      const ownReport = confirmedOwnReport();
      if (hasNewEvidence(lastStoredReport, ownReport)) {
        return ownReport;
      }
      const report = filterReportSince(ownReport, wallMs() - GOSSIP_MS);
      const evidenceCount =
        report.crashes.length + Object.keys(report.served).length;
      return evidenceCount > 0 ? report : undefined;
    },
    setEntries(ids) {
      entries = ids;
    },
    onDidChange: changeEmitter.event,
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
function countIncidents(crashTimesMs: readonly number[]): number {
  let incidents = 0;
  let incidentStartMs = -Infinity;
  for (const atMs of crashTimesMs) {
    if (atMs - incidentStartMs >= INCIDENT_MS) {
      incidents += 1;
      incidentStartMs = atMs;
    }
  }
  return incidents;
}

function quarantineDurationMs(crashTimesMs: readonly number[]): number {
  const index =
    Math.min(countIncidents(crashTimesMs), QUARANTINE_MS.length) - 1;
  return QUARANTINE_MS[Math.max(0, index)]!;
}
