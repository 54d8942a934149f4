/** Statuses of HTTP responses. */

const FIRST_INTERIM_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * Whether a response with the status ends its request: interim ones (1xx) do not,
 * and other numbers are no statuses of HTTP (RFC 9110, 15).
 *
 * @example
 * isFinalStatus(404); // true
 * isFinalStatus(103); // false
 * isFinalStatus(600); // false
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}

/**
 * Whether a head with the status precedes the one of the response.
 *
 * @example
 * isInterimStatus(103); // true
 */
export function isInterimStatus(status: number): boolean {
  return status >= FIRST_INTERIM_STATUS && status < FIRST_FINAL_STATUS;
}
