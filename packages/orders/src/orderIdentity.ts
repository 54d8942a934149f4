/** How orders are told apart, and which shard holds each. */
import {createHash} from 'node:crypto';
import {hash32, type Random} from '@skylarkfield/base';
import type {Order} from './contracts.js';

const DIGEST_CHARACTERS = 22;
const HEX = 16;
const RANDOM_GROUPS = 4;
const RANDOM_GROUP_MAX = 0xffff_ffff;

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
export function orderPrint(order: Order): string {
  return digest([order.service, order.fingerprint]);
}

/**
 * A text that no other order or forwarding has.
 *
 * @example
 * const id = uniqueText(random);
 */
export function uniqueText(random: Random): string {
  const groups = Array.from({length: RANDOM_GROUPS}, () =>
    random.integer(0, RANDOM_GROUP_MAX).toString(HEX),
  );
  return groups.join('.');
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
    .slice(0, DIGEST_CHARACTERS);
}
