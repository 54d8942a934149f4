/** Bounded cache of claim outcomes. */
import type {ClaimOutcome} from '@skylarkfield/protocol';

export interface CachedOutcome {
  readonly shard: number;
  readonly outcome: ClaimOutcome;
  /** Number of times the outcome has been forwarded to another entry. */
  readonly hops: number;
  /** Monotonic milliseconds after which the outcome is dropped. */
  readonly expiresAt: number;
}

export interface OutcomeCache {
  add(cachedOutcome: CachedOutcome): void;
  find(id: string, token: string): ClaimOutcome | undefined;
  remove(id: string, token: string): void;
  /** Drops all expired outcomes and returns the other outcomes of one shard. */
  listByShard(shard: number, nowMs: number): readonly CachedOutcome[];
  /** Indexes of the shards that have outcomes. */
  shardIndexes(): readonly number[];
  readonly size: number;
}

const MAX_OUTCOMES = 5_000;

/**
 * Creates an empty cache. A full cache drops its oldest outcome; a retry of the
 * order that the outcome belongs to gets `may-have-run`.
 *
 * @example
 * outcomes.add({shard: 3, outcome, hops: 0, expiresAt: clock.now() + 60_000});
 */
export function createOutcomeCache(): OutcomeCache {
  const cache = new Map<string, CachedOutcome>();

  return {
    add(cachedOutcome) {
      const {id, token} = cachedOutcome.outcome;
      cache.set(cacheKey(id, token), cachedOutcome);
      const [oldestKey] = cache.keys();
      if (cache.size > MAX_OUTCOMES && oldestKey !== undefined) {
        cache.delete(oldestKey);
      }
    },
    find: (id, token) => cache.get(cacheKey(id, token))?.outcome,
    remove: (id, token) => void cache.delete(cacheKey(id, token)),
    listByShard(shard, nowMs) {
      for (const [key, cachedOutcome] of cache) {
        if (cachedOutcome.expiresAt < nowMs) {
          cache.delete(key);
        }
      }
      return [...cache.values()].filter(cached => cached.shard === shard);
    },
    shardIndexes: () => [
      ...new Set([...cache.values()].map(cached => cached.shard)),
    ],
    get size() {
      return cache.size;
    },
  };
}

function cacheKey(id: string, token: string): string {
  return `${id}/${token}`;
}
