/** Versions of a service that have endpoints to serve them. */
import type {EndpointPool} from './servingContext.js';

/**
 * Returns the versions of a service for which at least one endpoint is listed
 * and not leaving.
 *
 * @example
 * availableVersions('booking', endpoints).has('v2');
 */
export function availableVersions(
  service: string,
  endpoints: Pick<EndpointPool, 'list'>,
): Set<string> {
  const usableEndpoints = endpoints
    .list()
    .filter(
      ({listed, leavingSignal}) =>
        listed.service === service && !leavingSignal.aborted,
    );
  return new Set(usableEndpoints.map(({listed}) => listed.version));
}
