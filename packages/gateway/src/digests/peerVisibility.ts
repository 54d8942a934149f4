/**
 * Fraction of the peers from which an entry receives reports. It bounds the
 * part of customers' quotas that the entry may grant on its own.
 */
import type {Clock} from '@skylarkfield/base';

export interface PeerVisibility {
  /** Recomputes the fraction of visible peers. */
  refresh(): void;
  /**
   * Whether the number of entries is known, which takes up to `JOIN_TIMEOUT_MS`
   * after the start. Called for each request that consumes quota; also
   * recomputes the fraction of visible peers if it is outdated.
   */
  isEntryCountKnown(): boolean;
}

/**
 * Time after the start at which an entry that has found no peers counts as the
 * only entry, in milliseconds.
 */
const JOIN_TIMEOUT_MS = 900;

/**
 * Age from which the next request recomputes the fraction of visible peers, in
 * milliseconds.
 */
const REFRESH_INTERVAL_MS = 100;

/**
 * Creates the peer visibility of an entry that has just started.
 *
 * @example
 * const visibility = createPeerVisibility({clock, membership, reports,
 *   onDidRefresh: quotas.setReportingPeers});
 */
export function createPeerVisibility(options: {
  readonly clock: Clock;
  readonly membership: {entryCount(): number | undefined};
  readonly reports: {visiblePeerCount(): number};
  /**
   * Called with the fraction of peers that report, 0 to 1, and the number of
   * entries, including this one.
   */
  onDidRefresh(visibleFraction: number, entryCount: number): void;
}): PeerVisibility {
  const {clock, membership, reports} = options;
  const startedAt = clock.now();
  let isCountKnown = false;
  let refreshedAt = -Infinity;

  function refresh(): void {
    refreshedAt = clock.now();
    const peerCount = (membership.entryCount() ?? 1) - 1;
    const visibleCount = reports.visiblePeerCount();
    const visibleFraction =
      peerCount <= 0 ? 1 : Math.min(1, visibleCount / peerCount);
    options.onDidRefresh(visibleFraction, peerCount + 1);
  }

  return {
    refresh,
    isEntryCountKnown() {
      isCountKnown ||=
        membership.entryCount() !== undefined ||
        clock.now() - startedAt >= JOIN_TIMEOUT_MS;
      if (isCountKnown && clock.now() - refreshedAt >= REFRESH_INTERVAL_MS) {
        refresh();
      }
      return isCountKnown;
    },
  };
}
