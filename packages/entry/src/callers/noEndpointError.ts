/** Error for a request that no endpoint can accept. */
import {ServingError} from '@skylarkfield/base';

/** Delay after which the caller should retry, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 1_000;

/**
 * Returns the error for a request that no endpoint of a version can accept.
 * `waitMs` is the time until one of them may, in milliseconds, if that is known.
 *
 * @example
 * throw noEndpointError('booking', 'v2', router.rateLimitWaitMs('booking'));
 */
export function noEndpointError(
  service: string,
  version: string,
  waitMs = NO_ENDPOINT_RETRY_MS,
): ServingError {
  return new ServingError(
    'endpoint-unavailable',
    `no endpoint of ${service} ${version} can accept the request`,
    {retryAfterMs: waitMs},
  );
}
