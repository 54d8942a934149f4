/**
 * Splits a stream of server-sent events into complete events.
 *
 * An endpoint may fail in the middle of an event. If the partial event were
 * passed on, the caller would read it and the first event of the resumed stream
 * as one, so only complete events are passed on.
 */

/** One event with its raw bytes, the terminating empty line included. */
export interface EventFrame {
  readonly bytes: Buffer;
  /** Undefined for an event without an id, such as a comment. */
  readonly id: number | undefined;
}

export interface EventFramer {
  /** Returns the events that the chunk completes. */
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
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const frames: EventFrame[] = [];
      let end = endOfEvent(pending);
      while (end > 0) {
        const bytes = pending.subarray(0, end);
        frames.push({bytes, id: eventId(bytes)});
        pending = pending.subarray(end);
        end = endOfEvent(pending);
      }
      return frames;
    },
    remainder: () => pending,
  };
}

/** Returns the position after the first empty line; 0 if there is none yet. */
function endOfEvent(bytes: Buffer): number {
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    let next = at + 1;
    if (bytes[next] === CARRIAGE_RETURN) {
      next += 1;
    }
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return 0;
}

const ID_LINE = /^id: ?(\d+)\s*$/m;

function eventId(bytes: Buffer): number | undefined {
  const found = ID_LINE.exec(bytes.toString('latin1'));
  return found === null ? undefined : Number(found[1]);
}
