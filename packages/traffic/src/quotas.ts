/**
 * Customers' quotas over all entries, without asking anybody on a request's way.
 *
 * Each entry tells the others, several times a second, how much it has let
 * through in all. Every entry keeps one bucket a customer for the whole system
 * and takes from it what it hears the others have used. An entry that does not
 * hear from others may use only its own part: else two halves of a cut system
 * would each grant the whole quota, which operators would see as a customer at
 * twice its limit.
 */
import type {Clock} from '@skylarkfield/base';
import type {KeyedCustomer, Quota} from './contracts.js';

/** Amounts used so far, by customer; only ever grows within one process. */
export type UsedAmounts = Readonly<Record<string, number>>;

export interface Quotas {
  /** Takes from the customer's quota; false when it is used up. */
  tryTake(customer: KeyedCustomer, amount: number): boolean;
  /** Gives back what was taken for a request that certainly did not run. */
  giveBack(customer: KeyedCustomer, amount: number): void;
  /** Milliseconds until the quota holds this amount again. */
  waitMs(customer: KeyedCustomer, amount: number): number;
  /** What this entry has let through, for the others. */
  used(): UsedAmounts;
  /** What another process has let through; `peer` names it with its incarnation. */
  noteUsed(peer: string, used: UsedAmounts): void;
  /** Part of the other entries that were heard lately, 0 to 1, and how many entries there are. */
  setHeard(heardFraction: number, entryCount: number): void;
  dump(): unknown;
}

interface Bucket {
  level: number;
  filledAt: number;
}

const SECOND_MS = 1_000;

/**
 * A bucket starts with this part of the burst: a system that was just restarted
 * does not know what the customer used right before.
 */
const INITIAL_PART = 0.25;

/** A bucket falls no lower than this many bursts, so that one surge does not silence a customer for long. */
const DEEPEST_DEBT = 1;

/**
 * Makes the quotas of one entry.
 *
 * @example
 * const quotas = createQuotas(clock);
 * if (!quotas.tryTake(customer, 1_540)) { refuse(quotas.waitMs(customer, 1_540)); }
 */
export function createQuotas(clock: Clock): Quotas {
  const buckets = new Map<string, Bucket>();
  const own: Record<string, number> = {};
  const heardOf = new Map<string, UsedAmounts>();
  let part = 1;

  function bucketOf(name: string, quota: Quota): Bucket {
    const now = clock.now();
    const bucket = buckets.get(name) ?? {
      level: quota.burst * INITIAL_PART,
      filledAt: now,
    };
    buckets.set(name, bucket);
    const grown = ((now - bucket.filledAt) * quota.perSecond * part) / SECOND_MS;
    bucket.level = Math.min(quota.burst, bucket.level + grown);
    bucket.level = Math.max(-quota.burst * DEEPEST_DEBT, bucket.level);
    bucket.filledAt = now;
    return bucket;
  }

  function count(name: string, amount: number): void {
    own[name] = (own[name] ?? 0) + amount;
  }

  return {
    tryTake({name, quota}, amount) {
      if (quota === undefined) {
        return true;
      }
      const bucket = bucketOf(name, quota);
      // A request larger than the whole burst could never pass otherwise.
      if (bucket.level < Math.min(amount, quota.burst)) {
        return false;
      }
      bucket.level -= amount;
      count(name, amount);
      return true;
    },
    giveBack({name, quota}, amount) {
      if (quota === undefined) {
        return;
      }
      bucketOf(name, quota).level += amount;
      count(name, -amount);
    },
    waitMs({name, quota}, amount) {
      if (quota === undefined) {
        return 0;
      }
      const missing = Math.min(amount, quota.burst) - bucketOf(name, quota).level;
      return Math.max(0, (missing * SECOND_MS) / (quota.perSecond * part));
    },
    used: () => own,
    noteUsed(peer, used) {
      const before = heardOf.get(peer);
      heardOf.set(peer, used);
      if (before === undefined) {
        return;
      }
      for (const [name, amount] of Object.entries(used)) {
        const bucket = buckets.get(name);
        if (bucket !== undefined) {
          bucket.level -= amount - (before[name] ?? 0);
        }
      }
    },
    setHeard(heardFraction, entryCount) {
      const others = Math.max(0, entryCount - 1);
      part = (1 + others * heardFraction) / Math.max(1, entryCount);
    },
    dump: () => ({part, buckets: Object.fromEntries(buckets)}),
  };
}
