/** Evidence of which requests crash endpoints, merged from several sources. */

/** An endpoint that crashed while it was running a request. */
export interface Crash {
  /** Fingerprint of the request. */
  readonly request: string;
  readonly endpoint: string;
  /** Wall-clock milliseconds, comparable between entries. */
  readonly atMs: number;
}

/** Crash evidence of one entry, as it is stored and gossiped. */
export interface CrashReport {
  readonly crashes: readonly Crash[];
  /**
   * Wall-clock milliseconds of the last complete response, by request
   * fingerprint.
   */
  readonly served: Readonly<Record<string, number>>;
}

export const EMPTY_CRASH_REPORT: CrashReport = {crashes: [], served: {}};

/** Crash reports by source. Requests are identified by their fingerprints. */
export interface CrashEvidence {
  /** Whether no source reports a crash. */
  isEmpty(): boolean;
  /** Whether any source reports an endpoint that crashed under the request. */
  hasCrashes(request: string): boolean;
  /** Replaces the report of a source; returns the affected requests. */
  setReport(source: string, report: CrashReport): ReadonlySet<string>;
  /** Removes the report of a source; returns the affected requests. */
  removeReport(source: string): ReadonlySet<string>;
  /** Returns the report of a source; empty when the source has none. */
  reportOf(source: string): CrashReport;
  sources(): readonly string[];
  /**
   * Returns the wall-clock milliseconds of crashes under a request since its
   * last complete response, ascending, each crashed endpoint once.
   */
  crashTimesMs(request: string): readonly number[];
  /** Returns the requests under which an endpoint crashed. */
  requests(): readonly string[];
}

/**
 * Creates crash evidence without reports.
 *
 * @example
 * evidence.setReport('own', {crashes: [crash], served: {}});
 * evidence.crashTimesMs(crash.request).length; // 1
 */
export function createCrashEvidence(): CrashEvidence {
  const reportsBySource = new Map<string, CrashReport>();
  /** Sources that report crashes, by request. */
  const sourcesByRequest = new Map<string, Set<string>>();

  function indexCrashes(source: string, {crashes}: CrashReport): void {
    for (const {request} of crashes) {
      const sources = sourcesByRequest.get(request) ?? new Set<string>();
      sourcesByRequest.set(request, sources.add(source));
    }
  }

  function removeReport(source: string): Set<string> {
    const {crashes, served} = reportOf(source);
    for (const {request} of crashes) {
      const sources = sourcesByRequest.get(request);
      sources?.delete(source);
      if (sources?.size === 0) {
        sourcesByRequest.delete(request);
      }
    }
    reportsBySource.delete(source);
    return requestsOf({crashes, served});
  }

  function reportOf(source: string): CrashReport {
    return reportsBySource.get(source) ?? EMPTY_CRASH_REPORT;
  }

  function setReport(source: string, report: CrashReport): Set<string> {
    const affectedRequests = removeReport(source);
    reportsBySource.set(source, report);
    indexCrashes(source, report);
    requestsOf(report).forEach(request => affectedRequests.add(request));
    return affectedRequests;
  }

  function lastServedAtMs(request: string): number {
    const servedTimesMs = [...reportsBySource.values()].map(
      ({served}) => served[request] ?? -Infinity,
    );
    return Math.max(-Infinity, ...servedTimesMs);
  }

  return {
    isEmpty: () => sourcesByRequest.size === 0,
    hasCrashes: request => sourcesByRequest.has(request),
    setReport,
    removeReport,
    reportOf,
    sources: () => [...reportsBySource.keys()],
    crashTimesMs(request) {
      const sources = sourcesByRequest.get(request);
      if (sources === undefined) {
        return [];
      }
      const servedAtMs = lastServedAtMs(request);
      const crashMsByEndpoint = new Map<string, number>();
      for (const source of sources) {
        for (const crash of reportOf(source).crashes) {
          if (crash.request === request && crash.atMs > servedAtMs) {
            const earliestMs =
              crashMsByEndpoint.get(crash.endpoint) ?? Infinity;
            crashMsByEndpoint.set(
              crash.endpoint,
              Math.min(earliestMs, crash.atMs),
            );
          }
        }
      }
      return [...crashMsByEndpoint.values()].sort((a, b) => a - b);
    },
    requests: () => [...sourcesByRequest.keys()],
  };
}

function requestsOf({crashes, served}: CrashReport): Set<string> {
  return new Set([
    ...crashes.map(({request}) => request),
    ...Object.keys(served),
  ]);
}

/**
 * Merges two reports: each crash once, and the last complete response to each
 * request.
 *
 * @example
 * const merged = mergeCrashReports(stored, {crashes: [crash], served: {}});
 */
export function mergeCrashReports(a: CrashReport, b: CrashReport): CrashReport {
  const crashes = new Map<string, Crash>();
  for (const crash of [...a.crashes, ...b.crashes]) {
    const key = crashKey(crash);
    if (!crashes.has(key)) {
      crashes.set(key, crash);
    }
  }
  const served: Record<string, number> = {...a.served};
  for (const [request, atMs] of Object.entries(b.served)) {
    served[request] = Math.max(atMs, served[request] ?? -Infinity);
  }
  return {crashes: [...crashes.values()], served};
}

/**
 * Returns whether a report has a crash or complete response that `knownReport`
 * lacks.
 *
 * @example
 * if (hasNewEvidence(knownReport, report)) {
 *   evidence.setReport(source, mergeCrashReports(knownReport, report));
 * }
 */
export function hasNewEvidence(
  knownReport: CrashReport,
  report: CrashReport,
): boolean {
  const knownCrashKeys = new Set(knownReport.crashes.map(crashKey));
  return (
    report.crashes.some(crash => !knownCrashKeys.has(crashKey(crash))) ||
    Object.entries(report.served).some(
      ([request, atMs]) => atMs > (knownReport.served[request] ?? -Infinity),
    )
  );
}

function crashKey({request, endpoint}: Crash): string {
  return `${request} ${endpoint}`;
}

/**
 * Returns a report with only the crashes and complete responses that occurred
 * at or after a wall-clock time. Complete responses may expire with the
 * crashes, since they only clear crashes.
 *
 * @example
 * const recentReport = filterReportSince(report, nowMs - 10_000);
 */
export function filterReportSince(
  report: CrashReport,
  sinceMs: number,
): CrashReport {
  return {
    crashes: report.crashes.filter(({atMs}) => atMs >= sinceMs),
    served: Object.fromEntries(
      Object.entries(report.served).filter(([, atMs]) => atMs >= sinceMs),
    ),
  };
}

/**
 * Limits the number of crashes in a report. Crashes under the requests with the
 * most crashes are retained, and of one request the latest crashes.
 *
 * @example
 * const truncated = truncateReport(report, 200, crashCountOf);
 */
export function truncateReport(
  report: CrashReport,
  maxCrashes: number,
  crashCountOf: (request: string) => number,
): CrashReport {
  if (report.crashes.length <= maxCrashes) {
    return report;
  }
  const countsByRequest = new Map<string, number>();
  for (const {request} of report.crashes) {
    countsByRequest.set(
      request,
      countsByRequest.get(request) ?? crashCountOf(request),
    );
  }
  const crashes = [...report.crashes]
    .sort(
      (a, b) =>
        countsByRequest.get(b.request)! - countsByRequest.get(a.request)! ||
        b.atMs - a.atMs,
    )
    .slice(0, maxCrashes);
  return {crashes, served: report.served};
}
