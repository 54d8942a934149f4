/**
 * Request statistics of candidate and incumbent, stratified by route and load
 * level.
 */
import type {EvidenceSum} from '@skylarkfield/protocol';

export type LoadLevel = EvidenceSum['loadLevel'];

/** Sums over the requests of one version. */
export interface RequestStats {
  requests: number;
  errors: number;
  logLatency: number;
  logLatencySquared: number;
}

/** Statistics of both versions on one route at one load level in one window. */
export interface Stratum {
  readonly route: string;
  readonly loadLevel: LoadLevel;
  readonly isOrder: boolean;
  readonly candidate: RequestStats;
  readonly incumbent: RequestStats;
}

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
 * const total = emptyStats();
 * addStats(total, stats);
 */
export function emptyStats(): RequestStats {
  return {requests: 0, errors: 0, logLatency: 0, logLatencySquared: 0};
}

/**
 * Adds `from` to `to` in place.
 *
 * @example
 * addStats(total, stats);
 */
export function addStats(to: RequestStats, from: Readonly<RequestStats>) {
  to.requests += from.requests;
  to.errors += from.errors;
  to.logLatency += from.logLatency;
  to.logLatencySquared += from.logLatencySquared;
}

/** Accumulates evidence into strata until both versions can be compared. */
export interface EvidenceWindow {
  add(sums: readonly EvidenceSum[]): void;
  /** Removes and returns the strata with enough requests of both versions. */
  takeComparable(): Stratum[];
  /** Drops all strata; called when the shares change, which would mix them. */
  clear(): void;
}

/** Lower bound of incumbent requests in a comparable stratum. */
const MIN_INCUMBENT_REQUESTS = 4;

/** Bounds memory; further routes are summed under `OTHER_ROUTES`. */
const MAX_ROUTES = 24;
const OTHER_ROUTES = 'other routes';

/**
 * Creates an empty window for a move between two versions.
 *
 * @example
 * const window = createEvidenceWindow('v1', 'v2');
 */
export function createEvidenceWindow(
  incumbentVersion: string,
  candidateVersion: string,
): EvidenceWindow {
  const strata = new Map<string, Stratum>();
  const routes = new Set<string>();

  function boundedRouteName(route: string): string {
    if (routes.has(route) || routes.size < MAX_ROUTES) {
      routes.add(route);
      return route;
    }
    return OTHER_ROUTES;
  }

  function stratumFor(sum: EvidenceSum): Stratum {
    const route = boundedRouteName(sum.route);
    const isOrder = sum.isOrder ?? false;
    const id = `${route}\u0000${sum.loadLevel}\u0000${isOrder}`;
    let stratum = strata.get(id);
    if (stratum === undefined) {
      stratum = {
        route,
        loadLevel: sum.loadLevel,
        isOrder,
        candidate: emptyStats(),
        incumbent: emptyStats(),
      };
      strata.set(id, stratum);
    }
    return stratum;
  }

  return {
    add(sums) {
      for (const sum of sums) {
        if (sum.version === candidateVersion) {
          addStats(stratumFor(sum).candidate, sum);
        } else if (sum.version === incumbentVersion) {
          addStats(stratumFor(sum).incumbent, sum);
        }
      }
    },
    takeComparable() {
      const comparable = [...strata].filter(
        ([, {candidate, incumbent}]) =>
          candidate.requests > 0 &&
          incumbent.requests >= MIN_INCUMBENT_REQUESTS,
      );
      for (const [id] of comparable) {
        strata.delete(id);
      }
      return comparable.map(([, stratum]) => stratum);
    },
    clear: () => strata.clear(),
  };
}
