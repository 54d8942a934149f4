/** Sums of evidence in cells of one route at one load level, candidate beside incumbent. */
import type {EvidenceSum} from '@skylarkfield/protocol';

export type LoadLevel = EvidenceSum['loadLevel'];

/** Sums over requests of one version. */
export interface Sums {
  requests: number;
  errors: number;
  logLatency: number;
  logLatencySquared: number;
}

/** One route at one load level over one window. */
export interface Cell {
  readonly route: string;
  readonly loadLevel: LoadLevel;
  readonly isOrder: boolean;
  readonly candidate: Sums;
  readonly incumbent: Sums;
}

const MIDDLE_LOAD = 0.5;
const HIGH_LOAD = 0.8;

/**
 * The level of a load fraction.
 *
 * @example
 * loadLevelOf(0.9); // 'high'
 */
export function loadLevelOf(loadFraction: number): LoadLevel {
  if (loadFraction >= HIGH_LOAD) {
    return 'high';
  }
  return loadFraction >= MIDDLE_LOAD ? 'middle' : 'low';
}

/**
 * Sums of no request.
 *
 * @example
 * const total = emptySums();
 * addSums(total, sums);
 */
export function emptySums(): Sums {
  return {requests: 0, errors: 0, logLatency: 0, logLatencySquared: 0};
}

/**
 * Adds sums to others in place.
 *
 * @example
 * addSums(total, sums);
 */
export function addSums(to: Sums, from: Readonly<Sums>) {
  to.requests += from.requests;
  to.errors += from.errors;
  to.logLatency += from.logLatency;
  to.logLatencySquared += from.logLatencySquared;
}

/** Collects sums and gives out the cells that can be compared. */
export interface EvidenceWindow {
  add(sums: readonly EvidenceSum[]): void;
  /** Takes the cells that hold enough of both versions; the rest stay for a later window. */
  takeComparable(): Cell[];
  /** Drops what is pending: the shares have changed, and a cell must not mix two shares. */
  clear(): void;
}

/** Fewest incumbent requests beside which a candidate's request says anything. */
const LEAST_INCUMBENT = 4;

/** Routes told apart; the requests of more are summed under one name, so memory is bounded. */
const MOST_ROUTES = 24;
const OTHER_ROUTES = 'other routes';

/**
 * Makes an empty window for a move between two versions.
 *
 * @example
 * const window = createEvidenceWindow('v1', 'v2');
 */
export function createEvidenceWindow(from: string, to: string): EvidenceWindow {
  const cells = new Map<string, Cell>();
  const routes = new Set<string>();

  function routeName(route: string): string {
    if (routes.has(route) || routes.size < MOST_ROUTES) {
      routes.add(route);
      return route;
    }
    return OTHER_ROUTES;
  }

  function cellFor(sum: EvidenceSum): Cell {
    const route = routeName(sum.route);
    const isOrder = sum.isOrder ?? false;
    const id = `${route}\u0000${sum.loadLevel}\u0000${isOrder}`;
    let cell = cells.get(id);
    if (cell === undefined) {
      cell = {
        route,
        loadLevel: sum.loadLevel,
        isOrder,
        candidate: emptySums(),
        incumbent: emptySums(),
      };
      cells.set(id, cell);
    }
    return cell;
  }

  return {
    add(sums) {
      for (const sum of sums) {
        if (sum.version === to) {
          addSums(cellFor(sum).candidate, sum);
        } else if (sum.version === from) {
          addSums(cellFor(sum).incumbent, sum);
        }
      }
    },
    takeComparable() {
      const taken = [...cells].filter(
        ([, {candidate, incumbent}]) =>
          candidate.requests > 0 && incumbent.requests >= LEAST_INCUMBENT,
      );
      for (const [id] of taken) {
        cells.delete(id);
      }
      return taken.map(([, cell]) => cell);
    },
    clear: () => cells.clear(),
  };
}
