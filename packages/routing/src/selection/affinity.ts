/** Prefix affinity: all entries prefer the same endpoints for a prefix. */
import {hash32} from '@skylarkfield/base';

/** Affinity by rank in the rendezvous order; 0 for all further ranks. */
const RANK_AFFINITIES = [1, 0.5, 0.25];

interface RankedEndpoint {
  readonly endpoint: string;
  readonly score: number;
}

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
  const ranked: RankedEndpoint[] = [];
  for (const endpoint of endpoints) {
    insertRanked(ranked, {endpoint, score: hash32(`${key} ${endpoint}`)});
  }
  return new Map(
    ranked.map(({endpoint}, rank) => [endpoint, RANK_AFFINITIES[rank] ?? 0]),
  );
}

/**
 * Inserts an endpoint by descending score and drops the last one if there are
 * more than ranks.
 */
function insertRanked(ranked: RankedEndpoint[], added: RankedEndpoint): void {
  let rank = ranked.length;
  while (rank > 0 && ranked[rank - 1]!.score < added.score) {
    rank -= 1;
  }
  if (rank < RANK_AFFINITIES.length) {
    ranked.splice(rank, 0, added);
    ranked.length = Math.min(ranked.length, RANK_AFFINITIES.length);
  }
}
