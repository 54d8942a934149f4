/**
 * Quota accounts of all customers at one entry.
 *
 * In any window, a quota allows `perSecond * windowMs / 1000 + burst` units.
 * One entry, the owner of the customer's quota, grants its requests; see
 * `quotaOwners.ts`. All entries keep the account up to date from each other's
 * reports, so that any of them can stand in for the owner. An entry that has
 * reports from only some peers grants a proportional fraction, so that both
 * sides of a partition together stay within the quota.
 */
import type {Clock, Logger} from '@skylarkfield/base';
import type {CustomerConfig, Quota} from './contracts.js';
import {
  createQuotaAccount,
  type AssumedUsage,
  type QuotaAccount,
  type QuotaState,
} from './quotaAccount.js';

/** Usage by customer, in the unit of the customer's quota. */
export type UsageByCustomer = Readonly<Record<string, number>>;

/** Position of an entry that grants although it is not the owner. */
export interface StandInTerms {
  /**
   * For each entry that may grant too, the milliseconds since this entry knew
   * its grants.
   */
  readonly unreportedMs: readonly number[];
  /**
   * Whether all entries may grant at this time, so that each gets an equal
   * fraction of the quota.
   */
  readonly isLastResort: boolean;
}

/** Quotas of all customers at one entry. */
export interface Quotas {
  /** Charges the customer's quota; returns false if the quota is exhausted. */
  tryConsume(
    customer: CustomerConfig,
    amount: number,
    standIn?: StandInTerms,
  ): boolean;
  /**
   * Refunds the amount charged for a request that has not run.
   * `chargedAtMs`: time of the charge in monotonic milliseconds; now if absent.
   */
  refund(customer: CustomerConfig, amount: number, chargedAtMs?: number): void;
  /**
   * Returns the milliseconds after which a rejected request should be retried,
   * staggered behind the retries of requests rejected earlier.
   */
  retryAfterMs(customer: CustomerConfig, amount: number): number;
  /** Returns the milliseconds until a request of the customer may be granted. */
  availableInMs(customer: CustomerConfig): number;
  /** Returns what this entry has granted since its start, to report to peers. */
  totalOwnUsage(): UsageByCustomer;
  /** Adds the increase of usage at peers since their last report. */
  recordPeerUsage(increase: UsageByCustomer): void;
  /**
   * Charges all that the previous owner of the customer's quota may have
   * granted in the time since its last known report; undefined without an
   * account.
   */
  assumeUnreported(
    customer: string,
    unreportedMs: number,
  ): AssumedUsage | undefined;
  /** Replaces assumed usage by what the previous owner has told. */
  correctAssumption(
    customer: string,
    assumed: AssumedUsage,
    amount: number,
  ): void;
  /** Returns what this entry has granted in the last milliseconds. */
  recentOwnUsage(customer: string, spanMs: number): number;
  /**
   * Sets the fraction of peers with a recent report, 0 to 1, and the number of
   * entries including this one. `silentMs` is the time without a report after
   * which a peer no longer counts as reporting.
   */
  setReportingPeers(
    reportingFraction: number,
    entryCount: number,
    silentMs?: number,
  ): void;
  /** Names of the customers that have used a quota since this entry started. */
  customers(): readonly string[];
  /** Returns the state of the customer's account; undefined without a quota. */
  stateOf(customer: CustomerConfig): QuotaState | undefined;
  dump(): unknown;
}

/** Default quota window, in milliseconds. */
const DEFAULT_WINDOW_MS = 8_000;

/**
 * Age up to which a charge is taken out of the usage reported to peers if it is
 * refunded, in milliseconds. Peers do not know the time of the charge: a later
 * refund would lower the usage that they count once the charge has left the
 * window.
 */
const MAX_REPORTED_REFUND_AGE_MS = 250;

/** Fraction of the granted allowance above which usage is logged. */
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
  /** Finds the quota of a customer that peers report usage of. */
  findQuota: (customer: string) => Quota | undefined = () => undefined,
): Quotas {
  const accounts = new Map<string, QuotaAccount>();
  const loggedAtMs = new Map<string, number>();
  const ownUsage: Record<string, number> = {};
  /** Fraction of each quota that this entry may grant, 0 to 1. */
  let grantedFraction = 1;
  let lastLoggedFraction = grantedFraction;
  let entryCount = 1;
  /** Number of peers with a recent report. */
  let reportingPeerCount = 0;
  const startedAtMs = clock.now();

  function openAccount(name: string, quota: Quota): QuotaAccount {
    const account = createQuotaAccount({clock, windowMs, startedAtMs, quota});
    accounts.set(name, account);
    loggedAtMs.set(name, clock.now());
    log?.info(
      {
        customer: name,
        part: grantedFraction,
        ...account.state(grantedFraction),
      },
      'opened quota account for customer',
    );
    return account;
  }

  function accountOf(name: string, quota: Quota): QuotaAccount {
    const account = accounts.get(name) ?? openAccount(name, quota);
    account.refill(quota, grantedFraction);
    return account;
  }

  function addOwnUsage(name: string, amount: number): void {
    ownUsage[name] = (ownUsage[name] ?? 0) + amount;
  }

  function logUsageIfDue(name: string, account: QuotaAccount): void {
    const nowMs = clock.now();
    if (log === undefined || nowMs - loggedAtMs.get(name)! < LOG_INTERVAL_MS) {
      return;
    }
    const state = account.state(grantedFraction);
    const minUsed = state.allowance * grantedFraction * MIN_LOGGED_FRACTION;
    if (state.used <= minUsed) {
      return;
    }
    loggedAtMs.set(name, nowMs);
    log.info(
      {customer: name, part: grantedFraction, own: ownUsage[name], ...state},
      'usage exceeds half of the quota granted at this entry',
    );
  }

  return {
    tryConsume({name, quota}, amount, standIn) {
      if (quota === undefined) {
        return true;
      }
      const account = accountOf(name, quota);
      logUsageIfDue(name, account);
      const isShared = standIn?.isLastResort === true;
      const isGranted = account.tryCharge(amount, {
        fraction: isShared
          ? Math.min(grantedFraction, 1 / entryCount)
          : grantedFraction,
        isShared,
        unreportedMs: standIn?.unreportedMs ?? [],
      });
      if (isGranted) {
        addOwnUsage(name, amount);
      }
      return isGranted;
    },
    refund({name, quota}, amount, chargedAtMs = clock.now()) {
      if (quota === undefined) {
        return;
      }
      accountOf(name, quota).refund(amount, chargedAtMs);
      if (clock.now() - chargedAtMs < MAX_REPORTED_REFUND_AGE_MS) {
        addOwnUsage(name, -amount);
      }
    },
    retryAfterMs({name, quota}, amount) {
      return quota === undefined
        ? 0
        : accountOf(name, quota).retryAfterMs(amount, grantedFraction);
    },
    availableInMs({name, quota}) {
      return quota === undefined
        ? 0
        : accountOf(name, quota).availableInMs(grantedFraction);
    },
    totalOwnUsage: () => ownUsage,
    recordPeerUsage(increase) {
      for (const [name, amount] of Object.entries(increase)) {
        const quota = findQuota(name);
        const account =
          quota === undefined ? accounts.get(name) : accountOf(name, quota);
        account?.recordPeerUsage(amount);
      }
    },
    assumeUnreported(customer, unreportedMs) {
      const account = accounts.get(customer);
      const assumed = account?.assumeUnreported(unreportedMs);
      log?.info(
        {
          customer,
          unreportedMs,
          assumed: assumed?.amount,
          ...account?.state(grantedFraction),
        },
        'took over the quota of a customer',
      );
      return assumed;
    },
    correctAssumption(customer, assumed, amount) {
      const account = accounts.get(customer);
      account?.correctAssumption(assumed, amount);
      log?.info(
        {
          customer,
          assumed: assumed.amount,
          granted: amount,
          ...account?.state(grantedFraction),
        },
        'previous owner of a quota told its usage',
      );
    },
    recentOwnUsage: (customer, spanMs) =>
      accounts.get(customer)?.recentOwnUsage(spanMs) ?? 0,
    setReportingPeers(reportingFraction, newEntryCount, silentMs = 0) {
      const silentPeerCount = entryCount - 1 - reportingPeerCount;
      const previousReportingPeerCount = reportingPeerCount;
      entryCount = Math.max(1, newEntryCount);
      const peerCount = entryCount - 1;
      reportingPeerCount = peerCount * reportingFraction;
      // A peer that leaves is no longer counted; one that joins is not heard
      // yet. Neither is lost.
      const lostPeerCount = Math.max(
        0,
        Math.min(
          previousReportingPeerCount - reportingPeerCount,
          peerCount - reportingPeerCount - silentPeerCount,
        ),
      );
      grantedFraction = (1 + reportingPeerCount) / entryCount;
      if (lostPeerCount > 0) {
        const refilledMs = (lostPeerCount / entryCount) * silentMs;
        accounts.forEach(account => account.recordLostPeers(refilledMs));
      }
      if (Math.abs(grantedFraction - lastLoggedFraction) >= MIN_LOGGED_CHANGE) {
        lastLoggedFraction = grantedFraction;
        log?.info(
          {
            part: grantedFraction,
            heardFraction: reportingFraction,
            entryCount,
          },
          'changed the fraction of quotas that this entry grants',
        );
      }
    },
    customers: () => [...accounts.keys()],
    stateOf: ({name, quota}) =>
      quota && accountOf(name, quota).state(grantedFraction),
    dump: () => ({
      part: grantedFraction,
      accounts: Object.fromEntries(
        [...accounts].map(([name, account]) => [
          name,
          account.state(grantedFraction),
        ]),
      ),
    }),
  };
}
