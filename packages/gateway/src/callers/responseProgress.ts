/** Closes connections whose bytes do not add up to responses. */
import type {Socket} from 'node:net';

export interface ResponseProgress {
  /** Watches a connection; to be called before undici reads from it. */
  watch(socket: Socket): void;
  /**
   * Records that the bytes that were read last were part of a response. To be
   * called from the callbacks of undici, which follow the read in the same turn.
   */
  record(): void;
}

/**
 * Maximum size of consecutive reads that are no part of a head or body, in bytes.
 * A faulty endpoint may send such bytes without end: undici skips empty lines,
 * the text of a status line and the extensions of chunks.
 */
const MAX_IDLE_BYTES = 256 * 1024;

/**
 * Creates the record of the connections of one process.
 *
 * @example
 * progress.watch(socket);
 * const handler = {onResponseEnd: () => progress.record()};
 */
export function createResponseProgress(): ResponseProgress {
  let onDidProgress = () => {};

  return {
    watch(socket) {
      const read = socket.read.bind(socket);
      let idleBytes = 0;
      const restart = () => (idleBytes = 0);
      socket.read = size => {
        if (idleBytes > MAX_IDLE_BYTES) {
          socket.destroy(
            new Error(`${MAX_IDLE_BYTES} bytes were no part of a response`),
          );
          return null;
        }
        const chunk = read(size) as Buffer | null;
        idleBytes += chunk?.length ?? 0;
        onDidProgress = restart;
        return chunk;
      };
    },
    record: () => onDidProgress(),
  };
}
