/** How the end of an HTTP response is marked, and whether it was received. */
import type {Socket} from 'node:net';
import {endPausedResponses} from './pausedResponses.js';

/**
 * Mark of the end of a response: its length, its last chunk, only the close of
 * its connection, or its head if it has no body.
 */
export type ResponseFraming = 'length' | 'chunks' | 'close' | 'head';

/** Statuses of responses without a body: 204 and 304. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns the framing of the response to a request; header names are in lower
 * case.
 *
 * @example
 * framingOf('GET', 200, {'content-length': '5'}); // 'length'
 */
export function framingOf(
  method: string,
  status: number,
  headers: Readonly<Record<string, unknown>>,
): ResponseFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    return 'head';
  }
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunks';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * How a connection ends in the current turn of the event loop: not at all,
 * closed in order, or by a reset or an error.
 */
type ConnectionEnd = 'none' | 'closed' | 'failed';

/** Tells complete responses from those that their connection broke off. */
export interface ResponseEnds {
  /**
   * Watches a connection, whose end also ends a paused response; to be called
   * before undici adds its listeners.
   */
  watch(socket: Socket): void;
  /** Whether the response that undici reports as complete is complete. */
  isComplete(framing: ResponseFraming): boolean;
  /**
   * Closes the connection of the response that undici reports as complete if its
   * request is still being sent. The endpoint may read no more of it, or take the
   * rest for the next request.
   */
  closeIfSending(): void;
}

/**
 * For each framing, whether a response that undici reports as complete is
 * really complete, given how its connection ends.
 */
const isCompleteByFraming: Readonly<
  Record<ResponseFraming, (end: ConnectionEnd) => boolean>
> = {
  // undici itself compares the length with the received bytes.
  length: () => true,
  chunks: end => end === 'none',
  close: end => end === 'closed',
  head: () => true,
};

/**
 * Creates a record of how the connections of one process end.
 *
 * If a response announces that its connection will be closed, undici treats any
 * end of the connection as the end of the response, even a reset or a close in
 * the middle of a chunk, and a truncated response would be passed on as
 * complete. The listeners added by `watch` run before undici's own listeners, in
 * the same turn.
 *
 * @example
 * const ends = createResponseEnds();
 * ends.watch(socket);
 * if (!ends.isComplete('chunks')) { fail(); }
 */
export function createResponseEnds(): ResponseEnds {
  let connectionEnd: ConnectionEnd = 'none';
  /** Connection whose bytes undici processes. */
  let activeSocket: Socket | undefined;

  function setEnd(end: ConnectionEnd): void {
    connectionEnd = end;
    queueMicrotask(() => (connectionEnd = 'none'));
  }

  return {
    watch(socket) {
      const read = socket.read.bind(socket);
      socket.read = size => {
        activeSocket = socket;
        return read(size) as unknown;
      };
      socket.on('end', () => {
        activeSocket = socket;
        setEnd(isReset(socket) ? 'failed' : 'closed');
      });
      socket.on('error', () => {
        activeSocket = socket;
        setEnd('failed');
      });
      endPausedResponses(socket);
    },
    isComplete: framing => isCompleteByFraming[framing](connectionEnd),
    closeIfSending() {
      if (activeSocket !== undefined && activeSocket.writableLength > 0) {
        activeSocket.destroy();
      }
    },
  };
}

/**
 * Whether a connection that appears closed in order was reset: if a reset
 * arrives together with data, libuv reports an end of data and does not read
 * the error. The remote address is not available after a reset. Node caches the
 * address, so this check requires that no code has read the address before.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
