/** Ownership of customers' quotas, and how it passes from entry to entry. */
import type {Clock, Logger} from '@skylarkfield/base';
import type {
  QuotaPeers,
  QuotaTakeover,
  QuotaTakeoverAnswer,
} from './quotaContracts.js';
import type {Quotas} from './quotas.js';

export interface QuotaOwnership {
  /** Sets the first of the ranking; takes the quota over if it is this entry. */
  update(customer: string, owner: string | undefined): void;
  /** Returns the entries that may grant before this one, in order. */
  entriesBefore(
    customer: string,
    ranking: readonly string[],
  ): readonly string[];
  /**
   * Returns the entry that this one has recently left the quota to; undefined
   * if there is none.
   */
  successor(customer: string): string | undefined;
  /** Leaves a quota to another entry that has become its owner. */
  yieldTo(entry: string, takeover: QuotaTakeover): QuotaTakeoverAnswer;
}

/**
 * Time for which an entry does not take back a quota that it has yielded, in
 * milliseconds: the entries rank differently while they learn of a change.
 */
const YIELD_MS = 1_000;

/** Upper bound of the time for which grants are unknown, in milliseconds. */
const MAX_SINCE_MS = 60_000;

/**
 * Creates the ownership of quotas as seen by one entry.
 *
 * @example
 * const ownership = createQuotaOwnership({clock, log, self: 'a1', quotas, peers});
 * ownership.update('chain', ranking[0]);
 */
export function createQuotaOwnership(options: {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly quotas: Quotas;
  readonly peers: Pick<QuotaPeers, 'reportAgeMs' | 'takeOver'>;
}): QuotaOwnership {
  const {clock, log, self, quotas, peers} = options;
  const startedAtMs = clock.now();
  const ownerByCustomer = new Map<string, string>();
  const yieldedAtMs = new Map<string, number>();

  function hasYielded(customer: string): boolean {
    return clock.now() - (yieldedAtMs.get(customer) ?? -Infinity) < YIELD_MS;
  }

  function update(customer: string, owner: string | undefined): void {
    if (owner === undefined || (owner === self && hasYielded(customer))) {
      return;
    }
    const previousOwner = ownerByCustomer.get(customer);
    ownerByCustomer.set(customer, owner);
    if (previousOwner === undefined || previousOwner === owner) {
      return;
    }
    log.info({customer, previousOwner, owner}, 'owner of a quota changed');
    if (owner === self) {
      void takeOver(customer, previousOwner);
    }
  }

  /**
   * Charges what the previous owner may have granted unseen, until it tells
   * what it has granted.
   */
  async function takeOver(
    customer: string,
    previousOwner: string,
  ): Promise<void> {
    const sinceMs = Math.min(peers.reportAgeMs(previousOwner), MAX_SINCE_MS);
    const assumed = quotas.assumeUnreported(customer, sinceMs);
    if (assumed === undefined) {
      return;
    }
    try {
      const takeover = {customer, sinceMs};
      const {granted, upMs} = await peers.takeOver(previousOwner, takeover);
      // A process that has started since does not know what the previous
      // process of this entry granted.
      if (upMs >= sinceMs) {
        quotas.correctAssumption(customer, assumed, granted);
      }
    } catch (error) {
      log.info(
        {customer, previousOwner, reason: String(error)},
        'previous owner of a quota does not tell its usage',
      );
    }
  }

  function entriesBefore(
    customer: string,
    ranking: readonly string[],
  ): readonly string[] {
    const position = ranking.indexOf(self);
    const owner = ownerByCustomer.get(customer);
    if (position === 0 && owner !== undefined && owner !== self) {
      return [owner];
    }
    return position === -1 ? ranking : ranking.slice(0, position);
  }

  return {
    update,
    entriesBefore,
    successor: customer =>
      hasYielded(customer) ? ownerByCustomer.get(customer) : undefined,
    yieldTo(entry, {customer, sinceMs}) {
      ownerByCustomer.set(customer, entry);
      yieldedAtMs.set(customer, clock.now());
      return {
        granted: quotas.recentOwnUsage(customer, sinceMs),
        upMs: clock.now() - startedAtMs,
      };
    },
  };
}
