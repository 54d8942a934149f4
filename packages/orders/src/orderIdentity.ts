/** Identity of orders, and their assignment to shards. */
import {createHash} from 'node:crypto';
import {hash32, type Random} from '@skylarkfield/base';
import type {Order} from './contracts.js';

const DIGEST_BASE64_LENGTH = 22;
const HEX_RADIX = 16;
const RANDOM_WORD_COUNT = 4;
const MAX_RANDOM_WORD = 0xffff_ffff;

/**
 * Digest of a customer and its idempotency key: 132 bits, so that no two keys
 * share a claim. The key itself is never written to the ledger, a dump or a
 * message.
 *
 * @example
 * const id = orderId('chain', 'order-17');
 */
export function orderId(customer: string, key: string): string {
  return digest([customer, key]);
}

/**
 * Digest of the service and the fingerprint of an order; it must be the same in
 * all orders with one idempotency key.
 *
 * @example
 * const digest = requestDigest(order);
 */
export function requestDigest(order: Order): string {
  return digest([order.service, order.fingerprint]);
}

/**
 * Random id, unique across orders and forwarding attempts.
 *
 * @example
 * const id = randomId(random);
 */
export function randomId(random: Random): string {
  const words = Array.from({length: RANDOM_WORD_COUNT}, () =>
    random.integer(0, MAX_RANDOM_WORD).toString(HEX_RADIX),
  );
  return words.join('.');
}

/**
 * Index of the shard in which an order is recorded; the same in every entry.
 *
 * @example
 * const index = shardIndexOf(id, 8);
 */
export function shardIndexOf(id: string, shardCount: number): number {
  return hash32(id) % shardCount;
}

function digest(parts: readonly string[]): string {
  // JSON distinguishes ['a', 'bc'] from ['ab', 'c'].
  return createHash('sha256')
    .update(JSON.stringify(parts))
    .digest('base64url')
    .slice(0, DIGEST_BASE64_LENGTH);
}
