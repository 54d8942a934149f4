/**
 * Holds back the removal of a service's endpoints after a reclaim.
 *
 * Reclaims come in groups: further failure domains follow within seconds, while
 * reclaimable capacity is unavailable everywhere. An endpoint that is removed
 * between two reclaims is missed at the second, and its replacement takes
 * seconds to start and to warm up.
 */
import type {Clock} from '@skylarkfield/base';

export interface RemovalHold {
  /** Records that endpoints of the service are being reclaimed now. */
  recordReclaim(service: string): void;
  /** Whether no endpoint of the service may be removed now. */
  isHeld(service: string): boolean;
}

/** Time after a reclaim during which no endpoints are removed, in ms. */
const HOLD_MS = 15_000;

/**
 * Creates the hold; no service is held.
 *
 * @example
 * removalHold.recordReclaim('chat');
 * removalHold.isHeld('chat'); // true, for 15 s
 */
export function createRemovalHold(clock: Clock): RemovalHold {
  const lastReclaimAt = new Map<string, number>();
  return {
    recordReclaim: service => void lastReclaimAt.set(service, clock.now()),
    isHeld: service =>
      clock.now() - (lastReclaimAt.get(service) ?? -Infinity) < HOLD_MS,
  };
}
