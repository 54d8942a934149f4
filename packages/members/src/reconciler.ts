/**
 * Anti-entropy for updates that gossip missed: entries compare a digest with
 * every heartbeat, and fetch differing buckets after `reconcileDelayMs`.
 */
import {toServingError, type Clock, type Logger} from '@skylarkfield/base';
import type {
  MemberUpdate,
  MembersResponse,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {MemberTable} from './memberTable.js';
import type {MemberTiming} from './timing.js';

/** Compares the member tables of two entries and fetches the difference. */
export interface Reconciler {
  /** Compares a peer's digest with the local one. */
  compare(peer: string, digest: number | undefined): void;
  /** Fetches the peer's updates of all buckets that differ. */
  fetch(peer: string): Promise<void>;
  /** Number of fetches so far. */
  count(): number;
}

/**
 * Creates the reconciler of one entry.
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
  localUpdate(): MemberUpdate;
  applyUpdate(update: MemberUpdate): void;
}): Reconciler {
  const {table, network, clock, log, timing} = options;
  /** Per peer, as two peers that lack the same member have equal digests. */
  const differsSince = new Map<string, number>();
  let fetches = 0;

  async function fetch(peer: string): Promise<void> {
    fetches += 1;
    const buckets = table.bucketHashesWith(options.localUpdate());
    const response = await network
      .request(peer, 'membersWanted', {buckets}, timing.probeTimeoutMs)
      .catch(() => undefined);
    try {
      (response as MembersResponse | undefined)?.news.forEach(
        options.applyUpdate,
      );
    } catch (error) {
      log.warn({peer, err: toServingError(error)}, 'invalid member list');
    }
  }

  /** Drops former neighbours, whose heartbeats would have dropped them. */
  function dropStalePeers(now: number) {
    for (const [peer, since] of differsSince) {
      if (now - since > 2 * timing.reconcileDelayMs) {
        differsSince.delete(peer);
      }
    }
  }

  return {
    compare(peer, digest) {
      const isSame = digest === table.digestWith(options.localUpdate());
      if (digest === undefined || isSame) {
        differsSince.delete(peer);
        return;
      }
      const now = clock.now();
      const since = differsSince.get(peer);
      if (since === undefined) {
        dropStalePeers(now);
        differsSince.set(peer, now);
        return;
      }
      if (now - since < timing.reconcileDelayMs) {
        return;
      }
      // One fetch at a time: while an update propagates, all peers differ.
      differsSince.clear();
      void fetch(peer);
    },
    fetch,
    count: () => fetches,
  };
}
