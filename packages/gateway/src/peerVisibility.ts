/**
 * Fraction of the peers that an entry receives reports from, which bounds the
 * part of customers' quotas that it may grant on its own.
 */
import type {Clock} from '@skylarkfield/base';

export interface PeerVisibility {
  /** Recomputes the fraction. */
  refresh(): void;
  /**
   * False shortly after the start, until the number of entries is known. Called
   * for each request; refreshes an outdated fraction.
   */
  isKnown(): boolean;
}

/**
 * Time after the start at which an entry that has found no peers counts as the
 * only one, in milliseconds.
 */
const JOIN_TIMEOUT_MS = 900;

/** Age at which a request refreshes the fraction, in milliseconds. */
const REFRESH_INTERVAL_MS = 100;

/**
 * Creates the visibility of an entry that has just started.
 *
 * @example
 * const visibility = createPeerVisibility({clock, membership, reports,
 *   onDidRefresh: quotas.setReportingPeers});
 */
export function createPeerVisibility(options: {
  readonly clock: Clock;
  readonly membership: {entryCount(): number | undefined};
  readonly reports: {visiblePeers(): number};
  /**
   * Called with the fraction of peers that report, 0 to 1, and the number of
   * entries.
   */
  onDidRefresh(visibleFraction: number, entryCount: number): void;
}): PeerVisibility {
  const {clock, membership, reports} = options;
  const startedAt = clock.now();
  let isKnown = false;
  let refreshedAt = -Infinity;

  function refresh(): void {
    refreshedAt = clock.now();
    const peerCount = (membership.entryCount() ?? 1) - 1;
    const visibleCount = reports.visiblePeers();
    const visibleFraction =
      peerCount <= 0 ? 1 : Math.min(1, visibleCount / peerCount);
    options.onDidRefresh(visibleFraction, peerCount + 1);
  }

  return {
    refresh,
    isKnown() {
      isKnown ||=
        membership.entryCount() !== undefined ||
        clock.now() - startedAt >= JOIN_TIMEOUT_MS;
      if (isKnown && clock.now() - refreshedAt >= REFRESH_INTERVAL_MS) {
        refresh();
      }
      return isKnown;
    },
  };
}
