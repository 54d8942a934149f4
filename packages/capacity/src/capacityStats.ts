/** Adds and scales the capacity statistics of entries. */
import type {CapacityStats, PaceStats, ServiceStats} from './contracts.js';
import {addStats, scaleStats} from './regression.js';

/**
 * Adds up the statistics of several entries.
 *
 * @example
 * const total = addCapacityStats([model.stats(), ...peers]);
 */
export function addCapacityStats(
  parts: readonly CapacityStats[],
): CapacityStats {
  const names = new Set(parts.flatMap(part => Object.keys(part)));
  return Object.fromEntries(
    [...names].map(name => [
      name,
      addServiceStats(parts.flatMap(part => part[name] ?? [])),
    ]),
  );
}

/**
 * Scales the weight of statistics by a factor.
 *
 * @example
 * const decayed = scaleCapacityStats(stats, 0.5);
 */
export function scaleCapacityStats(
  stats: CapacityStats,
  factor: number,
): CapacityStats {
  return Object.fromEntries(
    Object.entries(stats).map(([name, {prompts, answers, paces}]) => [
      name,
      {
        prompts: scaleStats(prompts, factor),
        answers: scaleStats(answers, factor),
        paces: Object.fromEntries(
          Object.entries(paces).map(([route, pace]) => [
            route,
            scalePace(pace, factor),
          ]),
        ),
      },
    ]),
  );
}

/**
 * Adds two statistics of one route's answers.
 *
 * @example
 * const total = addPaces(own, peers);
 */
export function addPaces(a: PaceStats, b: PaceStats): PaceStats {
  return {
    count: a.count + b.count,
    tokens: a.tokens + b.tokens,
    total: a.total + b.total,
    squares: a.squares + b.squares,
  };
}

/**
 * Scales the weight of the statistics of one route's answers by a factor.
 *
 * @example
 * const decayed = scalePace(pace, 0.5);
 */
export function scalePace(pace: PaceStats, factor: number): PaceStats {
  return {
    count: pace.count * factor,
    tokens: pace.tokens * factor,
    total: pace.total * factor,
    squares: pace.squares * factor,
  };
}

function addServiceStats(parts: readonly ServiceStats[]): ServiceStats {
  const paces: Record<string, PaceStats> = {};
  for (const [route, stats] of parts.flatMap(part =>
    Object.entries(part.paces),
  )) {
    const known = paces[route];
    paces[route] = known ? addPaces(known, stats) : stats;
  }
  return {
    prompts: addStats(
      parts.map(({prompts}) => prompts).filter(({count}) => count > 0),
    ),
    answers: addStats(
      parts.map(({answers}) => answers).filter(({count}) => count > 0),
    ),
    paces,
  };
}
