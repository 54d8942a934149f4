/** Error for a request that no endpoint can accept. */
import {ServingError} from '@skylarkfield/base';

/** Delay after which the caller should retry, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 1_000;

/**
 * Returns the error for a request that no endpoint of a version can accept.
 *
 * @example
 * throw noEndpointError('booking', 'v2');
 */
export function noEndpointError(
  service: string,
  version: string,
): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    `no endpoint of ${service} ${version} can accept the request`,
    {retryAfterMs: NO_ENDPOINT_RETRY_MS},
  );
}
