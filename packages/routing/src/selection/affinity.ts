/** Prefix affinity: all entries prefer the same endpoints for a prefix. */
import {hash32} from '@skylarkfield/base';

/** Affinity by rank in the rendezvous order; 0 for all further ranks. */
const RANK_AFFINITIES = [1, 0.5, 0.25];

/**
 * Returns the affinities, 0 to 1, of the endpoints that rank highest for a key
 * by rendezvous hashing; other endpoints are absent. The second endpoint has a
 * higher affinity than the third, so that entries that avoid a busy first
 * endpoint choose the same alternative.
 *
 * @example
 * affinitiesFor('9xk2', ['r1', 'r2']).get('r2') ?? 0;
 */
export function affinitiesFor(
  key: string,
  endpoints: readonly string[],
): ReadonlyMap<string, number> {
  const ranked = endpoints
    .map(endpoint => ({endpoint, score: hash32(`${key} ${endpoint}`)}))
    .sort((a, b) => b.score - a.score)
    .slice(0, RANK_AFFINITIES.length);
  return new Map(
    ranked.map(({endpoint}, rank) => [endpoint, RANK_AFFINITIES[rank] ?? 0]),
  );
}
