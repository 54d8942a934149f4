/**
 * Watches a candidate for faults on any route and at any load level.
 *
 * Each scope (everything, each route, each route at each level) has a test for
 * errors and one for slowness. Their values are averaged with weights that sum
 * to at most 1, which is again a valid test: however many routes there are, the
 * chance of a false alarm stays below alpha.
 */
import {
  createVarianceEstimate,
  errorRatio,
  excessRatio,
  latencyExcess,
  type VarianceEstimate,
} from './comparison.js';
import type {Cell} from './evidence.js';
import {
  addLogs,
  createSequentialTest,
  type SequentialTest,
} from './sequentialTest.js';

/** What was found. */
export interface Finding {
  readonly why: string;
  readonly logValue: number;
}

export interface FaultDetector {
  /** Adds the cells of one window; a finding ends the matter. */
  add(cells: readonly Cell[]): Finding | undefined;
  /** Logarithm of the evidence for a fault, for the dump. */
  logValue(): number;
}

export interface FaultDetectorOptions {
  /** Chance of a false alarm over the whole move. */
  readonly alpha: number;
  /** Windows until the deadline, over which the begin of a fault is spread. */
  readonly windows: number;
}

/** Errors up to this factor, and log latency up to this excess, are no fault. */
const TOLERATED_ERROR_FACTOR = 1.15;
const TOLERATED_EXCESS = 0.05;

/** Error factors and excesses of log latency that are looked for. */
const ERROR_FACTORS = [2, 4, 16, 100];
const EXCESSES = [0.25, 0.5, 1, 2];

/** Part of the weight for faults that are there from the start. */
const FIRST_WEIGHT = 0.4;

type ScopeType = 'service' | 'route' | 'level';
const SCOPE_TYPES = 3;

interface Scope {
  readonly name: string;
  readonly logWeight: number;
  readonly errors: SequentialTest;
  readonly slowness: SequentialTest;
  windows: number;
}

/**
 * Makes a detector.
 *
 * @example
 * const detector = createFaultDetector({alpha: 0.002, windows: 3600});
 * const finding = detector.add(window.takeComparable());
 */
export function createFaultDetector(
  options: FaultDetectorOptions,
): FaultDetector {
  const scopes = new Map<string, Scope>();
  const variances = new Map<string, VarianceEstimate>();
  const counts: Record<ScopeType, number> = {service: 0, route: 0, level: 0};
  const windowWeight = (1 - FIRST_WEIGHT) / Math.max(1, options.windows);
  const threshold = Math.log(1 / options.alpha);

  function scopeFor(type: ScopeType, name: string): Scope {
    const id = `${type}\u0000${name}`;
    let scope = scopes.get(id);
    if (scope === undefined) {
      scope = {
        name,
        logWeight: Math.log(weightOf(type, counts[type]++) / 2),
        errors: createSequentialTest(ERROR_FACTORS.length, FIRST_WEIGHT),
        slowness: createSequentialTest(EXCESSES.length, FIRST_WEIGHT),
        windows: 0,
      };
      scopes.set(id, scope);
    }
    return scope;
  }

  function varianceOf(route: string): VarianceEstimate {
    let variance = variances.get(route);
    if (variance === undefined) {
      variance = createVarianceEstimate();
      variances.set(route, variance);
    }
    return variance;
  }

  /** Adds cells to one scope: strata of one window, whose ratios multiply. */
  function addTo(scope: Scope, cells: readonly Cell[]) {
    scope.windows += 1;
    // The weights of all windows together stay below 1, else the test is not valid.
    if (scope.windows <= options.windows) {
      scope.errors.begin(windowWeight);
      scope.slowness.begin(windowWeight);
    }
    scope.errors.add(
      ERROR_FACTORS.map(factor =>
        sum(cells, cell => errorRatio(cell, factor, TOLERATED_ERROR_FACTOR)),
      ),
    );
    const found = cells.flatMap(cell => {
      const excess = latencyExcess(cell, varianceOf(cell.route).value());
      return excess === undefined ? [] : [excess];
    });
    scope.slowness.add(
      EXCESSES.map(worse =>
        sum(found, excess => excessRatio(excess, worse, TOLERATED_EXCESS)),
      ),
    );
  }

  function total(): number {
    let value = -Infinity;
    for (const scope of scopes.values()) {
      value = addLogs(value, scope.logWeight + scope.errors.logValue());
      value = addLogs(value, scope.logWeight + scope.slowness.logValue());
    }
    return value;
  }

  function strongest(): string {
    let best = {why: '', value: -Infinity};
    for (const scope of scopes.values()) {
      for (const [kind, test] of [
        ['more errors', scope.errors],
        ['slower answers', scope.slowness],
      ] as const) {
        const value = scope.logWeight + test.logValue();
        if (value > best.value) {
          best = {why: `${kind} than the incumbent on ${scope.name}`, value};
        }
      }
    }
    return best.why;
  }

  return {
    add(cells) {
      if (cells.length === 0) {
        return undefined;
      }
      addTo(scopeFor('service', 'the whole service'), cells);
      for (const route of new Set(cells.map(cell => cell.route))) {
        const own = cells.filter(cell => cell.route === route);
        addTo(scopeFor('route', route), own);
      }
      for (const cell of cells) {
        const name = `${cell.route} under ${cell.loadLevel} load`;
        addTo(scopeFor('level', name), [cell]);
      }
      for (const cell of cells) {
        varianceOf(cell.route).add(cell.incumbent);
      }
      const logValue = total();
      return logValue >= threshold ? {why: strongest(), logValue} : undefined;
    },
    logValue: total,
  };
}

/** Weights over scopes whose number is not known beforehand; each type's sum is below 1/3. */
function weightOf(type: ScopeType, index: number): number {
  if (type === 'service') {
    return 1 / SCOPE_TYPES;
  }
  return 1 / (SCOPE_TYPES * (index + 1) * (index + 2));
}

function sum<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
