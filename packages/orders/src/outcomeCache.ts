/** Bounded cache of claim outcomes. */
import type {ClaimOutcome} from '@skylarkfield/protocol';

export interface CachedOutcome {
  readonly shard: number;
  readonly outcome: ClaimOutcome;
  /** Number of times the outcome has been forwarded. */
  readonly hops: number;
  /** Monotonic milliseconds after which the outcome is dropped. */
  readonly expiresAt: number;
}

export interface OutcomeCache {
  add(cached: CachedOutcome): void;
  find(id: string, token: string): ClaimOutcome | undefined;
  remove(id: string, token: string): void;
  /** Outcomes of one shard; drops all expired ones first. */
  listShard(shard: number, now: number): readonly CachedOutcome[];
  /** Indexes of the shards that have outcomes. */
  shards(): readonly number[];
  readonly size: number;
}

const MAX_OUTCOMES = 5_000;

/**
 * Creates an empty cache. When full it drops the oldest outcome, and a retry of
 * that order gets `may-have-run`.
 *
 * @example
 * outcomes.add({shard: 3, outcome, hops: 0, expiresAt: clock.now() + 60_000});
 */
export function createOutcomeCache(): OutcomeCache {
  const cache = new Map<string, CachedOutcome>();

  return {
    add(cached) {
      const {id, token} = cached.outcome;
      cache.set(cacheKey(id, token), cached);
      const [oldest] = cache.keys();
      if (cache.size > MAX_OUTCOMES && oldest !== undefined) {
        cache.delete(oldest);
      }
    },
    find: (id, token) => cache.get(cacheKey(id, token))?.outcome,
    remove: (id, token) => void cache.delete(cacheKey(id, token)),
    listShard(shard, now) {
      for (const [key, cached] of cache) {
        if (cached.expiresAt < now) {
          cache.delete(key);
        }
      }
      return [...cache.values()].filter(cached => cached.shard === shard);
    },
    shards: () => [...new Set([...cache.values()].map(cached => cached.shard))],
    get size() {
      return cache.size;
    },
  };
}

function cacheKey(id: string, token: string): string {
  return `${id}/${token}`;
}
