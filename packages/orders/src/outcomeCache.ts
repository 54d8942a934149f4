/** Outcomes of claims in shards that this process does not own, until their owner has them. */
import type {ClaimOutcome} from '@skylarkfield/protocol';

export interface CachedOutcome {
  readonly shard: number;
  readonly outcome: ClaimOutcome;
  /** How often it has been passed on. */
  readonly hops: number;
  /** Monotonic milliseconds after which it is dropped. */
  readonly expiresAt: number;
}

export interface OutcomeCache {
  add(late: CachedOutcome): void;
  find(id: string, token: string): ClaimOutcome | undefined;
  remove(id: string, token: string): void;
  /** Those of one shard; drops what is too old. */
  listShard(shard: number, now: number): readonly CachedOutcome[];
  /** Shards with outcomes. */
  shards(): readonly number[];
  readonly size: number;
}

const MAX_OUTCOMES = 5_000;

/**
 * Makes an empty set; the oldest is dropped when it is full, and a retry of
 * that order is then told that it may have run.
 *
 * @example
 * late.add({shard: 3, outcome, hops: 0, keepUntil: clock.now() + 60_000});
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
