/**
 * Request statistics of candidate and incumbent, stratified by route and load
 * level.
 */
import type {EvidenceMeasure, EvidenceSum} from '@skylarkfield/protocol';

export type LoadLevel = EvidenceSum['loadLevel'];

/**
 * Sums over requests of one version; latencies of successful ones only. The
 * statistics of event intervals have streams for requests.
 */
export interface RequestStats {
  requests: number;
  errors: number;
  /** Sum of the natural logarithms of the latencies. */
  logLatency: number;
  /** Sum of the squares of these logarithms. */
  logLatencySquared: number;
}

/** Statistics of both versions on one route at one load level in one window. */
export interface Stratum {
  readonly route: string;
  readonly measure: EvidenceMeasure;
  readonly loadLevel: LoadLevel;
  readonly isOrder: boolean;
  readonly candidate: RequestStats;
  readonly incumbent: RequestStats;
}

/** Load fractions from which the load level is middle or high. */
const MIDDLE_LOAD_FRACTION = 0.5;
const HIGH_LOAD_FRACTION = 0.8;

/**
 * Returns the load level of a load fraction.
 *
 * @example
 * loadLevelOf(0.9); // 'high'
 */
export function loadLevelOf(loadFraction: number): LoadLevel {
  if (loadFraction >= HIGH_LOAD_FRACTION) {
    return 'high';
  }
  return loadFraction >= MIDDLE_LOAD_FRACTION ? 'middle' : 'low';
}

/**
 * Creates statistics of zero requests.
 *
 * @example
 * const total = createEmptyStats();
 * addStats(total, stats);
 */
export function createEmptyStats(): RequestStats {
  return {requests: 0, errors: 0, logLatency: 0, logLatencySquared: 0};
}

/**
 * Adds `addend` to `total` in place.
 *
 * @example
 * addStats(total, stats);
 */
export function addStats(total: RequestStats, addend: Readonly<RequestStats>) {
  total.requests += addend.requests;
  total.errors += addend.errors;
  total.logLatency += addend.logLatency;
  total.logLatencySquared += addend.logLatencySquared;
}

/**
 * Accumulates evidence into strata until a stratum has enough requests to
 * compare both versions.
 */
export interface EvidenceWindow {
  add(sums: readonly EvidenceSum[]): void;
  /** Removes and returns the strata with enough requests of both versions. */
  takeComparableStrata(): Stratum[];
  /**
   * Drops all strata. Called when the traffic shares change, since requests
   * from before and after the change are not comparable.
   */
  clear(): void;
}

/** Minimum number of incumbent requests in a comparable stratum. */
const MIN_INCUMBENT_REQUESTS = 4;

/**
 * Maximum number of routes with separate strata for each measure, to limit
 * memory; further routes are summed under one name.
 */
const MAX_ROUTES = 24;
const OTHER_ROUTES: Readonly<Record<EvidenceMeasure, string>> = {
  requests: 'other routes',
  eventInterval: 'other routes between events',
};

/**
 * Creates an empty window for a move from the incumbent to the candidate
 * version.
 *
 * @example
 * const window = createEvidenceWindow('v1', 'v2');
 */
export function createEvidenceWindow(
  incumbentVersion: string,
  candidateVersion: string,
): EvidenceWindow {
  const strata = new Map<string, Stratum>();
  const routeNames: Readonly<Record<EvidenceMeasure, Set<string>>> = {
    requests: new Set(),
    eventInterval: new Set(),
  };

  function registerRoute(route: string, measure: EvidenceMeasure): string {
    const names = routeNames[measure];
    if (names.has(route) || names.size < MAX_ROUTES) {
      names.add(route);
      return route;
    }
    return OTHER_ROUTES[measure];
  }

  function getOrCreateStratum(sum: EvidenceSum): Stratum {
    const {measure = 'requests', isOrder = false} = sum;
    const route = registerRoute(sum.route, measure);
    const id = [route, sum.loadLevel, isOrder, measure].join('\u0000');
    let stratum = strata.get(id);
    if (stratum === undefined) {
      stratum = {
        route,
        measure,
        loadLevel: sum.loadLevel,
        isOrder,
        candidate: createEmptyStats(),
        incumbent: createEmptyStats(),
      };
      strata.set(id, stratum);
    }
    return stratum;
  }

  return {
    add(sums) {
      for (const sum of sums) {
        if (sum.version === candidateVersion) {
          addStats(getOrCreateStratum(sum).candidate, sum);
        } else if (sum.version === incumbentVersion) {
          addStats(getOrCreateStratum(sum).incumbent, sum);
        }
      }
    },
    takeComparableStrata() {
      const comparableStrata = [...strata].filter(
        ([, {candidate, incumbent}]) =>
          candidate.requests > 0 &&
          incumbent.requests >= MIN_INCUMBENT_REQUESTS,
      );
      for (const [id] of comparableStrata) {
        strata.delete(id);
      }
      return comparableStrata.map(([, stratum]) => stratum);
    },
    clear: () => strata.clear(),
  };
}
