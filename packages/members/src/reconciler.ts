/**
 * Anti-entropy for updates that were lost in gossip: entries compare the
 * digests of their member tables with every heartbeat, and fetch differing
 * buckets if the digests still differ after `reconcileDelayMs`.
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
  /**
   * Compares a peer's digest with the local digest, and fetches the peer's
   * updates if the digests have differed for `reconcileDelayMs`.
   */
  compareDigest(peer: string, digest: number | undefined): void;
  /** Fetches the peer's updates in all buckets whose hashes differ. */
  fetchUpdates(peer: string): Promise<void>;
  /** Number of fetches so far. */
  fetchCount(): number;
}

/**
 * Creates the reconciler of one entry.
 *
 * @example
 * reconciler.compareDigest(from, heartbeat.digest);
 */
export function createReconciler(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: Logger;
  readonly timing: MemberTiming;
  localUpdate(): MemberUpdate;
  applyUpdates(updates: readonly MemberUpdate[]): void;
}): Reconciler {
  const {table, network, clock, log, timing} = options;
  /**
   * Monotonic milliseconds at which the digest of each peer began to differ.
   * Keyed by peer, not by digest, as two peers that lack the same member have
   * equal digests.
   */
  const digestDiffersSince = new Map<string, number>();
  let fetchCount = 0;

  async function fetchUpdates(peer: string): Promise<void> {
    fetchCount += 1;
    const buckets = table.bucketHashesWith(options.localUpdate());
    const response = await network
      .request(peer, 'membersWanted', {buckets}, timing.probeTimeoutMs)
      .catch(() => undefined);
    try {
      options.applyUpdates(
        (response as MembersResponse | undefined)?.news ?? [],
      );
    } catch (error) {
      log.warn(
        {peer, err: toServingError(error)},
        'failed to apply the member updates of a peer',
      );
    }
  }

  /**
   * Drops peers whose digests have differed for more than twice
   * `reconcileDelayMs`. They are no longer neighbours: a heartbeat of a
   * neighbour would have removed it from the map or caused a fetch within this
   * time.
   */
  function dropStalePeers(now: number) {
    for (const [peer, differsSince] of digestDiffersSince) {
      if (now - differsSince > 2 * timing.reconcileDelayMs) {
        digestDiffersSince.delete(peer);
      }
    }
  }

  return {
    compareDigest(peer, digest) {
      const isSame = digest === table.digestWith(options.localUpdate());
      if (digest === undefined || isSame) {
        digestDiffersSince.delete(peer);
        return;
      }
      const now = clock.now();
      const differsSince = digestDiffersSince.get(peer);
      if (differsSince === undefined) {
        dropStalePeers(now);
        digestDiffersSince.set(peer, now);
        return;
      }
      if (now - differsSince < timing.reconcileDelayMs) {
        return;
      }
      // Fetches from one peer only: while an update propagates, the digests of
      // all peers differ.
      digestDiffersSince.clear();
      void fetchUpdates(peer);
    },
    fetchUpdates,
    fetchCount: () => fetchCount,
  };
}
