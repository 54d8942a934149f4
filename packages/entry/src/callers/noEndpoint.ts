/** The refusal of a request that no endpoint can take. */
import {ServingError} from '@skylarkfield/base';

/** Time after which a caller may look again for an endpoint, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 1_000;

/**
 * The error for a service none of whose endpoints can take a request.
 *
 * @example
 * throw noEndpoint('booking', 'v2');
 */
export function noEndpoint(service: string, version: string): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    `no endpoint of ${service} ${version} can take the request`,
    {retryAfterMs: NO_ENDPOINT_RETRY_MS},
  );
}
