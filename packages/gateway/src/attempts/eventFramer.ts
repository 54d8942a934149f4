/**
 * Splits a stream of server-sent events into complete events.
 *
 * An endpoint may fail in the middle of an event. If the partial event were
 * passed on, the caller would read it and the first event of the resumed stream
 * as a single event, so only complete events are passed on.
 */

import {createByteCollector} from '@skylarkfield/base';

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
  /** Returns the bytes after the last complete event. */
  remainder(): Buffer;
  /** Number of the bytes after the last complete event. */
  remainderBytes(): number;
  /**
   * Whether an event has begun and is not complete. Comments, empty lines and
   * a byte order mark do not begin an event.
   */
  isInsideEvent(): boolean;
}

/**
 * End of a line and the empty line after it. A carriage return at the end of the
 * bytes waits for its line feed, unless the lines have none.
 */
const EVENT_END = /\r\r\n?|(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r(?!$))/g;

/**
 * Maximum size of an event, in bytes. A faulty endpoint may send an event without
 * end, which would be kept until the deadline of its request.
 */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** Bytes of the longest end of an event that may precede a chunk. */
const TAIL_BYTES = 3;

const NO_BYTES = Buffer.alloc(0);

/** Start of a line that is neither empty nor a comment. */
const FIELD = /^[^:\r\n]/m;

/** Byte order mark of UTF-8, decoded as Latin-1. */
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';

/**
 * Creates a framer with an empty buffer.
 *
 * @example
 * for (const frame of framer.push(chunk)) { response.write(frame.bytes); }
 */
export function createEventFramer(): EventFramer {
  /** Bytes after the last complete event. */
  const buffered = createByteCollector();
  /** The last of these bytes, which may belong to the end of an event. */
  let tail: Buffer = NO_BYTES;
  let isFirstEvent = true;

  function append(chunk: Buffer): void {
    buffered.push(chunk);
    const end =
      chunk.length < TAIL_BYTES ? Buffer.concat([tail, chunk]) : chunk;
    tail = end.subarray(-TAIL_BYTES);
  }

  /** Whether the chunk completes an event. Reads no earlier bytes again. */
  function completesEvent(chunk: Buffer): boolean {
    const text = Buffer.concat([tail, chunk]).toString('latin1');
    return text.search(EVENT_END) >= 0;
  }

  /** Splits the complete events off the bytes and buffers the others. */
  function takeFrames(bytes: Buffer): EventFrame[] {
    // Latin-1 has one character per byte, so positions are those of the bytes.
    const text = bytes.toString('latin1');
    const frames: EventFrame[] = [];
    let start = 0;
    for (const match of text.matchAll(EVENT_END)) {
      const end = match.index + match[0].length;
      frames.push({
        bytes: bytes.subarray(start, end),
        id: parseEventId(text.slice(start, end)),
      });
      start = end;
    }
    buffered.clear();
    if (start < bytes.length) {
      tail = NO_BYTES;
      append(bytes.subarray(start));
    }
    isFirstEvent &&= frames.length === 0;
    return frames;
  }

  return {
    push(chunk) {
      if (buffered.sizeBytes() === 0) {
        return takeFrames(chunk);
      }
      const isComplete = completesEvent(chunk);
      append(chunk);
      return isComplete ? takeFrames(buffered.bytes()) : [];
    },
    remainder: buffered.bytes,
    remainderBytes: buffered.sizeBytes,
    isInsideEvent() {
      const text = buffered.bytes().toString('latin1');
      return FIELD.test(isFirstEvent ? withoutByteOrderMark(text) : text);
    },
  };
}

/** Removes a byte order mark, or its beginning if the text ends within it. */
function withoutByteOrderMark(text: string): string {
  return BYTE_ORDER_MARK.startsWith(text)
    ? ''
    : text.replace(BYTE_ORDER_MARK, '');
}

const ID_LINE = /^id: ?(\d+)\s*$/m;

function parseEventId(text: string): number | undefined {
  const match = ID_LINE.exec(text);
  return match === null ? undefined : Number(match[1]);
}
