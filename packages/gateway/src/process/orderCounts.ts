/** Computes the numbers of endpoints to order at a time. */
import type {FleetConfig} from '@skylarkfield/traffic';

/**
 * Returns the number of endpoints to order in a market now: the planned
 * number, within the maximum number of endpoints and of removals.
 *
 * @example
 * const count = nextCount(12, 20, 0, 56, 3); // 17
 */
export function nextCount(
  plannedCount: number,
  readyCount: number,
  otherMarketCount: number,
  maxEndpoints: number,
  maxRemovals: number,
): number {
  if (readyCount > plannedCount) {
    return Math.max(plannedCount, readyCount - maxRemovals);
  }
  // The maximum covers both markets together; the platform reduces an order
  // beyond the maximum without an error.
  return Math.max(
    readyCount,
    Math.min(plannedCount, maxEndpoints - otherMarketCount),
  );
}

/**
 * Returns the configuration without the failure domains to be left alone.
 *
 * @example
 * const fleet = withoutDomains(service.fleet, directory.isDrained);
 */
export function withoutDomains(
  fleet: FleetConfig,
  isExcluded: (failureDomain: string) => boolean,
): FleetConfig {
  const prices = Object.entries(fleet.prices).filter(
    ([failureDomain]) => !isExcluded(failureDomain),
  );
  return {...fleet, prices: Object.fromEntries(prices)};
}
