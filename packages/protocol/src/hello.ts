/** Hello messages that open a connection, and comparison of keys. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {PROTOCOL_VERSION} from './contracts.js';

/** Body of the first frame that each side sends on a connection. */
export interface Hello {
  readonly id: string;
  readonly incarnation: number;
  readonly protocolVersion: number;
  /** Set by the accepting side; the dialing side sends its key in a header. */
  readonly key?: string;
}

/** Adjacent protocol versions run side by side during a rolling restart. */
const MAX_VERSION_SKEW = 1;

/**
 * Compares two secrets in constant time.
 *
 * @example
 * if (!isSameKey(receivedKey, innerKey)) { reject(); }
 */
export function isSameKey(actualKey: string, expectedKey: string): boolean {
  return timingSafeEqual(sha256(actualKey), sha256(expectedKey));
}

/**
 * Parses a hello; returns an error message if it is invalid.
 *
 * @example
 * const hello = parseHello(frame.body);
 * if (typeof hello === 'string') { reject(socket, hello); }
 */
export function parseHello(body: unknown): Hello | string {
  const hello = (body ?? {}) as Partial<Hello>;
  if (typeof hello.id !== 'string' || hello.id === '') {
    return 'the hello has no id';
  }
  if (typeof hello.incarnation !== 'number') {
    return 'the hello has no incarnation';
  }
  const version = Number(hello.protocolVersion);
  const isCompatible = Math.abs(version - PROTOCOL_VERSION) <= MAX_VERSION_SKEW;
  if (!isCompatible) {
    return `protocol version ${version} is incompatible with ${PROTOCOL_VERSION}`;
  }
  const {id, incarnation, key} = hello;
  return {id, incarnation, protocolVersion: version, key: String(key ?? '')};
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
