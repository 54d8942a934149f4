/**
 * Customers' quotas over all entries, without asking anybody on a request's way.
 *
 * A quota allows, in any window, the rate times the window and the burst. Each
 * entry tells the others, several times a second, how much it has let through
 * in all, and keeps one window a customer for the whole system, with what it
 * used itself and what it hears the others have used. An entry that does not
 * hear from others may use only its own part: else two halves of a cut system
 * would each grant the whole quota.
 */
import type {Clock} from '@skylarkfield/base';
import type {KeyedCustomer, Quota} from './contracts.js';
import {
  createQuotaWindow,
  type QuotaWindow,
  type UsageWeights,
} from './quotaWindow.js';

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

interface Account {
  /** Below 0 while entries have granted more than they knew of: the next seconds make up for it. */
  level: number;
  filledAt: number;
  readonly window: QuotaWindow;
  /** What the quota allowed in a window when it was last looked at. */
  allowance: number;
  /** Until when the quota is spoken for by requests that were told to come back. */
  promisedUntil: number;
}

const SECOND_MS = 1_000;

/** Window over which a quota counts where nothing else is set, in milliseconds. */
const DEFAULT_WINDOW_MS = 8_000;

/** Upper bound of the time after which a refused request comes back, in milliseconds. */
const MAX_WAIT_MS = 8_000;

/**
 * Makes the quotas of one entry.
 *
 * @example
 * const quotas = createQuotas(clock, 8_000);
 * if (!quotas.tryTake(customer, 1_540)) { refuse(quotas.waitMs(customer, 1_540)); }
 */
export function createQuotas(
  clock: Clock,
  windowMs = DEFAULT_WINDOW_MS,
): Quotas {
  const accounts = new Map<string, Account>();
  const own: Record<string, number> = {};
  const heardOf = new Map<string, UsedAmounts>();
  /** Part of the quota that this entry may grant with what it hears. */
  let part = 1;
  let weights: UsageWeights = {others: 1, before: 1};

  function allowanceOf({perSecond, burst}: Quota): number {
    return (perSecond * windowMs) / SECOND_MS + burst;
  }

  /** Rate at which a quota that is used all the time gives its whole allowance in each window. */
  function perMs({perSecond, burst}: Quota): number {
    return (perSecond / SECOND_MS + burst / windowMs) * part;
  }

  function openAccount(quota: Quota): Account {
    const now = clock.now();
    const allowance = allowanceOf(quota);
    return {
      level: quota.burst,
      filledAt: now,
      // What the customer used before is not known here: all but the burst counts as used.
      window: createQuotaWindow({
        windowMs,
        now,
        initial: allowance - quota.burst,
      }),
      allowance,
      promisedUntil: 0,
    };
  }

  function accountOf(name: string, quota: Quota): Account {
    const account = accounts.get(name) ?? openAccount(quota);
    accounts.set(name, account);
    const now = clock.now();
    const grown = (now - account.filledAt) * perMs(quota);
    account.level = Math.min(quota.burst, account.level + grown);
    account.filledAt = now;
    const allowance = allowanceOf(quota);
    if (allowance < account.allowance) {
      // What a higher quota allowed would else shut the customer out for a window.
      account.window.scale(allowance / account.allowance);
    }
    account.allowance = allowance;
    return account;
  }

  function usedOf({window}: Account): number {
    return window.used(clock.now(), weights);
  }

  function count(name: string, account: Account, amount: number): void {
    account.window.add(clock.now(), 'own', amount);
    account.level -= amount;
    own[name] = (own[name] ?? 0) + amount;
  }

  return {
    tryTake({name, quota}, amount) {
      if (quota === undefined) {
        return true;
      }
      const account = accountOf(name, quota);
      // The amount does not count here: a customer at its limit would have only
      // its small requests served, and its large ones never.
      const isUsedUp =
        account.level <= 0 || usedOf(account) >= account.allowance * part;
      if (isUsedUp) {
        return false;
      }
      count(name, account, amount);
      return true;
    },
    giveBack({name, quota}, amount) {
      if (quota !== undefined) {
        count(name, accountOf(name, quota), -amount);
      }
    },
    waitMs({name, quota}, amount) {
      if (quota === undefined) {
        return 0;
      }
      const account = accountOf(name, quota);
      const now = clock.now();
      const rate = perMs(quota);
      const freeInMs = Math.max(
        -account.level / rate,
        account.window.msUntilBelow(now, weights, account.allowance * part),
      );
      // All that were refused together would come back together, and all but
      // one be refused again.
      const free = Math.max(now + freeInMs, account.promisedUntil);
      account.promisedUntil = Math.min(now + MAX_WAIT_MS, free + amount / rate);
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
        const account = accounts.get(name);
        if (account !== undefined) {
          const increase = amount - (before[name] ?? 0);
          account.level -= increase;
          account.window.add(clock.now(), 'others', increase);
        }
      }
    },
    setHeard(heardFraction, entryCount) {
      const others = Math.max(0, entryCount - 1);
      part = (1 + others * heardFraction) / Math.max(1, entryCount);
      weights = {others: heardFraction, before: part};
    },
    dump: () => ({
      part,
      accounts: Object.fromEntries(
        [...accounts].map(([name, account]) => [
          name,
          {
            level: Math.round(account.level),
            used: Math.round(usedOf(account)),
            allowance: Math.round(account.allowance),
          },
        ]),
      ),
    }),
  };
}
