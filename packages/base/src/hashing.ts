/** Stable hashes, the same in every process. */
import murmurhash from 'murmurhash';

const TWO_TO_32 = 0x1_0000_0000;
const encoder = new TextEncoder();

/**
 * Returns a 32-bit hash of a text, the same in every process and release.
 *
 * @example
 * hash32('booking/order-17') % shardCount;
 */
export function hash32(text: string, seed = 0): number {
  return murmurhash.v3(encoder.encode(text), seed);
}

/**
 * Returns the hash of a text as a fraction in [0, 1).
 *
 * @example
 * const usesCandidate = hashFraction(`${move}/${session}`) < share;
 */
export function hashFraction(text: string, seed = 0): number {
  return hash32(text, seed) / TWO_TO_32;
}

/**
 * Orders nodes by rendezvous (highest random weight) hashing for a key:
 * removing a node reassigns only the keys of that node.
 *
 * @example
 * const [owner, successor] = rendezvousOrder('shard-3', memberIds);
 */
export function rendezvousOrder(
  key: string,
  nodes: readonly string[],
): string[] {
  return nodes
    .map(node => ({node, score: hash32(`${key}\u0000${node}`)}))
    .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
    .map(scored => scored.node);
}
