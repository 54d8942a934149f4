/** The first message of each side of a connection, and the key that both must hold. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {PROTOCOL_VERSION} from './contracts.js';

/** First frame of each side of a connection. */
export interface Hello {
  readonly id: string;
  readonly incarnation: number;
  readonly protocolVersion: number;
  /** Only from the accepting side: the dialling one gave its key in the request. */
  readonly key?: string;
}

/** A rolling restart has two adjacent versions side by side. */
const VERSION_DISTANCE = 1;

/**
 * Compares secrets in a time that depends on neither of them.
 *
 * @example
 * if (!isSameKey(given, expected)) { refuse(); }
 */
export function isSameKey(given: string, expected: string): boolean {
  return timingSafeEqual(digest(given), digest(expected));
}

/**
 * Reads a hello; a text says what is wrong with it.
 *
 * @example
 * const hello = readHello(frame.body);
 * if (typeof hello === 'string') { cut(hello); }
 */
export function readHello(body: unknown): Hello | string {
  const hello = (body ?? {}) as Partial<Hello>;
  if (typeof hello.id !== 'string' || hello.id === '') {
    return 'the hello has no id';
  }
  if (typeof hello.incarnation !== 'number') {
    return 'the hello has no incarnation';
  }
  const version = Number(hello.protocolVersion);
  const isClose = Math.abs(version - PROTOCOL_VERSION) <= VERSION_DISTANCE;
  if (!isClose) {
    return `protocol version ${version} is not next to ${PROTOCOL_VERSION}`;
  }
  const {id, incarnation, key} = hello;
  return {id, incarnation, protocolVersion: version, key: String(key ?? '')};
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
