/** Quota account of one customer: a token bucket and a sliding window. */
import type {Clock} from '@skylarkfield/base';
import type {Quota} from './contracts.js';
import {createQuotaWindow, type UsageWeights} from './quotaWindow.js';

/** Terms under which an entry grants requests. */
export interface GrantTerms {
  /** Fraction of the quota that this entry may grant, 0 to 1. */
  readonly fraction: number;
  /**
   * Whether the peers that report grant the rest of the quota, instead of
   * granting nothing.
   */
  readonly isShared: boolean;
  /**
   * For each other entry that may grant from the same quota at this time, the
   * milliseconds since this entry knew its grants.
   */
  readonly unreportedMs: readonly number[];
}

/** State of one customer's account. */
export interface QuotaState {
  /** Tokens in the bucket. */
  readonly level: number;
  /** Usage in the window, and what the quota allows in a window. */
  readonly used: number;
  readonly allowance: number;
}

/** Usage that an account charged without a report. */
export interface AssumedUsage {
  readonly amount: number;
  /** Time of the charge, in monotonic milliseconds. */
  readonly atMs: number;
}

export interface QuotaAccount {
  /** Applies the quota in force, and refills the bucket. */
  refill(quota: Quota, fraction: number): void;
  /** Charges the amount; returns false if the quota is exhausted. */
  tryCharge(amount: number, terms: GrantTerms): boolean;
  /** Takes back a charge of this entry. */
  refund(amount: number, chargedAtMs: number): void;
  /** Records what peers have granted since their previous report. */
  recordPeerUsage(amount: number): void;
  /**
   * Charges all that another entry may have granted in a time for which it has
   * not reported.
   */
  assumeUnreported(unreportedMs: number): AssumedUsage;
  /** Replaces assumed usage by what the entry has told. */
  correctAssumption(assumed: AssumedUsage, amount: number): void;
  /** Returns what this entry has granted in the last milliseconds. */
  recentOwnUsage(spanMs: number): number;
  /**
   * Charges the refill of a time in which lost peers may have granted it too.
   * This entry and they count the usage so far in proportion to what each may
   * grant.
   */
  recordLostPeers(refilledMs: number): void;
  /** Returns the milliseconds until the account may grant a request. */
  availableInMs(fraction: number): number;
  /**
   * Returns the milliseconds after which a rejected request should be retried,
   * staggered behind the retries of requests rejected earlier.
   */
  retryAfterMs(amount: number, fraction: number): number;
  state(fraction: number): QuotaState;
}

const SECOND_MS = 1_000;

/**
 * Minimum time between the last request that a process admits and the first
 * request that the restarted process admits, in milliseconds.
 */
const MIN_RESTART_MS = 1_000;

/**
 * Fraction of a quota below which a request must fit into what is left. Above
 * it, one request may exceed the quota, or large requests would starve; only
 * two entries at most can have such a fraction of one quota.
 */
const MIN_OVERSHOOT_FRACTION = 0.5;

/** Upper bound of the time after which to retry, in milliseconds. */
const MAX_RETRY_AFTER_MS = 8_000;

/**
 * Creates the account of a customer at an entry that started at `startedAtMs`.
 *
 * The usage before the start is unknown; at worst the customer had just used
 * its whole burst. So the bucket starts with the refill of `MIN_RESTART_MS`,
 * and its next refill starts after the time in which the burst and this level
 * would be refilled. The rest of the allowance counts as used before the start.
 *
 * @example
 * const account = createQuotaAccount({clock, windowMs: 8_000, startedAtMs, quota});
 * account.refill(quota, 1);
 * const isGranted = account.tryCharge(1_540, {fraction: 1, isShared: false, unreportedMs: []});
 */
export function createQuotaAccount(options: {
  readonly clock: Clock;
  readonly windowMs: number;
  /** Start of the process, in monotonic milliseconds. */
  readonly startedAtMs: number;
  readonly quota: Quota;
}): QuotaAccount {
  const {clock, windowMs, startedAtMs} = options;
  let {burst} = options.quota;
  let allowance = windowAllowance(options.quota);
  const initialTokensPerMs = allowance / windowMs;
  let level = Math.min(burst, initialTokensPerMs * MIN_RESTART_MS);
  /** Time up to which the bucket is refilled, in monotonic milliseconds. */
  let refilledAtMs = startedAtMs + (burst + level) / initialTokensPerMs;
  const window = createQuotaWindow({
    windowMs,
    startMs: startedAtMs,
    initialUsage: allowance - burst,
    allowance,
  });
  /** Latest time at which a caller was told to retry, in monotonic ms. */
  let latestRetryAtMs = 0;

  function windowAllowance(quota: Quota): number {
    return (quota.perSecond * windowMs) / SECOND_MS + quota.burst;
  }

  /** Tokens refilled per millisecond; spreads the allowance over the window. */
  function refillPerMs(fraction: number): number {
    return (allowance / windowMs) * fraction;
  }

  /**
   * Returns the weights of usage. Peers that grant the rest of the quota count
   * their part of the usage themselves.
   */
  function weightsFor(fraction: number, isShared = false): UsageWeights {
    return {others: isShared ? fraction : 1, assumed: fraction};
  }

  /** Returns the most that one entry can grant in a time. */
  function mostGrantedIn(durationMs: number): number {
    return Math.min(allowance, burst + (allowance / windowMs) * durationMs);
  }

  function availableInMs(fraction: number): number {
    const nowMs = clock.now();
    const refillWaitMs =
      level > 0 ? 0 : refilledAtMs - nowMs - level / refillPerMs(fraction);
    return Math.max(
      refillWaitMs,
      window.msUntilBelow(nowMs, weightsFor(fraction), allowance * fraction),
    );
  }

  return {
    refill(quota, fraction) {
      const nowMs = clock.now();
      burst = quota.burst;
      allowance = windowAllowance(quota);
      window.setAllowance(nowMs, allowance);
      const refilledMs = Math.max(0, nowMs - refilledAtMs);
      level = Math.min(burst, level + refilledMs * refillPerMs(fraction));
      refilledAtMs = Math.max(nowMs, refilledAtMs);
    },
    tryCharge(amount, {fraction, isShared, unreportedMs}) {
      const limit = allowance * fraction;
      const unreported = unreportedMs
        .map(mostGrantedIn)
        .reduce((sum, most) => sum + most, 0);
      const weights = weightsFor(fraction, isShared);
      const used =
        window.weightedUsage(clock.now(), weights) + unreported * fraction;
      const mustFit = fraction < MIN_OVERSHOOT_FRACTION;
      if (level <= 0 || used >= limit || (mustFit && used + amount > limit)) {
        return false;
      }
      level -= amount;
      window.recordUsage(clock.now(), 'own', amount);
      return true;
    },
    refund(amount, chargedAtMs) {
      level += amount;
      window.recordUsage(clock.now(), 'own', -amount, chargedAtMs);
    },
    recordPeerUsage(amount) {
      level -= amount;
      window.recordUsage(clock.now(), 'others', amount);
    },
    assumeUnreported(unreportedMs) {
      // Leaves the bucket as it is: an empty one would reject customers that
      // are below their quota, and the window is enough to enforce it.
      const assumed = {
        amount: mostGrantedIn(unreportedMs),
        atMs: clock.now(),
      };
      window.recordUsage(assumed.atMs, 'lost', assumed.amount);
      return assumed;
    },
    correctAssumption(assumed, amount) {
      const change = amount - assumed.amount;
      window.recordUsage(clock.now(), 'lost', change, assumed.atMs);
    },
    recentOwnUsage: spanMs => window.recentOwnUsage(clock.now(), spanMs),
    recordLostPeers(refilledMs) {
      const tokens = (allowance / windowMs) * refilledMs;
      level -= tokens;
      window.markAllAsLost();
      window.recordUsage(clock.now(), 'others', tokens);
    },
    availableInMs,
    retryAfterMs(amount, fraction) {
      const nowMs = clock.now();
      // Staggered, since requests retried at the same time would be rejected.
      const retryAtMs = Math.max(
        nowMs + availableInMs(fraction),
        latestRetryAtMs,
      );
      latestRetryAtMs = Math.min(
        nowMs + MAX_RETRY_AFTER_MS,
        retryAtMs + amount / refillPerMs(fraction),
      );
      return Math.max(0, retryAtMs - nowMs);
    },
    state: fraction => ({
      level: Math.round(level),
      used: Math.round(window.weightedUsage(clock.now(), weightsFor(fraction))),
      allowance: Math.round(allowance),
    }),
  };
}
