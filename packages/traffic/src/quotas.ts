/**
 * Distributed rate limits per customer, enforced without a call per request.
 *
 * A quota allows rate times window plus burst in any window. Entries exchange
 * their cumulative usage, and each enforces the fleet-wide quota on its own and
 * the reported usage. An entry that hears only some peers grants a proportional
 * part, so that both sides of a partition together stay within the quota.
 */
import type {Clock, Logger} from '@skylarkfield/base';
import type {KeyedCustomer, Quota} from './contracts.js';
import {
  createQuotaWindow,
  type QuotaWindow,
  type UsageWeights,
} from './quotaWindow.js';

/** Usage by customer; of an entry, since its process started. */
export type UsedAmounts = Readonly<Record<string, number>>;

export interface Quotas {
  /** Charges the customer's quota; false when it is exhausted. */
  tryTake(customer: KeyedCustomer, amount: number): boolean;
  /** Refunds a request that has not run. */
  giveBack(customer: KeyedCustomer, amount: number): void;
  /**
   * Retry-After of a rejected request, in milliseconds, queued behind the
   * retries that were announced before it.
   */
  waitMs(customer: KeyedCustomer, amount: number): number;
  /** Usage at this entry, to report to peers. */
  used(): UsedAmounts;
  /** Takes what peers have used since they last reported. */
  noteIncrease(increase: UsedAmounts): void;
  /**
   * Fraction of the peers heard recently, 0 to 1, and the number of entries.
   * `silentMs` is how long peers have been silent that are no longer heard.
   */
  setHeard(heardFraction: number, entryCount: number, silentMs?: number): void;
  dump(): unknown;
}

interface Account {
  /** Tokens left; negative after an overshoot, which later requests pay back. */
  level: number;
  filledAt: number;
  readonly window: QuotaWindow;
  /** Allowance per window under the quota last seen. */
  allowance: number;
  /** End of the announced retries, in monotonic milliseconds. */
  promisedUntil: number;
  /** Time of the last log line about its usage, in monotonic milliseconds. */
  loggedAt: number;
}

const SECOND_MS = 1_000;

/** Default quota window, in milliseconds. */
const DEFAULT_WINDOW_MS = 8_000;

/** Least time between the last request that a process admits and the first of its successor, in milliseconds. */
const START_MS = 1_000;

/** Upper bound of Retry-After, in milliseconds. */
const MAX_WAIT_MS = 8_000;

/** Fraction of the allowance from which usage is logged, and the least time between two lines. */
const LOGGED_FRACTION = 0.5;
const LOG_EVERY_MS = 1_000;

/** Least change of the granted fraction that is logged. */
const LOGGED_CHANGE = 0.05;

/**
 * Creates the quotas of one entry.
 *
 * @example
 * const quotas = createQuotas(clock, 8_000);
 * if (!quotas.tryTake(customer, 1_540)) { refuse(quotas.waitMs(customer, 1_540)); }
 */
export function createQuotas(
  clock: Clock,
  windowMs = DEFAULT_WINDOW_MS,
  log?: Logger,
): Quotas {
  const accounts = new Map<string, Account>();
  const own: Record<string, number> = {};
  /** Fraction of the quota that this entry may grant. */
  let part = 1;
  let weights: UsageWeights = {others: 1, before: 1};
  let loggedPart = part;
  /** Number of peers heard. */
  let heard = 0;
  const startedAt = clock.now();

  function allowanceOf({perSecond, burst}: Quota): number {
    return (perSecond * windowMs) / SECOND_MS + burst;
  }

  /** Refill rate in tokens per millisecond; spreads the whole allowance over the window. */
  function perMs({perSecond, burst}: Quota): number {
    return (perSecond / SECOND_MS + burst / windowMs) * part;
  }

  /**
   * An entry that starts does not know what was granted before. At worst the
   * customer has just overdrawn its burst, so the bucket starts with what a
   * start takes to refill, and gets nothing more until that is paid back.
   */
  function openAccount(quota: Quota): Account {
    const now = clock.now();
    const allowance = allowanceOf(quota);
    const refill = allowance / windowMs;
    const level = Math.min(quota.burst, refill * START_MS);
    const paidBackAt = startedAt + (quota.burst + level) / refill;
    return {
      level,
      filledAt: Math.max(now, paidBackAt),
      // Earlier usage is unknown, so all but the burst counts as used.
      window: createQuotaWindow({
        windowMs,
        now,
        initial: allowance - quota.burst,
      }),
      allowance,
      promisedUntil: 0,
      loggedAt: now,
    };
  }

  function opened(name: string, quota: Quota): Account {
    const account = openAccount(quota);
    accounts.set(name, account);
    log?.info(
      {customer: name, part, ...stateOf(account)},
      'quota account opened',
    );
    return account;
  }

  function accountOf(name: string, quota: Quota): Account {
    const account = accounts.get(name) ?? opened(name, quota);
    const now = clock.now();
    const grown = Math.max(0, now - account.filledAt) * perMs(quota);
    account.level = Math.min(quota.burst, account.level + grown);
    account.filledAt = Math.max(now, account.filledAt);
    const allowance = allowanceOf(quota);
    if (allowance < account.allowance) {
      // Usage under a higher quota would otherwise block the customer for a window.
      account.window.scale(allowance / account.allowance);
    }
    account.allowance = allowance;
    return account;
  }

  function usedOf({window}: Account): number {
    return window.used(clock.now(), weights);
  }

  function stateOf(account: Account) {
    return {
      level: Math.round(account.level),
      used: Math.round(usedOf(account)),
      allowance: Math.round(account.allowance),
    };
  }

  function count(name: string, account: Account, amount: number): void {
    account.window.add(clock.now(), 'own', amount);
    account.level -= amount;
    own[name] = (own[name] ?? 0) + amount;
  }

  function noteUsage(name: string, account: Account): void {
    const now = clock.now();
    const isDue = now - account.loggedAt >= LOG_EVERY_MS;
    const limit = account.allowance * part * LOGGED_FRACTION;
    if (log !== undefined && isDue && usedOf(account) > limit) {
      account.loggedAt = now;
      log.info(
        {customer: name, part, own: own[name], ...stateOf(account)},
        'quota in use',
      );
    }
  }

  /** Takes back what was granted for lost peers' part while they may have granted it too. */
  function payBack(refilledMs: number): void {
    for (const account of accounts.values()) {
      account.level -= (account.allowance / windowMs) * refilledMs;
    }
  }

  return {
    tryTake({name, quota}, amount) {
      if (quota === undefined) {
        return true;
      }
      const account = accountOf(name, quota);
      noteUsage(name, account);
      // The amount is not compared: at the limit, large requests would starve.
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
      const {level, filledAt} = account;
      const freeInMs = Math.max(
        level > 0 ? 0 : filledAt - now - level / rate,
        account.window.msUntilBelow(now, weights, account.allowance * part),
      );
      // Staggered, since requests that return together would be rejected again.
      const free = Math.max(now + freeInMs, account.promisedUntil);
      account.promisedUntil = Math.min(now + MAX_WAIT_MS, free + amount / rate);
      return Math.max(0, free - now);
    },
    used: () => own,
    noteIncrease(increase) {
      for (const [name, amount] of Object.entries(increase)) {
        const account = accounts.get(name);
        if (account !== undefined) {
          account.level -= amount;
          account.window.add(clock.now(), 'others', amount);
        }
      }
    },
    setHeard(heardFraction, entryCount, silentMs = 0) {
      const others = Math.max(0, entryCount - 1);
      const lost = Math.max(0, heard - others * heardFraction);
      heard = others * heardFraction;
      payBack((lost / Math.max(1, entryCount)) * silentMs);
      part = (1 + others * heardFraction) / Math.max(1, entryCount);
      weights = {others: heardFraction, before: part};
      if (Math.abs(part - loggedPart) >= LOGGED_CHANGE) {
        loggedPart = part;
        log?.info({part, heardFraction, entryCount}, 'quota part changed');
      }
    },
    dump: () => ({
      part,
      accounts: Object.fromEntries(
        [...accounts].map(([name, account]) => [name, stateOf(account)]),
      ),
    }),
  };
}
