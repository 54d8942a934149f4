/** Crashes of endpoints by request, merged from several sources. */

/** An endpoint that crashed while it was running a request. */
export interface Crash {
  /** Fingerprint of the request. */
  readonly request: string;
  readonly endpoint: string;
  /** Wall-clock milliseconds, comparable between entries. */
  readonly atMs: number;
}

/** Evidence of one entry, as it is stored and gossiped. */
export interface CrashReport {
  readonly crashes: readonly Crash[];
  /** Wall-clock milliseconds of complete responses, by request fingerprint. */
  readonly served: Readonly<Record<string, number>>;
}

export const EMPTY_CRASH_REPORT: CrashReport = {crashes: [], served: {}};

export interface CrashEvidence {
  isEmpty(): boolean;
  /** Whether any source reports a crash under the request. */
  hasCrashes(request: string): boolean;
  /** Replaces the report of a source; returns the affected requests. */
  setReport(source: string, report: CrashReport): ReadonlySet<string>;
  /** Removes the report of a source; returns the affected requests. */
  removeReport(source: string): ReadonlySet<string>;
  /** Report of a source; empty when it has none. */
  reportOf(source: string): CrashReport;
  sources(): readonly string[];
  /** Wall-clock ms of crashes since the last complete response, ascending. */
  crashTimesMs(request: string): readonly number[];
  /** Requests under which an endpoint crashed. */
  requests(): readonly string[];
}

/**
 * Creates an empty set of evidence.
 *
 * @example
 * evidence.setReport('own', {crashes: [crash], served: {}});
 * evidence.crashTimesMs(crash.request).length; // 1
 */
export function createCrashEvidence(): CrashEvidence {
  const reports = new Map<string, CrashReport>();
  /** Sources that report crashes, by request. */
  const sourcesByRequest = new Map<string, Set<string>>();

  function indexCrashes(source: string, {crashes}: CrashReport): void {
    for (const {request} of crashes) {
      const sources = sourcesByRequest.get(request) ?? new Set<string>();
      sourcesByRequest.set(request, sources.add(source));
    }
  }

  function dropReport(source: string): Set<string> {
    const {crashes, served} = reportOf(source);
    for (const {request} of crashes) {
      const sources = sourcesByRequest.get(request);
      sources?.delete(source);
      if (sources?.size === 0) {
        sourcesByRequest.delete(request);
      }
    }
    reports.delete(source);
    return requestsOf({crashes, served});
  }

  function reportOf(source: string): CrashReport {
    return reports.get(source) ?? EMPTY_CRASH_REPORT;
  }

  function setReport(source: string, report: CrashReport): Set<string> {
    const affected = dropReport(source);
    reports.set(source, report);
    indexCrashes(source, report);
    requestsOf(report).forEach(request => affected.add(request));
    return affected;
  }

  function servedAtMs(request: string): number {
    const times = [...reports.values()].map(
      ({served}) => served[request] ?? -Infinity,
    );
    return Math.max(-Infinity, ...times);
  }

  return {
    isEmpty: () => sourcesByRequest.size === 0,
    hasCrashes: request => sourcesByRequest.has(request),
    setReport,
    removeReport: dropReport,
    reportOf,
    sources: () => [...reports.keys()],
    crashTimesMs(request) {
      const sources = sourcesByRequest.get(request);
      if (sources === undefined) {
        return [];
      }
      const servedAt = servedAtMs(request);
      const byEndpoint = new Map<string, number>();
      for (const source of sources) {
        for (const crash of reportOf(source).crashes) {
          if (crash.request === request && crash.atMs > servedAt) {
            const known = byEndpoint.get(crash.endpoint) ?? Infinity;
            byEndpoint.set(crash.endpoint, Math.min(known, crash.atMs));
          }
        }
      }
      return [...byEndpoint.values()].sort((a, b) => a - b);
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
 * Merges two reports: each crash once, and the latest complete responses.
 *
 * @example
 * const all = mergeCrashReports(before, {crashes: [crash], served: {}});
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
 * Returns whether a report has a crash or complete response that `known` lacks.
 *
 * @example
 * if (hasNewEvidence(known, report)) {
 *   evidence.setReport(source, mergeCrashReports(known, report));
 * }
 */
export function hasNewEvidence(
  known: CrashReport,
  report: CrashReport,
): boolean {
  const keys = new Set(known.crashes.map(crashKey));
  return (
    report.crashes.some(crash => !keys.has(crashKey(crash))) ||
    Object.entries(report.served).some(
      ([request, atMs]) => atMs > (known.served[request] ?? -Infinity),
    )
  );
}

function crashKey({request, endpoint}: Crash): string {
  return `${request} ${endpoint}`;
}

/**
 * Returns the part of a report from a time on. Complete responses may expire
 * too, since they only clear crashes.
 *
 * @example
 * const recent = reportSince(report, nowMs - 10_000);
 */
export function reportSince(report: CrashReport, fromMs: number): CrashReport {
  return {
    crashes: report.crashes.filter(({atMs}) => atMs >= fromMs),
    served: Object.fromEntries(
      Object.entries(report.served).filter(([, atMs]) => atMs >= fromMs),
    ),
  };
}

/**
 * Limits the crashes of a report. Those under the requests with the most
 * crashes are retained, and among these the latest.
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
  const counts = new Map<string, number>();
  for (const {request} of report.crashes) {
    counts.set(request, counts.get(request) ?? crashCountOf(request));
  }
  const crashes = [...report.crashes]
    .sort(
      (a, b) =>
        counts.get(b.request)! - counts.get(a.request)! || b.atMs - a.atMs,
    )
    .slice(0, maxCrashes);
  return {crashes, served: report.served};
}
