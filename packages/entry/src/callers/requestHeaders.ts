/** What callers say in request headers: importance, time limit, session. */
import type {IncomingHttpHeaders} from 'node:http';
import {ServingError} from '@skylarkfield/base';

/** RFC 9218: urgency when the caller names none. */
const DEFAULT_URGENCY = 3;
const LEAST_URGENCY = 7;
const MAX_KEY_LENGTH = 255;

/**
 * The urgency of a request: what the caller asks for by `Priority: u=N`, but
 * never more important than its customer's record allows.
 *
 * @example
 * requestUrgency({priority: 'u=0'}, 2); // 2
 */
export function requestUrgency(
  headers: IncomingHttpHeaders,
  bestUrgency: number,
): number {
  const asked = askedUrgency(headers['priority']);
  return Math.max(asked, bestUrgency);
}

function askedUrgency(priority: string | string[] | undefined): number {
  const match = /(?:^|,)\s*u=(\d+)/.exec(String(priority ?? ''));
  if (match === null) {
    return DEFAULT_URGENCY;
  }
  const urgency = Number(match[1]);
  // RFC 9218: a value out of range is ignored.
  return urgency <= LEAST_URGENCY ? urgency : DEFAULT_URGENCY;
}

/**
 * The time that a request has, in milliseconds: `X-Request-Timeout-Ms`, at
 * most what the service allows. Throws `bad-request` when it is no positive number.
 *
 * @example
 * requestTimeout(request.headers, service.timeoutMs);
 */
export function requestTimeout(
  headers: IncomingHttpHeaders,
  serviceTimeoutMs: number,
): number {
  const text = headers['x-request-timeout-ms'];
  if (text === undefined) {
    return serviceTimeoutMs;
  }
  const asked = Number(text);
  if (!Number.isFinite(asked) || asked <= 0) {
    throw headerFault('x-request-timeout-ms', 'a positive number');
  }
  return Math.min(asked, serviceTimeoutMs);
}

/**
 * The caller's idempotency key, if it gave one. Throws `bad-request` for an
 * empty or overlong one.
 *
 * @example
 * const key = idempotencyKey(request.headers);
 */
export function idempotencyKey(
  headers: IncomingHttpHeaders,
): string | undefined {
  const text = headers['idempotency-key'];
  if (text === undefined) {
    return undefined;
  }
  const key = String(text).replace(/^"(.*)"$/, '$1');
  if (key === '' || key.length > MAX_KEY_LENGTH) {
    throw headerFault('idempotency-key', `1 to ${MAX_KEY_LENGTH} characters`);
  }
  return key;
}

/**
 * The bearer key of a request; undefined when there is none.
 *
 * @example
 * const key = bearerKey(request.headers);
 */
export function bearerKey(headers: IncomingHttpHeaders): string | undefined {
  const match = /^Bearer\s+(\S+)$/i.exec(headers.authorization ?? '');
  return match?.[1];
}

function headerFault(path: string, expected: string): ServingError {
  return new ServingError('bad-request', `${path}: ${expected}`, {
    faults: [{path, expected}],
  });
}
