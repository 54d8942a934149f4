/** Rests that plain services ask for. */
import type {ServiceResponse} from './contracts.js';

/** Status of a service that is unavailable for a time. */
const UNAVAILABLE_STATUS = 503;

const MS_PER_SECOND = 1_000;

/** Retry-After in seconds, with an optional fraction (RFC 9110, 10.2.3). */
const SECONDS_PATTERN = /^\s*\d+(\.\d+)?\s*$/;

/**
 * Returns the time in milliseconds for which the endpoint of a response wants
 * no requests; undefined if it asks for no rest. A date in Retry-After is
 * ignored, since the clocks of endpoints may be wrong.
 *
 * @example
 * parseRestMs({status: 503, headers: {'retry-after': '3'}}); // 3000
 */
export function parseRestMs({
  status,
  headers,
}: Pick<ServiceResponse, 'status' | 'headers'>): number | undefined {
  const seconds = headers['retry-after'] ?? '';
  return status === UNAVAILABLE_STATUS && SECONDS_PATTERN.test(seconds)
    ? Number(seconds) * MS_PER_SECOND
    : undefined;
}
