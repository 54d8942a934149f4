/** Parsing of request headers: urgency, timeout, idempotency and bearer key. */
import type {IncomingHttpHeaders} from 'node:http';
import {ServingError} from '@skylarkfield/base';

/** Urgency of a request without a `Priority` header (RFC 9218). */
const DEFAULT_URGENCY = 3;
/** Least urgent value; 0 is the most urgent. */
const LOWEST_URGENCY = 7;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/**
 * Returns the urgency of a request: that of its `Priority: u=N` header, limited
 * to the most urgent value in the customer's record.
 *
 * @example
 * parseRequestUrgency({priority: 'u=0'}, 2); // 2
 */
export function parseRequestUrgency(
  headers: IncomingHttpHeaders,
  bestUrgency: number,
): number {
  const requestedUrgency = parsePriorityHeader(headers['priority']);
  return Math.max(requestedUrgency, bestUrgency);
}

function parsePriorityHeader(priority: string | string[] | undefined): number {
  const match = /(?:^|,)\s*u=(\d+)/.exec(String(priority ?? ''));
  if (match === null) {
    return DEFAULT_URGENCY;
  }
  const urgency = Number(match[1]);
  // RFC 9218: out-of-range values are ignored.
  return urgency <= LOWEST_URGENCY ? urgency : DEFAULT_URGENCY;
}

/**
 * Returns the timeout of a request in milliseconds: `X-Request-Timeout-Ms`, at
 * most the service's timeout. Throws `bad-request` when the header is not a
 * positive number.
 *
 * @example
 * parseRequestTimeoutMs(request.headers, service.timeoutMs);
 */
export function parseRequestTimeoutMs(
  headers: IncomingHttpHeaders,
  serviceTimeoutMs: number,
): number {
  const text = headers['x-request-timeout-ms'];
  if (text === undefined) {
    return serviceTimeoutMs;
  }
  const requestedMs = Number(text);
  if (!Number.isFinite(requestedMs) || requestedMs <= 0) {
    throw invalidHeaderError('x-request-timeout-ms', 'a positive number');
  }
  return Math.min(requestedMs, serviceTimeoutMs);
}

/**
 * Returns the idempotency key; undefined without the header. Throws
 * `bad-request` when the key is empty or longer than 255 characters.
 *
 * @example
 * const key = parseIdempotencyKey(request.headers);
 */
export function parseIdempotencyKey(
  headers: IncomingHttpHeaders,
): string | undefined {
  const text = headers['idempotency-key'];
  if (text === undefined) {
    return undefined;
  }
  const key = String(text).replace(/^"(.*)"$/, '$1');
  if (key === '' || key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw invalidHeaderError(
      'idempotency-key',
      `1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    );
  }
  return key;
}

/**
 * Returns the bearer key of a request; undefined when there is none.
 *
 * @example
 * const key = parseBearerKey(request.headers);
 */
export function parseBearerKey(
  headers: IncomingHttpHeaders,
): string | undefined {
  const match = /^Bearer\s+(\S+)$/i.exec(headers.authorization ?? '');
  return match?.[1];
}

function invalidHeaderError(path: string, expected: string): ServingError {
  return new ServingError('bad-request', `${path}: ${expected}`, {
    faults: [{path, expected}],
  });
}
