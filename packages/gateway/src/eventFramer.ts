/**
 * Splits a stream of server-sent events into complete events.
 *
 * An endpoint may fail in the middle of an event. If the partial event were
 * passed on, the caller would read it and the first event of the resumed stream
 * as a single event, so only complete events are passed on.
 */

/** One event with its raw bytes, including the terminating empty line. */
export interface EventFrame {
  readonly bytes: Buffer;
  /**
   * Id of the event; undefined for an event without an id, such as a comment.
   */
  readonly id: number | undefined;
}

export interface EventFramer {
  /** Appends a chunk and returns the events that it completes. */
  push(chunk: Buffer): EventFrame[];
  /** Returns the bytes of the incomplete last event. */
  remainder(): Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Creates a framer with an empty buffer.
 *
 * @example
 * for (const frame of framer.push(chunk)) { response.write(frame.bytes); }
 */
export function createEventFramer(): EventFramer {
  let bufferedBytes: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      bufferedBytes =
        bufferedBytes.length === 0
          ? chunk
          : Buffer.concat([bufferedBytes, chunk]);
      const frames: EventFrame[] = [];
      let eventEnd = findEventEnd(bufferedBytes);
      while (eventEnd > 0) {
        const bytes = bufferedBytes.subarray(0, eventEnd);
        frames.push({bytes, id: parseEventId(bytes)});
        bufferedBytes = bufferedBytes.subarray(eventEnd);
        eventEnd = findEventEnd(bufferedBytes);
      }
      return frames;
    },
    remainder: () => bufferedBytes,
  };
}

/** Returns the position after the first empty line; 0 if there is none. */
function findEventEnd(bytes: Buffer): number {
  let lineFeedIndex = bytes.indexOf(LINE_FEED);
  while (lineFeedIndex >= 0) {
    let nextIndex = lineFeedIndex + 1;
    if (bytes[nextIndex] === CARRIAGE_RETURN) {
      nextIndex += 1;
    }
    if (bytes[nextIndex] === LINE_FEED) {
      return nextIndex + 1;
    }
    lineFeedIndex = bytes.indexOf(LINE_FEED, lineFeedIndex + 1);
  }
  return 0;
}

const ID_LINE = /^id: ?(\d+)\s*$/m;

function parseEventId(bytes: Buffer): number | undefined {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}
