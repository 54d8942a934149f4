/** What is known of the endpoints that crashed under single requests, by where it was learned. */

/** An endpoint that crashed while it was running a request. */
export interface Crash {
  /** Fingerprint of the request. */
  readonly request: string;
  readonly endpoint: string;
  /** Wall-clock milliseconds, alike at all entries. */
  readonly atMs: number;
}

/** What one entry has seen, as it is kept and told. */
export interface CrashReport {
  readonly crashes: readonly Crash[];
  /** Wall-clock milliseconds at which a suspected request was answered whole, by its fingerprint. */
  readonly served: Readonly<Record<string, number>>;
}

export const EMPTY_REPORT: CrashReport = {crashes: [], served: {}};

export interface CrashEvidence {
  isEmpty(): boolean;
  /** Whether any source tells of a crash under the request. */
  has(request: string): boolean;
  /** Puts what a source says in place of what it said before; returns the requests that this touches. */
  put(source: string, report: CrashReport): ReadonlySet<string>;
  remove(source: string): ReadonlySet<string>;
  /** What a source says. */
  of(source: string): CrashReport;
  sources(): readonly string[];
  /** When endpoints crashed under a request since its last whole answer: wall-clock milliseconds, ascending. */
  crashTimesMs(request: string): readonly number[];
  /** All requests under which an endpoint crashed. */
  requests(): readonly string[];
}

/**
 * Creates an empty record.
 *
 * @example
 * evidence.put('own', {crashes: [{request, endpoint, atMs}], served: {}});
 * evidence.crashTimesMs(request).length; // 1
 */
export function createCrashEvidence(): CrashEvidence {
  const reports = new Map<string, CrashReport>();
  /** Sources that tell of crashes under a request. */
  const sourcesOf = new Map<string, Set<string>>();

  function link(source: string, {crashes}: CrashReport): void {
    for (const {request} of crashes) {
      const known = sourcesOf.get(request) ?? new Set<string>();
      sourcesOf.set(request, known.add(source));
    }
  }

  function unlink(source: string): Set<string> {
    const {crashes, served} = of(source);
    for (const {request} of crashes) {
      const known = sourcesOf.get(request);
      known?.delete(source);
      if (known?.size === 0) {
        sourcesOf.delete(request);
      }
    }
    reports.delete(source);
    return requestsOf({crashes, served});
  }

  function of(source: string): CrashReport {
    return reports.get(source) ?? EMPTY_REPORT;
  }

  function put(source: string, report: CrashReport): Set<string> {
    const touched = unlink(source);
    reports.set(source, report);
    link(source, report);
    requestsOf(report).forEach(request => touched.add(request));
    return touched;
  }

  function servedAtMs(request: string): number {
    const times = [...reports.values()].map(
      ({served}) => served[request] ?? -Infinity,
    );
    return Math.max(-Infinity, ...times);
  }

  return {
    isEmpty: () => sourcesOf.size === 0,
    has: request => sourcesOf.has(request),
    put,
    remove: unlink,
    of,
    sources: () => [...reports.keys()],
    crashTimesMs(request) {
      const sources = sourcesOf.get(request);
      if (sources === undefined) {
        return [];
      }
      const servedAt = servedAtMs(request);
      const byEndpoint = new Map<string, number>();
      for (const source of sources) {
        for (const crash of of(source).crashes) {
          if (crash.request === request && crash.atMs > servedAt) {
            const known = byEndpoint.get(crash.endpoint) ?? Infinity;
            byEndpoint.set(crash.endpoint, Math.min(known, crash.atMs));
          }
        }
      }
      return [...byEndpoint.values()].sort((a, b) => a - b);
    },
    requests: () => [...sourcesOf.keys()],
  };
}

function requestsOf({crashes, served}: CrashReport): Set<string> {
  return new Set([
    ...crashes.map(({request}) => request),
    ...Object.keys(served),
  ]);
}

/**
 * What two reports say together: each crash once, and the latest whole answers.
 *
 * @example
 * const all = mergeReports(before, {crashes: [crash], served: {}});
 */
export function mergeReports(a: CrashReport, b: CrashReport): CrashReport {
  const crashes = new Map<string, Crash>();
  for (const crash of [...a.crashes, ...b.crashes]) {
    const key = keyOf(crash);
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
 * Whether a report tells of a crash or a whole answer that another one lacks.
 *
 * @example
 * if (isNews(evidence.of(source), report)) { evidence.put(source, mergeReports(known, report)); }
 */
export function isNews(known: CrashReport, report: CrashReport): boolean {
  const keys = new Set(known.crashes.map(keyOf));
  return (
    report.crashes.some(crash => !keys.has(keyOf(crash))) ||
    Object.entries(report.served).some(
      ([request, atMs]) => atMs > (known.served[request] ?? -Infinity),
    )
  );
}

function keyOf({request, endpoint}: Crash): string {
  return `${request} ${endpoint}`;
}

/**
 * The part of a report that is not older than a time; whole answers matter only
 * beside crashes.
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
 * Bounds a report: of many crashes those under the requests with the most are
 * kept, and among these the latest.
 *
 * @example
 * const kept = boundReport(report, 200, request => evidence.crashTimesMs(request).length);
 */
export function boundReport(
  report: CrashReport,
  most: number,
  countOf: (request: string) => number,
): CrashReport {
  if (report.crashes.length <= most) {
    return report;
  }
  const counts = new Map<string, number>();
  for (const {request} of report.crashes) {
    counts.set(request, counts.get(request) ?? countOf(request));
  }
  const crashes = [...report.crashes]
    .sort(
      (a, b) =>
        counts.get(b.request)! - counts.get(a.request)! || b.atMs - a.atMs,
    )
    .slice(0, most);
  return {crashes, served: report.served};
}
