/** Identifies a request over the attempts of its caller. */
import {createHash} from 'node:crypto';

/** What makes two attempts the same request. */
export interface RequestContent {
  /** The customer that sends it; undefined where a route asks for no key. */
  readonly customer: string | undefined;
  readonly authority: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly body: Buffer | undefined;
}

/** Hexadecimal digits of a fingerprint. */
const DIGITS = 16;

/**
 * Returns a text that is the same for each attempt of a request, at every entry
 * and in every release, and differs between customers.
 *
 * @example
 * const fingerprint = requestFingerprint({customer, authority, method, path, body});
 */
export function requestFingerprint(content: RequestContent): string {
  const {customer = '', authority, method, path, body} = content;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([customer, authority, method, path]));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest('hex').slice(0, DIGITS);
}
