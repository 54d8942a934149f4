/** Which versions of a service the host list shows. */
import type {EndpointPool} from './serving.js';

/**
 * Versions of a service that some endpoint runs which is not leaving.
 *
 * @example
 * listedVersions('booking', endpoints).has('v2');
 */
export function listedVersions(
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
