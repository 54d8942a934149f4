/** Adds and scales the capacity statistics of entries. */
import type {CapacityStats, ServiceStats, TokenRateStats} from './contracts.js';
import {addStats, scaleStats} from './regression.js';

/**
 * Adds up the statistics of several entries.
 *
 * @example
 * const total = addCapacityStats([model.stats(), ...peerStats]);
 */
export function addCapacityStats(
  entryStats: readonly CapacityStats[],
): CapacityStats {
  const services = new Set(entryStats.flatMap(stats => Object.keys(stats)));
  return Object.fromEntries(
    [...services].map(service => [
      service,
      addServiceStats(entryStats.flatMap(stats => stats[service] ?? [])),
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
    Object.entries(stats).map(([service, {prompts, answers, paces}]) => [
      service,
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
 * Adds two token rate statistics of one route.
 *
 * @example
 * const total = addTokenRateStats(ownStats, peerStats);
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
 * Scales the weight of a route's token rate statistics by a factor.
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

function addServiceStats(entryStats: readonly ServiceStats[]): ServiceStats {
  const paces: Record<string, TokenRateStats> = {};
  for (const [route, stats] of entryStats.flatMap(serviceStats =>
    Object.entries(serviceStats.paces),
  )) {
    const existing = paces[route];
    paces[route] = existing ? addTokenRateStats(existing, stats) : stats;
  }
  return {
    prompts: addStats(
      entryStats.map(({prompts}) => prompts).filter(({count}) => count > 0),
    ),
    answers: addStats(
      entryStats.map(({answers}) => answers).filter(({count}) => count > 0),
    ),
    paces,
  };
}
