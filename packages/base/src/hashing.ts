/** Stable hashes, the same in every process. */
import murmurhash from 'murmurhash';

const TWO_TO_32 = 0x1_0000_0000;
const encoder = new TextEncoder();

/** Longest text whose bytes are written to a reused buffer. */
const MAX_REUSED_LENGTH = 128;
const MAX_ASCII_CODE = 127;
/** Buffers for short ASCII texts, by length. */
const reusedBuffers: Uint8Array[] = [];

/**
 * Returns the UTF-8 bytes of a text, valid until the next call. Most hashed
 * texts are short ids, for which a call of the encoder takes several times as
 * long as the hash.
 */
function toBytes(text: string): Uint8Array {
  if (text.length > MAX_REUSED_LENGTH) {
    return encoder.encode(text);
  }
  const bytes = (reusedBuffers[text.length] ??= new Uint8Array(text.length));
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code > MAX_ASCII_CODE) {
      return encoder.encode(text);
    }
    bytes[index] = code;
  }
  return bytes;
}

/**
 * Returns a 32-bit hash of a text, the same in every process and release.
 *
 * @example
 * hash32('booking/order-17') % shardCount;
 */
export function hash32(text: string, seed = 0): number {
  return murmurhash.v3(toBytes(text), seed);
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
