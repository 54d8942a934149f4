/** Fingerprint that identifies a request when its caller resends it. */
import {createHash} from 'node:crypto';

/** Properties that are equal whenever a caller resends a request. */
export interface RequestContent {
  /** Customer that sends the request; undefined if the route needs no key. */
  readonly customer: string | undefined;
  readonly authority: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly body: Buffer | undefined;
}

/** Length of a fingerprint in hexadecimal digits. */
const FINGERPRINT_DIGITS = 16;

/**
 * Returns a fingerprint that is the same whenever a request is resent, at every
 * entry and in every release, and differs between customers.
 *
 * @example
 * const fingerprint = requestFingerprint({
 *   customer, authority, method, path, body,
 * });
 */
export function requestFingerprint(content: RequestContent): string {
  const {customer = '', authority, method, path, body} = content;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([customer, authority, method, path]));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}
