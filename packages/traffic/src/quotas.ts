/**
 * Distributed rate limits per customer, enforced without a call per request.
 *
 * A quota allows rate times window plus burst in any window. Entries exchange
 * their cumulative usage, and each enforces the fleet-wide quota on its own and
 * the reported usage. An entry that has reports from only some peers grants a
 * proportional fraction, so that both sides of a partition together stay within
 * the quota.
 */
import type {Clock, Logger} from '@skylarkfield/base';
import type {CustomerConfig, Quota} from './contracts.js';
import {
  createQuotaWindow,
  type QuotaWindow,
  type UsageWeights,
} from './quotaWindow.js';

/** Usage by customer; totals count from the start of the entry's process. */
export type UsageByCustomer = Readonly<Record<string, number>>;

export interface Quotas {
  /** Charges the customer's quota; false when it is exhausted. */
  tryConsume(customer: CustomerConfig, amount: number): boolean;
  /** Refunds a request that has not run. */
  refund(customer: CustomerConfig, amount: number): void;
  /**
   * Returns the Retry-After of a rejected request in milliseconds, staggered
   * behind the retries already announced.
   */
  retryAfterMs(customer: CustomerConfig, amount: number): number;
  /** Returns the usage at this entry, to report to peers. */
  ownUsage(): UsageByCustomer;
  /** Adds the usage of peers since their last report. */
  addPeerUsage(increase: UsageByCustomer): void;
  /**
   * Sets the fraction of peers with a recent report, 0 to 1, and the number of
   * entries. `silentMs` is the time without a report after which a peer no
   * longer counts as reporting.
   */
  setReportingPeers(
    reportingFraction: number,
    entryCount: number,
    silentMs?: number,
  ): void;
  dump(): unknown;
}

interface Account {
  /** Tokens left; negative after an overshoot, until the refill repays it. */
  level: number;
  refilledAt: number;
  readonly window: QuotaWindow;
  /** Allowance per window under the quota last seen. */
  allowance: number;
  /** Latest time announced for a retry, in monotonic milliseconds. */
  latestRetryAt: number;
  /** Time of the last log line on usage, in monotonic milliseconds. */
  loggedAt: number;
}

const SECOND_MS = 1_000;

/** Default quota window, in milliseconds. */
const DEFAULT_WINDOW_MS = 8_000;

/**
 * Lower bound of the time between the last request that a process admits and
 * the first that it admits after a restart, in milliseconds.
 */
const MIN_RESTART_MS = 1_000;

/** Upper bound of Retry-After, in milliseconds. */
const MAX_RETRY_AFTER_MS = 8_000;

/** Fraction of the allowance above which usage is logged. */
const MIN_LOGGED_FRACTION = 0.5;
/** Minimum time between usage log lines of one customer, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Minimum change of the granted fraction that is logged. */
const MIN_LOGGED_CHANGE = 0.05;

/**
 * Creates the quotas of one entry.
 *
 * @example
 * const quotas = createQuotas(clock, 8_000);
 * if (!quotas.tryConsume(customer, 1_540)) { reject(quotas.retryAfterMs(customer, 1_540)); }
 */
export function createQuotas(
  clock: Clock,
  windowMs = DEFAULT_WINDOW_MS,
  log?: Logger,
): Quotas {
  const accounts = new Map<string, Account>();
  const ownUsage: Record<string, number> = {};
  /** Fraction of the quota that this entry may grant. */
  let grantedFraction = 1;
  let weights: UsageWeights = {others: 1, before: 1};
  let loggedFraction = grantedFraction;
  /** Number of peers with a recent report. */
  let reportingPeers = 0;
  const startedAt = clock.now();

  function windowAllowance({perSecond, burst}: Quota): number {
    return (perSecond * windowMs) / SECOND_MS + burst;
  }

  /** Tokens refilled per millisecond; spreads the allowance over the window. */
  function refillPerMs({perSecond, burst}: Quota): number {
    return (perSecond / SECOND_MS + burst / windowMs) * grantedFraction;
  }

  /**
   * Creates an account without knowledge of what was granted before the start.
   * At worst the customer has just overdrawn its burst, so the bucket starts
   * with the refill of one restart and gets no more until both are repaid.
   */
  function createAccount(quota: Quota): Account {
    const now = clock.now();
    const allowance = windowAllowance(quota);
    const refillRate = allowance / windowMs;
    const level = Math.min(quota.burst, refillRate * MIN_RESTART_MS);
    const repaidAt = startedAt + (quota.burst + level) / refillRate;
    return {
      level,
      refilledAt: Math.max(now, repaidAt),
      // Earlier usage is unknown, so all but the burst counts as used.
      window: createQuotaWindow({
        windowMs,
        now,
        initial: allowance - quota.burst,
      }),
      allowance,
      latestRetryAt: 0,
      loggedAt: now,
    };
  }

  function openAccount(name: string, quota: Quota): Account {
    const account = createAccount(quota);
    accounts.set(name, account);
    log?.info(
      {customer: name, part: grantedFraction, ...accountState(account)},
      'quota account opened',
    );
    return account;
  }

  function currentAccount(name: string, quota: Quota): Account {
    const account = accounts.get(name) ?? openAccount(name, quota);
    const now = clock.now();
    const refilledTokens =
      Math.max(0, now - account.refilledAt) * refillPerMs(quota);
    account.level = Math.min(quota.burst, account.level + refilledTokens);
    account.refilledAt = Math.max(now, account.refilledAt);
    const allowance = windowAllowance(quota);
    if (allowance < account.allowance) {
      // Unscaled usage of a higher quota would block the customer for a window.
      account.window.scale(allowance / account.allowance);
    }
    account.allowance = allowance;
    return account;
  }

  function windowUsage({window}: Account): number {
    return window.used(clock.now(), weights);
  }

  function accountState(account: Account) {
    return {
      level: Math.round(account.level),
      used: Math.round(windowUsage(account)),
      allowance: Math.round(account.allowance),
    };
  }

  function recordUsage(name: string, account: Account, amount: number): void {
    account.window.add(clock.now(), 'own', amount);
    account.level -= amount;
    ownUsage[name] = (ownUsage[name] ?? 0) + amount;
  }

  function logUsage(name: string, account: Account): void {
    const now = clock.now();
    const isDue = now - account.loggedAt >= LOG_INTERVAL_MS;
    const limit = account.allowance * grantedFraction * MIN_LOGGED_FRACTION;
    if (log !== undefined && isDue && windowUsage(account) > limit) {
      account.loggedAt = now;
      log.info(
        {
          customer: name,
          part: grantedFraction,
          own: ownUsage[name],
          ...accountState(account),
        },
        'quota in use',
      );
    }
  }

  /** Subtracts the refill of a share that lost peers may also have granted. */
  function undoRefill(refilledMs: number): void {
    for (const account of accounts.values()) {
      account.level -= (account.allowance / windowMs) * refilledMs;
    }
  }

  return {
    tryConsume({name, quota}, amount) {
      if (quota === undefined) {
        return true;
      }
      const account = currentAccount(name, quota);
      logUsage(name, account);
      // If amounts had to fit into the level, large ones would starve.
      const isExhausted =
        account.level <= 0 ||
        windowUsage(account) >= account.allowance * grantedFraction;
      if (isExhausted) {
        return false;
      }
      recordUsage(name, account, amount);
      return true;
    },
    refund({name, quota}, amount) {
      if (quota !== undefined) {
        recordUsage(name, currentAccount(name, quota), -amount);
      }
    },
    retryAfterMs({name, quota}, amount) {
      if (quota === undefined) {
        return 0;
      }
      const account = currentAccount(name, quota);
      const now = clock.now();
      const ratePerMs = refillPerMs(quota);
      const {level, refilledAt} = account;
      const availableInMs = Math.max(
        level > 0 ? 0 : refilledAt - now - level / ratePerMs,
        account.window.msUntilBelow(
          now,
          weights,
          account.allowance * grantedFraction,
        ),
      );
      // Staggered, since requests retried together would be rejected again.
      const availableAt = Math.max(now + availableInMs, account.latestRetryAt);
      account.latestRetryAt = Math.min(
        now + MAX_RETRY_AFTER_MS,
        availableAt + amount / ratePerMs,
      );
      return Math.max(0, availableAt - now);
    },
    ownUsage: () => ownUsage,
    addPeerUsage(increase) {
      for (const [name, amount] of Object.entries(increase)) {
        const account = accounts.get(name);
        if (account !== undefined) {
          account.level -= amount;
          account.window.add(clock.now(), 'others', amount);
        }
      }
    },
    setReportingPeers(reportingFraction, entryCount, silentMs = 0) {
      const peerCount = Math.max(0, entryCount - 1);
      const lostPeers = Math.max(
        0,
        reportingPeers - peerCount * reportingFraction,
      );
      reportingPeers = peerCount * reportingFraction;
      undoRefill((lostPeers / Math.max(1, entryCount)) * silentMs);
      grantedFraction =
        (1 + peerCount * reportingFraction) / Math.max(1, entryCount);
      weights = {others: reportingFraction, before: grantedFraction};
      if (Math.abs(grantedFraction - loggedFraction) >= MIN_LOGGED_CHANGE) {
        loggedFraction = grantedFraction;
        log?.info(
          {
            part: grantedFraction,
            heardFraction: reportingFraction,
            entryCount,
          },
          'granted quota fraction changed',
        );
      }
    },
    dump: () => ({
      part: grantedFraction,
      accounts: Object.fromEntries(
        [...accounts].map(([name, account]) => [name, accountState(account)]),
      ),
    }),
  };
}
