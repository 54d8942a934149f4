/**
 * Sources of crash evidence of one entry: what it observed itself, what the
 * other entries store, and what they gossip.
 */
import type {Clock} from '@skylarkfield/base';
import {
  crashKey,
  createCrashEvidence,
  EMPTY_CRASH_REPORT,
  filterReportSince,
  hasNewEvidence,
  mergeCrashReports,
  truncateReport,
  type CountedCrash,
  type Crash,
  type CrashReport,
} from './crashEvidence.js';
import type {CrashGossip} from './crashGossip.js';
import {suspectKindOf} from './crashSuspects.js';
import {createCrashUptimes} from './crashUptimes.js';
import {CRASH_TTL_MS, type CrashHistory} from './crashVerdict.js';

/** Evidence of one entry; changes are reported by suspect. */
export interface CrashSources {
  /** Whether no crash is recorded. */
  isEmpty(): boolean;
  /** Whether a crash under the suspect is recorded. */
  hasCrashes(suspect: string): boolean;
  historyOf(suspect: string): CrashHistory;
  /** Returns the suspects with crashes. */
  suspects(): readonly string[];
  /** Returns the number of sources. */
  sourceCount(): number;
  /** Returns the number of suspects with a reported complete response. */
  servedCount(): number;
  /** Adds own observations. */
  addOwn(report: CrashReport): void;
  /** Removes own crashes that were refuted. */
  removeOwn(crashes: readonly Crash[]): void;
  /**
   * Records a complete response to a request with the suspects; other entries
   * learn only of the shared ones.
   */
  recordServed(served: {
    readonly shared: readonly string[];
    readonly local: readonly string[];
  }): void;
  /** Replaces another entry's stored report. */
  setStored(entry: string, report: CrashReport): void;
  /** Removes the evidence of an entry, and all gossiped evidence. */
  removeStored(entry: string): void;
  mergeGossip(gossip: CrashGossip): void;
  /**
   * Records a response to a request that was sent at `sentAt`, in monotonic
   * milliseconds.
   */
  recordResponse(endpoint: string, sentAt: number): void;
  /** Records data of the response to such a request. */
  recordData(endpoint: string, sentAt: number): void;
  /** Records a loss from which the endpoint may be taken for crashed later. */
  recordPossibleCrash(endpoint: string): void;
  /** Whether an entry had a response that refutes the crash. */
  isRefuted(crash: Crash): boolean;
  /** Returns the own report with confirmed crashes only. */
  ownReport(): CrashReport;
  /** Records the report that was stored, where other entries read it. */
  recordStored(report: CrashReport): void;
  /** Returns recent or not yet stored own evidence; undefined if none. */
  reportToGossip(): CrashGossip | undefined;
}

/** Time for which stored evidence is still gossiped: several digests. */
const GOSSIP_MS = 1_500;

/**
 * Maximum crashes in an entry's stored report, and in the gossiped evidence.
 */
const MAX_STORED_CRASHES = 100;
const MAX_GOSSIPED_CRASHES = 1_000;

/** Sources of evidence: this entry, and the gossip of other entries. */
const OWN_SOURCE = 'own';
const GOSSIP_SOURCE = 'gossip';
/** Source of complete responses that are not reported to other entries. */
const LOCAL_SOURCE = 'local';

function storedReportSource(entry: string): string {
  return `stored by ${entry}`;
}

/**
 * Creates the sources of one entry.
 *
 * @example
 * sources.addOwn({crashes: [crash], served: {}});
 * sources.historyOf(crash.request).crashes.length; // 1
 */
export function createCrashSources(options: {
  readonly clock: Clock;
  readonly self: string;
  /** Returns wall-clock milliseconds, comparable between entries. */
  wallMs(): number;
  /** Whether a response can still refute that this was a crash. */
  isUnconfirmed(crash: Crash): boolean;
  /** Called with the suspects whose evidence has changed. */
  onDidChange(suspects: ReadonlySet<string>): void;
  /** Called when confirmed own crashes are removed, since they are refuted. */
  onDidRefuteOwn(): void;
}): CrashSources {
  const {self, wallMs, onDidChange} = options;
  const evidence = createCrashEvidence();
  const uptimes = createCrashUptimes(options);
  let lastStoredReport: CrashReport = EMPTY_CRASH_REPORT;

  function oldestMs(): number {
    return wallMs() - CRASH_TTL_MS;
  }

  function crashesSinceServed(suspect: string): readonly CountedCrash[] {
    const sinceMs = oldestMs();
    return evidence
      .crashesSinceServed(suspect)
      .filter(({atMs}) => atMs >= sinceMs);
  }

  function setReport(source: string, report: CrashReport): void {
    const hasRefuted = uptimes.recordCrashes(report.crashes);
    setUnrefuted(source, report);
    if (hasRefuted) {
      removeRefuted();
    }
  }

  function setUnrefuted(source: string, report: CrashReport): void {
    onDidChange(evidence.setReport(source, withoutRefuted(report)));
  }

  function withoutRefuted<T extends CrashReport>(report: T): T {
    return report.crashes.some(uptimes.isRefuted)
      ? {
          ...report,
          crashes: report.crashes.filter(crash => !uptimes.isRefuted(crash)),
        }
      : report;
  }

  function removeRefuted(): void {
    const hasRefutedOwn = ownReport().crashes.some(uptimes.isRefuted);
    for (const source of evidence.sources()) {
      const report = evidence.reportOf(source);
      if (report.crashes.some(uptimes.isRefuted)) {
        setUnrefuted(source, report);
      }
    }
    if (hasRefutedOwn) {
      options.onDidRefuteOwn();
    }
  }

  function setBounded(
    source: string,
    report: CrashReport,
    maxCrashes: number,
  ): void {
    const currentReport = filterReportSince(report, oldestMs());
    const countOf = (suspect: string) => crashesSinceServed(suspect).length;
    setReport(source, truncateReport(currentReport, maxCrashes, countOf));
  }

  /** Removes the responses to suspects without crashes, up to a time. */
  function withRelevantServed(
    {crashes, served}: CrashReport,
    untilMs = Infinity,
  ): CrashReport {
    const suspects = new Set(crashes.map(({request}) => request));
    const relevantServed = Object.entries(served).filter(
      ([suspect, atMs]) =>
        atMs >= untilMs ||
        suspects.has(suspect) ||
        evidence.hasCrashes(suspect),
    );
    return {crashes, served: Object.fromEntries(relevantServed)};
  }

  /** Sets a report to which responses to the suspects are added. */
  function addServed(
    source: string,
    report: CrashReport,
    suspects: readonly string[],
  ): void {
    const {crashes, served} = withRelevantServed(report);
    const nowMs = Math.round(wallMs());
    const added = Object.fromEntries(
      suspects.map(suspect => [suspect, nowMs] as const),
    );
    setReport(source, {crashes, served: {...served, ...added}});
  }

  function ownReport(): CrashReport {
    const {crashes, served} = evidence.reportOf(OWN_SOURCE);
    const confirmedCrashes = crashes.filter(
      crash => !options.isUnconfirmed(crash),
    );
    return {crashes: confirmedCrashes, served};
  }

  return {
    isEmpty: evidence.isEmpty,
    hasCrashes: evidence.hasCrashes,
    historyOf: suspect => ({
      suspect,
      crashes: crashesSinceServed(suspect),
      servedAtMs: evidence.servedAtMs(suspect),
    }),
    suspects: evidence.requests,
    sourceCount: () => evidence.sources().length,
    servedCount: evidence.servedCount,
    addOwn(report) {
      const merged = mergeCrashReports(evidence.reportOf(OWN_SOURCE), report);
      setBounded(OWN_SOURCE, withRelevantServed(merged), MAX_STORED_CRASHES);
    },
    removeOwn(refutedCrashes) {
      const refutedKeys = new Set(refutedCrashes.map(crashKey));
      const {crashes, served} = evidence.reportOf(OWN_SOURCE);
      const remainingCrashes = crashes.filter(
        crash => !refutedKeys.has(crashKey(crash)),
      );
      setReport(OWN_SOURCE, {crashes: remainingCrashes, served});
    },
    recordServed({shared, local}) {
      const suspects = new Set([...shared, ...local]);
      const {crashes, served} = evidence.reportOf(OWN_SOURCE);
      const remainingCrashes = crashes.filter(
        ({request}) => !suspects.has(request),
      );
      addServed(OWN_SOURCE, {crashes: remainingCrashes, served}, shared);
      if (local.length > 0) {
        addServed(LOCAL_SOURCE, evidence.reportOf(LOCAL_SOURCE), local);
      }
    },
    setStored: (entry, report) => setReport(storedReportSource(entry), report),
    removeStored(entry) {
      const source = entry === self ? OWN_SOURCE : storedReportSource(entry);
      onDidChange(evidence.removeReport(source));
      onDidChange(evidence.removeReport(GOSSIP_SOURCE));
    },
    mergeGossip({uptimes: reportedUptimes = [], ...gossipedReport}) {
      if (uptimes.add(reportedUptimes)) {
        removeRefuted();
      }
      const report = withoutRefuted(gossipedReport);
      const known = evidence.reportOf(GOSSIP_SOURCE);
      if (hasNewEvidence(known, report)) {
        // The crash that a recent response clears may not be known here yet.
        const merged = withRelevantServed(
          mergeCrashReports(known, report),
          wallMs() - GOSSIP_MS,
        );
        setBounded(GOSSIP_SOURCE, merged, MAX_GOSSIPED_CRASHES);
      }
    },
    recordResponse(endpoint, sentAt) {
      if (uptimes.recordResponse(endpoint, sentAt)) {
        removeRefuted();
      }
    },
    recordData(endpoint, sentAt) {
      if (uptimes.recordData(endpoint, sentAt)) {
        removeRefuted();
      }
    },
    recordPossibleCrash: uptimes.recordPossibleCrash,
    isRefuted: uptimes.isRefuted,
    ownReport,
    recordStored(report) {
      lastStoredReport = report;
    },
    reportToGossip() {
      const ownUptimes = uptimes.recentOwn();
      if (evidence.isEmpty() && ownUptimes.length === 0) {
        return undefined;
      }
      const report = recentReport(
        ownReport(),
        lastStoredReport,
        wallMs() - GOSSIP_MS,
      );
      if (ownUptimes.length > 0) {
        return {...report, uptimes: ownUptimes};
      }
      const isEmptyReport =
        report.crashes.length === 0 && Object.keys(report.served).length === 0;
      return isEmptyReport ? undefined : report;
    },
  };
}

/**
 * Returns the crashes of a report that are recent or not stored, the responses
 * to their suspects, and other responses that are recent or not stored. A
 * response to a prompt part is stored only together with a crash, so it is
 * gossiped while it is recent.
 */
function recentReport(
  {crashes, served}: CrashReport,
  storedReport: CrashReport,
  sinceMs: number,
): CrashReport {
  const storedKeys = new Set(storedReport.crashes.map(crashKey));
  const gossipedCrashes = crashes.filter(
    crash => crash.atMs >= sinceMs || !storedKeys.has(crashKey(crash)),
  );
  const suspects = new Set(gossipedCrashes.map(({request}) => request));
  const isUnstored = (suspect: string, atMs: number) =>
    suspectKindOf(suspect) === 'request' &&
    atMs > (storedReport.served[suspect] ?? -Infinity);
  const gossipedServed = Object.entries(served).filter(
    ([suspect, atMs]) =>
      suspects.has(suspect) || atMs >= sinceMs || isUnstored(suspect, atMs),
  );
  return {crashes: gossipedCrashes, served: Object.fromEntries(gossipedServed)};
}
