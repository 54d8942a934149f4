/** Versions of a service that have endpoints to serve them. */
import type {EndpointPool} from './servingContext.js';

/**
 * Returns the versions of a service with at least one endpoint not leaving.
 *
 * @example
 * availableVersions('booking', endpoints).has('v2');
 */
export function availableVersions(
  service: string,
  endpoints: Pick<EndpointPool, 'list'>,
): Set<string> {
  const usable = endpoints
    .list()
    .filter(
      ({listed, leaving}) => listed.service === service && !leaving.aborted,
    );
  return new Set(usable.map(({listed}) => listed.version));
}
