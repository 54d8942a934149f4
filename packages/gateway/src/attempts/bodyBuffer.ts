/** Collects the body of a response that is passed on in one piece. */

export interface BodyBuffer {
  /** Appends a chunk. Returns false if the body is longer than permitted. */
  push(chunk: Buffer): boolean;
  bytes(): Buffer;
}

/**
 * Maximum size of a response that is passed on in one piece, in bytes. A faulty
 * endpoint may send bytes without end, and other requests need memory too.
 */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Creates an empty buffer.
 *
 * @example
 * if (!body.push(chunk)) { abort(oversizedError(MAX_BODY_BYTES)); }
 */
export function createBodyBuffer(): BodyBuffer {
  let chunks: Buffer[] = [];
  let receivedBytes = 0;
  return {
    push(chunk) {
      receivedBytes += chunk.length;
      if (receivedBytes > MAX_BODY_BYTES) {
        chunks = [];
        return false;
      }
      chunks.push(chunk);
      return true;
    },
    bytes: () => Buffer.concat(chunks),
  };
}
