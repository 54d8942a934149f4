/**
 * Limits the requests to endpoints that are warming up, over all entries
 * together.
 *
 * An endpoint that has just started crashes when it receives many requests, and
 * an idle endpoint is the first choice of every entry. So only a few entries
 * send requests to it, the first in its rendezvous order, at a low rate each.
 * No agreement is needed, and the bound holds for entries that are cut off from
 * each other: the shares use half of the bound, so it also holds if two halves
 * of the fleet choose different entries.
 */
import {
  rendezvousOrder,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {EndpointLimits} from '../limits/endpointLimits.js';

/** Warm-up of a service's endpoints. */
export interface WarmUpConfig {
  /** Duration of the warm-up after a start, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second that a warming endpoint tolerates. */
  readonly requestsPerSecond: number;
}

/**
 * Bound of the requests that a warming endpoint receives in any second:
 * `factor` times the tolerated rate, plus `slack` requests.
 */
export interface WarmUpBound {
  readonly factor: number;
  readonly slack: number;
}

export interface WarmUps extends EndpointLimits {
  /** Sets the ids of all known entries, including this one. */
  setEntries(entries: readonly string[]): void;
  /** Records that an endpoint is warming up for at least `remainingMs`. */
  recordWarmUp(endpoint: string, remainingMs: number): void;
  /**
   * Records that no connection to the endpoint could be opened: its process may
   * be restarting, and the registration of the new process arrives later.
   */
  recordUnreachable(endpoint: string): void;
  /** Records that the endpoint sent a response. */
  recordResponse(endpoint: string): void;
  /** Drops the state of endpoints that are not in the collection. */
  retainEndpoints(endpoints: {has(endpoint: string): boolean}): void;
  dump(): unknown;
}

interface EndpointState {
  /** End of the warm-up, in monotonic milliseconds. */
  warmUntil: number;
  /** Whether the last attempt could not reach the endpoint. */
  isUnreachable: boolean;
  /** Requests that may be sent now, as a fraction. */
  level: number;
  refilledAt: number;
  sentAt: number;
}

const SECOND_MS = 1_000;

/**
 * Number of disjoint groups of entries for which the bound holds together: the
 * two sides of a network partition.
 */
const DISJOINT_GROUPS = 2;

/**
 * Fraction of one group's part of the bound that is granted as a steady rate.
 * The rest covers one request that each share may send at once.
 */
const STEADY_FRACTION = 0.75;

/** Steady rate of all shares as a fraction of the tolerated rate. */
const MAX_TOLERATED_FRACTION = 2 / 3;

/**
 * Time for which an entry that is no longer listed keeps its share, in
 * milliseconds: entries detect its loss at different times, and one that is
 * cut off still sends requests.
 */
const LOST_ENTRY_TTL_MS = 30_000;

/**
 * Time after the start of this entry and after the last new entry during which
 * no shares are used, in milliseconds: lists of entries still differ.
 */
const START_SETTLE_MS = 3_000;
const JOIN_SETTLE_MS = 2_000;

/**
 * Interval at which an entry without a share probes an unreachable endpoint, in
 * milliseconds. The registration of a restarted process arrives sooner.
 */
const PROBE_INTERVAL_MS = 5_000;

/**
 * Returns how many entries share the requests to one warming endpoint, and the
 * rate of each in requests per second. Each entry may send one request at once.
 *
 * @example
 * shareRates({durationMs: 3_000, requestsPerSecond: 18},
 *   {factor: 1.5, slack: 5}, 58); // {entryCount: 4, perSecond: 3}
 */
export function shareRates(
  {requestsPerSecond}: WarmUpConfig,
  {factor, slack}: WarmUpBound,
  knownEntryCount: number,
): {readonly entryCount: number; readonly perSecond: number} {
  const groupBound = (requestsPerSecond * factor + slack) / DISJOINT_GROUPS;
  const steadyRate = Math.min(
    groupBound * STEADY_FRACTION,
    requestsPerSecond * MAX_TOLERATED_FRACTION,
  );
  const maxEntryCount = Math.max(1, Math.floor(groupBound - steadyRate));
  const entryCount = Math.min(maxEntryCount, Math.max(1, knownEntryCount));
  return {entryCount, perSecond: steadyRate / entryCount};
}

/**
 * Creates the warm-up limits of an entry that has just started.
 *
 * @example
 * warmUps.recordWarmUp('i-1', 3_000);
 * if (warmUps.allowsRequest('i-1')) { warmUps.consumeToken('i-1'); }
 */
export function createWarmUps(options: {
  readonly clock: Clock;
  readonly self: string;
  readonly decisions: DecisionLog;
  readonly bound: WarmUpBound;
  /** Whether other entries would be known if there were any. */
  isEntryListKnown(): boolean;
  /** Returns undefined if the endpoint's service has no warm-up. */
  configOf(endpoint: string): WarmUpConfig | undefined;
}): WarmUps {
  const {clock, self, decisions, bound} = options;
  const states = new Map<string, EndpointState>();
  /** This entry's share by endpoint, in requests per second; 0 for none. */
  const shares = new Map<string, number>();
  const startedAt = clock.now();
  /**
   * Monotonic milliseconds at which each entry was last listed; Infinity while
   * it is listed.
   */
  const lastListedAt = new Map<string, number>();
  let joinedAt = startedAt;

  function isListSettled(): boolean {
    const now = clock.now();
    return (
      options.isEntryListKnown() &&
      now - startedAt >= START_SETTLE_MS &&
      now - joinedAt >= JOIN_SETTLE_MS
    );
  }

  function isWarming({warmUntil, isUnreachable}: EndpointState): boolean {
    return isUnreachable || clock.now() < warmUntil;
  }

  /** Returns the state of an endpoint if requests to it are limited now. */
  function limitedState(endpoint: string): EndpointState | undefined {
    const state = states.get(endpoint);
    if (state === undefined || options.configOf(endpoint) === undefined) {
      return undefined;
    }
    if (isWarming(state)) {
      return state;
    }
    states.delete(endpoint);
    shares.delete(endpoint);
    decisions.recordDecision('routing', endpoint, 'end warm-up', 'time passed');
    return undefined;
  }

  function stateToLimit(endpoint: string, reason: string): EndpointState {
    const existing = states.get(endpoint);
    if (existing !== undefined) {
      return existing;
    }
    const now = clock.now();
    const state = {
      warmUntil: now,
      isUnreachable: false,
      level: 1,
      refilledAt: now,
      sentAt: -Infinity,
    };
    states.set(endpoint, state);
    decisions.recordDecision('routing', endpoint, 'warm up', reason, {
      perSecond: shareOf(endpoint),
      entries: lastListedAt.size,
    });
    return state;
  }

  function dropLostEntries(): void {
    const now = clock.now();
    for (const [id, listedAt] of lastListedAt) {
      if (now - listedAt > LOST_ENTRY_TTL_MS) {
        lastListedAt.delete(id);
      }
    }
  }

  function shareOf(endpoint: string): number {
    const cachedShare = shares.get(endpoint);
    if (cachedShare !== undefined) {
      return cachedShare;
    }
    const config = options.configOf(endpoint);
    if (config === undefined) {
      return 0;
    }
    const entries = [...lastListedAt.keys()];
    const {entryCount, perSecond} = shareRates(config, bound, entries.length);
    const shareholders = rendezvousOrder(endpoint, entries).slice(
      0,
      entryCount,
    );
    const share = shareholders.includes(self) ? perSecond : 0;
    shares.set(endpoint, share);
    return share;
  }

  function refill(endpoint: string, state: EndpointState): void {
    const now = clock.now();
    const perSecond = shareOf(endpoint);
    const added = ((now - state.refilledAt) * perSecond) / SECOND_MS;
    state.level = Math.min(1, state.level + added);
    state.refilledAt = now;
  }

  function isProbeDue(state: EndpointState): boolean {
    return (
      state.isUnreachable && clock.now() - state.sentAt >= PROBE_INTERVAL_MS
    );
  }

  return {
    setEntries(entries) {
      states.forEach((state, endpoint) => refill(endpoint, state));
      const now = clock.now();
      const listedIds = new Set(entries);
      if (entries.some(id => !lastListedAt.has(id))) {
        joinedAt = now;
      }
      for (const [id, listedAt] of lastListedAt) {
        if (listedAt === Infinity && !listedIds.has(id)) {
          lastListedAt.set(id, now);
        }
      }
      entries.forEach(id => lastListedAt.set(id, Infinity));
      dropLostEntries();
      shares.clear();
    },
    recordWarmUp(endpoint, remainingMs) {
      const state = stateToLimit(endpoint, 'its process is warming up');
      state.warmUntil = Math.max(state.warmUntil, clock.now() + remainingMs);
    },
    recordUnreachable(endpoint) {
      if (options.configOf(endpoint) === undefined) {
        return;
      }
      const state = stateToLimit(endpoint, 'its process may be restarting');
      state.isUnreachable = true;
      state.sentAt = clock.now();
    },
    recordResponse(endpoint) {
      const state = states.get(endpoint);
      if (state?.isUnreachable === true) {
        state.isUnreachable = false;
        const {durationMs = 0} = options.configOf(endpoint) ?? {};
        state.warmUntil = Math.max(state.warmUntil, clock.now() + durationMs);
      }
    },
    retainEndpoints(endpoints) {
      for (const endpoint of states.keys()) {
        if (!endpoints.has(endpoint)) {
          states.delete(endpoint);
          shares.delete(endpoint);
        }
      }
    },
    allowsRequest(endpoint) {
      const state = limitedState(endpoint);
      if (state === undefined) {
        return true;
      }
      if (!isListSettled()) {
        return false;
      }
      refill(endpoint, state);
      const isShareholder = shareOf(endpoint) > 0;
      return isShareholder ? state.level >= 1 : isProbeDue(state);
    },
    consumeToken(endpoint) {
      const state = limitedState(endpoint);
      if (state !== undefined) {
        refill(endpoint, state);
        state.level -= 1;
        state.sentAt = clock.now();
      }
    },
    waitMs(endpoint) {
      const state = limitedState(endpoint);
      if (state === undefined) {
        return 0;
      }
      refill(endpoint, state);
      const perSecond = shareOf(endpoint);
      return perSecond === 0 || !isListSettled()
        ? undefined
        : Math.max(0, ((1 - state.level) / perSecond) * SECOND_MS);
    },
    dump: () =>
      Object.fromEntries(
        [...states].map(([endpoint, state]) => [
          endpoint,
          {
            warmForMs: Math.max(0, Math.round(state.warmUntil - clock.now())),
            isUnreachable: state.isUnreachable,
            perSecond: shareOf(endpoint),
          },
        ]),
      ),
  };
}
