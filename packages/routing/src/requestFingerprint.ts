/** Identifies a request across the attempts of its caller. */
import {createHash} from 'node:crypto';

/** Properties that are equal for all attempts of one request. */
export interface RequestContent {
  /** Customer that sends it; undefined where a route requires no key. */
  readonly customer: string | undefined;
  readonly authority: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly body: Buffer | undefined;
}

/** Length of a fingerprint in hexadecimal digits. */
const FINGERPRINT_DIGITS = 16;

/**
 * Returns a fingerprint that is the same for each attempt of a request, at
 * every entry and in every release, and differs between customers.
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
