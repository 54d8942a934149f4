/** Evidence of which suspects crash endpoints, merged from several sources. */

/** An endpoint that crashed while it was running a request with the suspect. */
export interface Crash {
  /** The suspect: fingerprint of a request, or key of a part of its prompt. */
  readonly request: string;
  readonly endpoint: string;
  /** Wall-clock milliseconds, comparable between entries. */
  readonly atMs: number;
  /**
   * Weight as evidence against a prompt part, up to 1, the weight if absent: a
   * crash tells less while many requests are lost.
   */
  readonly weight?: number | undefined;
}

/** A crash under one suspect. */
export type CountedCrash = Pick<Crash, 'atMs'> & {readonly weight: number};

/** Crash evidence of one entry, as it is stored and gossiped. */
export interface CrashReport {
  readonly crashes: readonly Crash[];
  /**
   * Wall-clock milliseconds of the last complete response, by suspect. May be
   * before the crashes.
   */
  readonly served: Readonly<Record<string, number>>;
}

export const EMPTY_CRASH_REPORT: CrashReport = {crashes: [], served: {}};

/** Crash reports by source. */
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
   * Returns the crashes under a suspect since its last complete response, in the
   * order of their times, each crashed endpoint once.
   */
  crashesSinceServed(request: string): readonly CountedCrash[];
  /**
   * Returns the wall-clock milliseconds of the last complete response that any
   * source reports; -Infinity if none does.
   */
  servedAtMs(request: string): number;
  /** Returns the number of suspects to which a source reports a response. */
  servedCount(): number;
  /** Returns the suspects under which an endpoint crashed. */
  requests(): readonly string[];
}

/**
 * Creates crash evidence without reports.
 *
 * @example
 * evidence.setReport('own', {crashes: [crash], served: {}});
 * evidence.crashesSinceServed(crash.request).length; // 1
 */
export function createCrashEvidence(): CrashEvidence {
  const reportsBySource = new Map<string, CrashReport>();
  const crashesBySuspect = createSourceIndex<readonly Crash[]>();
  const servedBySuspect = createSourceIndex<number>();

  function reportOf(source: string): CrashReport {
    return reportsBySource.get(source) ?? EMPTY_CRASH_REPORT;
  }

  function setReport(source: string, report: CrashReport): Set<string> {
    const previous = reportOf(source);
    reportsBySource.set(source, report);
    const crashes = groupBySuspect(report.crashes);
    const affected = new Set<string>();
    for (const suspect of suspectsOf(previous, report)) {
      const suspectCrashes = crashes.get(suspect);
      const servedMs = report.served[suspect];
      const hasChanged =
        servedMs !== previous.served[suspect] ||
        !isSameList(suspectCrashes, crashesBySuspect.of(suspect)?.get(source));
      if (hasChanged) {
        crashesBySuspect.set(suspect, source, suspectCrashes);
        servedBySuspect.set(suspect, source, servedMs);
        affected.add(suspect);
      }
    }
    return affected;
  }

  function lastServedAtMs(suspect: string): number {
    const times = servedBySuspect.of(suspect)?.values() ?? [];
    return Math.max(-Infinity, ...times);
  }

  return {
    isEmpty: crashesBySuspect.isEmpty,
    hasCrashes: suspect => crashesBySuspect.of(suspect) !== undefined,
    setReport,
    removeReport(source) {
      const affected = setReport(source, EMPTY_CRASH_REPORT);
      reportsBySource.delete(source);
      return affected;
    },
    reportOf,
    sources: () => [...reportsBySource.keys()],
    crashesSinceServed(suspect) {
      const servedAtMs = lastServedAtMs(suspect);
      const crashByEndpoint = new Map<string, CountedCrash>();
      for (const crashes of crashesBySuspect.of(suspect)?.values() ?? []) {
        for (const crash of crashes) {
          if (crash.atMs > servedAtMs) {
            const {endpoint} = crash;
            const known = crashByEndpoint.get(endpoint);
            crashByEndpoint.set(endpoint, combineCounts(known, crash));
          }
        }
      }
      return [...crashByEndpoint.values()].sort((a, b) => a.atMs - b.atMs);
    },
    servedAtMs: lastServedAtMs,
    servedCount: () => servedBySuspect.suspects().length,
    requests: crashesBySuspect.suspects,
  };
}

/** Counts two reports of one crash as the earlier and the weaker one. */
function combineCounts(
  known: CountedCrash | undefined,
  {atMs, weight = 1}: Crash,
): CountedCrash {
  return {
    atMs: Math.min(known?.atMs ?? Infinity, atMs),
    weight: Math.min(known?.weight ?? Infinity, weight),
  };
}

/** Values by suspect and source. */
interface SourceIndex<T> {
  isEmpty(): boolean;
  suspects(): readonly string[];
  of(suspect: string): ReadonlyMap<string, T> | undefined;
  /** Sets the value of a source; undefined removes it. */
  set(suspect: string, source: string, value: T | undefined): void;
}

function createSourceIndex<T>(): SourceIndex<T> {
  const valuesBySuspect = new Map<string, Map<string, T>>();
  return {
    isEmpty: () => valuesBySuspect.size === 0,
    suspects: () => [...valuesBySuspect.keys()],
    of: suspect => valuesBySuspect.get(suspect),
    set(suspect, source, value) {
      const values = valuesBySuspect.get(suspect) ?? new Map<string, T>();
      if (value === undefined) {
        values.delete(source);
      } else {
        values.set(source, value);
      }
      if (values.size === 0) {
        valuesBySuspect.delete(suspect);
      } else {
        valuesBySuspect.set(suspect, values);
      }
    },
  };
}

function groupBySuspect(
  crashes: readonly Crash[],
): ReadonlyMap<string, readonly Crash[]> {
  const groups = new Map<string, Crash[]>();
  for (const crash of crashes) {
    const group = groups.get(crash.request) ?? [];
    group.push(crash);
    groups.set(crash.request, group);
  }
  return groups;
}

function isSameList<T>(
  a: readonly T[] | undefined,
  b: readonly T[] | undefined,
): boolean {
  return (
    a?.length === b?.length && (a ?? []).every((item, i) => item === b?.[i])
  );
}

function suspectsOf(...reports: readonly CrashReport[]): Set<string> {
  const suspects = new Set<string>();
  for (const {crashes, served} of reports) {
    crashes.forEach(({request}) => suspects.add(request));
    Object.keys(served).forEach(suspect => suspects.add(suspect));
  }
  return suspects;
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

/**
 * Returns a text that differs between crashes.
 *
 * @example
 * const knownKeys = new Set(report.crashes.map(crashKey));
 */
export function crashKey({request, endpoint}: Crash): string {
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
