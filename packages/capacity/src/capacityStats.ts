/** Adds and scales the capacity statistics of entries. */
import type {CapacityStats, ServiceStats, TokenRateStats} from './contracts.js';
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
          Object.entries(paces).map(([route, rate]) => [
            route,
            scaleTokenRateStats(rate, factor),
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
 * const total = addTokenRateStats(own, peers);
 */
export function addTokenRateStats(
  a: TokenRateStats,
  b: TokenRateStats,
): TokenRateStats {
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
 * const decayed = scaleTokenRateStats(stats, 0.5);
 */
export function scaleTokenRateStats(
  stats: TokenRateStats,
  factor: number,
): TokenRateStats {
  return {
    count: stats.count * factor,
    tokens: stats.tokens * factor,
    total: stats.total * factor,
    squares: stats.squares * factor,
  };
}

function addServiceStats(parts: readonly ServiceStats[]): ServiceStats {
  const paces: Record<string, TokenRateStats> = {};
  for (const [route, stats] of parts.flatMap(part =>
    Object.entries(part.paces),
  )) {
    const known = paces[route];
    paces[route] = known ? addTokenRateStats(known, stats) : stats;
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
