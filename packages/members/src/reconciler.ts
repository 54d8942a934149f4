/**
 * Brings in what gossip missed: two entries compare one hash with every heartbeat,
 * and one that differs for long fetches just the buckets that differ.
 */
import {toServingError, type Clock, type Logger} from '@skylarkfield/base';
import type {
  MemberNews,
  MembersGiven,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {MemberTable} from './memberTable.js';
import type {MemberTiming} from './timing.js';

/** Compares what two entries know, and fetches the difference. */
export interface Reconciler {
  /** Compares a peer's digest with ours. */
  compare(peer: string, digest: number | undefined): void;
  /** Fetches all that the peer knows otherwise. */
  fetch(peer: string): Promise<void>;
  /** Fetches made so far. */
  count(): number;
}

/**
 * Makes the reconciler of one entry.
 *
 * @example
 * reconciler.compare(from, heartbeat.digest);
 */
export function createReconciler(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: MemberTiming;
  own(): MemberNews;
  learn(news: MemberNews): void;
}): Reconciler {
  const {table, network, clock, log, timing} = options;
  /** By peer: two that lack the same member agree, and prove nothing. */
  const differsSince = new Map<string, number>();
  let fetches = 0;

  async function fetch(peer: string): Promise<void> {
    fetches += 1;
    const buckets = table.bucketsWith(options.own());
    const given = await network
      .ask(peer, 'membersWanted', {buckets}, timing.probeMs)
      .catch(() => undefined);
    try {
      (given as MembersGiven | undefined)?.news.forEach(options.learn);
    } catch (error) {
      log.warn({peer, err: toServingError(error)}, 'unusable list of members');
    }
  }

  /** Former neighbours send no heartbeat that could take them out. */
  function forgetOld(now: number) {
    for (const [peer, since] of differsSince) {
      if (now - since > 2 * timing.reconcileMs) {
        differsSince.delete(peer);
      }
    }
  }

  return {
    compare(peer, digest) {
      const isSame = digest === table.digestWith(options.own());
      if (digest === undefined || isSame) {
        differsSince.delete(peer);
        return;
      }
      const now = clock.now();
      const since = differsSince.get(peer);
      if (since === undefined) {
        forgetOld(now);
        differsSince.set(peer, now);
        return;
      }
      if (now - since < timing.reconcileMs) {
        return;
      }
      // One exchange a time: while news is on its way, all peers differ.
      differsSince.clear();
      void fetch(peer);
    },
    fetch,
    count: () => fetches,
  };
}
