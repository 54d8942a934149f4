/** How orders are told apart, and which shard holds each. */
import {createHash} from 'node:crypto';
import {hash32, type Random} from '@skylarkfield/base';
import type {Order} from './contracts.js';

const DIGEST_LENGTH = 22;
const HEX_RADIX = 16;
const RANDOM_WORDS = 4;
const MAX_RANDOM_WORD = 0xffff_ffff;

/**
 * Digest of a customer and its key: 132 bits, so that no two keys share a claim.
 * The key itself never gets into the ledger, a dump or a message.
 *
 * @example
 * const id = orderId('chain', 'order-17');
 */
export function orderId(customer: string, key: string): string {
  return digest([customer, key]);
}

/**
 * Digest of what the key stands for; the same key for another service or with
 * another body has another print.
 *
 * @example
 * const print = orderPrint(order);
 */
export function requestDigest(order: Order): string {
  return digest([order.service, order.fingerprint]);
}

/**
 * A text that no other order or forwarding has.
 *
 * @example
 * const id = uniqueText(random);
 */
export function randomId(random: Random): string {
  const words = Array.from({length: RANDOM_WORDS}, () =>
    random.integer(0, MAX_RANDOM_WORD).toString(HEX_RADIX),
  );
  return words.join('.');
}

/**
 * The shard that holds an order; every entry computes the same.
 *
 * @example
 * const shard = shardOf(id, 8);
 */
export function shardOf(id: string, shardCount: number): number {
  return hash32(id) % shardCount;
}

function digest(parts: readonly string[]): string {
  // JSON keeps ['a', 'bc'] and ['ab', 'c'] apart.
  return createHash('sha256')
    .update(JSON.stringify(parts))
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
}
