/**
 * How much of the fleet an entry hears, which decides the part of customers'
 * quotas that it may grant by itself.
 */
import type {Clock} from '@skylarkfield/base';

export interface PeerVisibility {
  /** Takes over what is known now. */
  refresh(): void;
  /**
   * False for a moment after the start, while it is not known how many entries
   * there are. Called for each request; refreshes what is out of date.
   */
  isKnown(): boolean;
}

/** Time after the start from which an entry that was told of no others counts as the only one, in milliseconds. */
const JOIN_TIMEOUT_MS = 900;

/** Age at which a request refreshes the share, in milliseconds. */
const REFRESH_INTERVAL_MS = 100;

/**
 * Makes the share of an entry that has just started.
 *
 * @example
 * const share = createFleetShare({clock, membership, reports, onDidRefresh: quotas.setHeard});
 */
export function createPeerVisibility(options: {
  readonly clock: Clock;
  readonly membership: {entryCount(): number | undefined};
  readonly reports: {visiblePeers(): number};
  /** Gets the fraction of the other entries that are heard, 0 to 1, and the number of entries. */
  onDidRefresh(visibleFraction: number, entryCount: number): void;
}): PeerVisibility {
  const {clock, membership, reports} = options;
  const startedAt = clock.now();
  let isKnown = false;
  let refreshedAt = -Infinity;

  function refresh(): void {
    refreshedAt = clock.now();
    const peerCount = (membership.entryCount() ?? 1) - 1;
    const visible = reports.visiblePeers();
    const visibleFraction =
      peerCount <= 0 ? 1 : Math.min(1, visible / peerCount);
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
