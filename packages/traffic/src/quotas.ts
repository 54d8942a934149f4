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
  /**
   * Milliseconds after which a refused request of this amount should come back,
   * behind all that were told to come back before it.
   */
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
  /** Until when the quota is spoken for by requests that were told to come back. */
  promisedUntil: number;
}

const SECOND_MS = 1_000;

/**
 * A bucket starts with this part of the burst: a system that was just restarted
 * does not know what the customer used right before.
 */
const INITIAL_PART = 0.7;

/** Nobody is told to come back later than this, in milliseconds: by then a customer's load may be another. */
const LONGEST_WAIT_MS = 8_000;

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
      promisedUntil: 0,
    };
    buckets.set(name, bucket);
    const grown =
      ((now - bucket.filledAt) * quota.perSecond * part) / SECOND_MS;
    bucket.level = Math.min(quota.burst, bucket.level + grown);
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
      // The amount does not count here: a customer at its limit would have only
      // its small requests served, and its large ones never.
      if (bucket.level <= 0) {
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
      const bucket = bucketOf(name, quota);
      const perMs = (quota.perSecond * part) / SECOND_MS;
      const now = clock.now();
      // All that were refused together would come back together, and all but
      // one be refused again.
      const free = Math.max(now - bucket.level / perMs, bucket.promisedUntil);
      bucket.promisedUntil = Math.min(
        now + LONGEST_WAIT_MS,
        free + amount / perMs,
      );
      return Math.max(0, free - now);
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
