/** Bounds the responses that wait in memory for their readers. */

/** A connection with responses that are not written completely. */
export interface UnreadConnection {
  /** Size of what waits to be written. */
  unreadBytes(): number;
  close(): void;
}

export interface UnreadResponses {
  /** Counts a connection after a response has been passed to it. */
  record(connection: UnreadConnection): void;
  remove(connection: UnreadConnection): void;
}

/** Size from which on the bytes of a connection count. */
const MIN_COUNTED_BYTES = 64 * 1_024;

/** Upper bound of the bytes that wait for all readers. */
const MAX_UNREAD_BYTES = 64 * 1_024 * 1_024;

/**
 * Creates the bound of one server. If the bytes that wait for all readers exceed
 * it, the connection for which most of them wait is closed.
 *
 * @example
 * const unreadResponses = createUnreadResponses();
 * response.end(body);
 * unreadResponses.record(connection);
 */
export function createUnreadResponses(): UnreadResponses {
  const connections = new Set<UnreadConnection>();

  function closeLargest(): void {
    let sumBytes = 0;
    let largestBytes = 0;
    let largest: UnreadConnection | undefined;
    for (const connection of connections) {
      const bytes = connection.unreadBytes();
      sumBytes += bytes;
      if (bytes === 0) {
        connections.delete(connection);
      }
      if (bytes > largestBytes) {
        largestBytes = bytes;
        largest = connection;
      }
    }
    // The largest has at least the bytes that were added last.
    if (sumBytes > MAX_UNREAD_BYTES && largest !== undefined) {
      connections.delete(largest);
      largest.close();
    }
  }

  return {
    record(connection) {
      if (connection.unreadBytes() >= MIN_COUNTED_BYTES) {
        connections.add(connection);
        closeLargest();
      }
    },
    remove: connection => connections.delete(connection),
  };
}
