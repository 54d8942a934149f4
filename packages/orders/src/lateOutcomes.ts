/** Outcomes of claims in shards that this process does not own, until their owner has them. */
import type {ClaimOutcome} from '@skylarkfield/protocol';

export interface LateOutcome {
  readonly shard: number;
  readonly outcome: ClaimOutcome;
  /** How often it has been passed on. */
  readonly hops: number;
  /** Monotonic milliseconds after which it is dropped. */
  readonly keepUntil: number;
}

export interface LateOutcomes {
  add(late: LateOutcome): void;
  find(id: string, token: string): ClaimOutcome | undefined;
  remove(id: string, token: string): void;
  /** Those of one shard; drops what is too old. */
  ofShard(shard: number, now: number): readonly LateOutcome[];
  /** Shards with outcomes. */
  shards(): readonly number[];
  readonly size: number;
}

const MAX_KEPT = 5_000;

/**
 * Makes an empty set; the oldest is dropped when it is full, and a retry of
 * that order is then told that it may have run.
 *
 * @example
 * late.add({shard: 3, outcome, hops: 0, keepUntil: clock.now() + 60_000});
 */
export function createLateOutcomes(): LateOutcomes {
  const kept = new Map<string, LateOutcome>();

  return {
    add(late) {
      const {id, token} = late.outcome;
      kept.set(nameOf(id, token), late);
      const [oldest] = kept.keys();
      if (kept.size > MAX_KEPT && oldest !== undefined) {
        kept.delete(oldest);
      }
    },
    find: (id, token) => kept.get(nameOf(id, token))?.outcome,
    remove: (id, token) => void kept.delete(nameOf(id, token)),
    ofShard(shard, now) {
      for (const [name, late] of kept) {
        if (late.keepUntil < now) {
          kept.delete(name);
        }
      }
      return [...kept.values()].filter(late => late.shard === shard);
    },
    shards: () => [...new Set([...kept.values()].map(late => late.shard))],
    get size() {
      return kept.size;
    },
  };
}

function nameOf(id: string, token: string): string {
  return `${id}/${token}`;
}
