/** Collects the bytes of a body that arrives in chunks. */

export interface ByteCollector {
  push(chunk: Uint8Array): void;
  /** Number of the collected bytes. */
  sizeBytes(): number;
  /** Returns the collected bytes in one piece. */
  bytes(): Buffer;
  clear(): void;
}

/**
 * Number of chunks that are joined to one. A sender can send each byte in a chunk
 * of its own, and an object for each byte takes a hundred times its memory.
 */
const JOINED_CHUNKS = 256;

/**
 * Creates an empty collector. Its memory is proportional to the collected bytes,
 * however small their chunks are.
 *
 * @example
 * const collector = createByteCollector();
 * body.on('data', collector.push);
 * body.once('end', () => resolve(collector.bytes()));
 */
export function createByteCollector(): ByteCollector {
  let joined: Uint8Array[] = [];
  let chunks: Uint8Array[] = [];
  let size = 0;
  return {
    push(chunk) {
      size += chunk.length;
      chunks.push(chunk);
      if (chunks.length === JOINED_CHUNKS) {
        joined.push(Buffer.concat(chunks));
        chunks = [];
      }
    },
    sizeBytes: () => size,
    bytes: () => Buffer.concat([...joined, ...chunks]),
    clear() {
      joined = [];
      chunks = [];
      size = 0;
    },
  };
}
