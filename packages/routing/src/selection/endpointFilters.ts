/** Filters of the endpoints that a request may be sent to. */
import type {Candidate} from '../contracts.js';
import type {PooledEndpoint} from '../endpointPool.js';

/**
 * Whether an endpoint is in one of the regions. An endpoint in an unknown region
 * is in none of them.
 *
 * @example
 * candidates.filter(candidate => isInRegions(candidate, ['eu']));
 */
export function isInRegions(
  {region}: Candidate,
  regions: readonly string[] | undefined,
): boolean {
  return (
    regions === undefined || (region !== undefined && regions.includes(region))
  );
}

/**
 * Returns the endpoints with the fewest requests.
 *
 * @example
 * const [endpoint] = leastLoaded(pools.endpointsOf('chat', 'v1'));
 */
export function leastLoaded(
  endpoints: readonly PooledEndpoint[],
): readonly PooledEndpoint[] {
  const requestCounts = endpoints.map(({load}) => load.estimate().requests);
  const minRequests = Math.min(...requestCounts);
  return endpoints.filter((_, index) => requestCounts[index] === minRequests);
}
