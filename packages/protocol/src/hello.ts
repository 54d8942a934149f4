/** Hello messages that open a connection, and comparison of keys. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {PROTOCOL_VERSION} from './contracts.js';

/** First frame of each side of a connection. */
export interface Hello {
  readonly id: string;
  readonly incarnation: number;
  readonly protocolVersion: number;
  /** Only from the accepting side; the dialing side sends it in a header. */
  readonly key?: string;
}

/** Adjacent versions run side by side during a rolling restart. */
const MAX_VERSION_SKEW = 1;

/**
 * Compares two secrets in constant time.
 *
 * @example
 * if (!isSameKey(given, expected)) { reject(); }
 */
export function isSameKey(given: string, expected: string): boolean {
  return timingSafeEqual(sha256(given), sha256(expected));
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
