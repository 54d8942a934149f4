/** The endpoints that all entries prefer for a prefix of which nothing is known. */
import {hash32} from '@skylarkfield/base';

/** How strongly the first endpoints of the order are favoured. */
const FAVOURS = [1, 0.5, 0.25];

/**
 * How much each endpoint is favoured for a key, by rendezvous hashing: the
 * first one most, and when that is busy the second, so that entries which
 * avoid the first meet again at the same other one.
 *
 * @example
 * favoursFor('9xk2', ['r1', 'r2']).get('r2') ?? 0;
 */
export function favoursFor(
  key: string,
  endpoints: readonly string[],
): ReadonlyMap<string, number> {
  const scored = endpoints
    .map(endpoint => ({endpoint, score: hash32(`${key} ${endpoint}`)}))
    .sort((a, b) => b.score - a.score)
    .slice(0, FAVOURS.length);
  return new Map(
    scored.map(({endpoint}, rank) => [endpoint, FAVOURS[rank] ?? 0]),
  );
}
