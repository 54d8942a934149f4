/**
 * Cuts a stream of server-sent events into whole events.
 *
 * An endpoint may stop in the middle of an event. Passed on as it came, half an
 * event would stand before the first one of the endpoint that goes on, and the
 * caller would read two as one; so only whole events are passed on.
 */

/** One event with its bytes as they came, the empty line included. */
export interface EventFrame {
  readonly bytes: Buffer;
  /** Undefined for an event without an id, like a comment. */
  readonly id: number | undefined;
}

export interface EventFramer {
  /** Events that the bytes complete. */
  push(chunk: Buffer): EventFrame[];
  /** Bytes of an event that is not complete. */
  remainder(): Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Makes a cutter with nothing pending.
 *
 * @example
 * for (const frame of frames.push(chunk)) { response.write(frame.bytes); }
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

/** Position after the first empty line; 0 when there is none yet. */
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
