/** Cuts received bytes into slices that cost a bounded time to parse. */

/**
 * Size of a slice from which on it ends at the next blank line, in bytes. The
 * shortest head of a request has 18 bytes.
 */
const MIN_SLICE_BYTES = 512;

/**
 * Upper bound of the lines of a slice. Each line may be the head of a chunk, which
 * costs as much as many bytes.
 */
const MAX_SLICE_LINES = 128;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Returns the end of the slice that begins at `start`: behind a blank line, which
 * ends a head, behind the last line that it may have, or the end of the bytes.
 *
 * @example
 * const slice = bytes.subarray(start, findSliceEnd(bytes, start));
 */
export function findSliceEnd(bytes: Buffer, start: number): number {
  let position = start;
  for (let lineCount = 0; lineCount < MAX_SLICE_LINES; lineCount++) {
    const lineEnd = bytes.indexOf(LINE_FEED, position);
    if (lineEnd < 0) {
      return bytes.length;
    }
    const isBlank =
      lineEnd === position ||
      (lineEnd === position + 1 && bytes[position] === CARRIAGE_RETURN);
    position = lineEnd + 1;
    if (isBlank && position - start >= MIN_SLICE_BYTES) {
      return position;
    }
  }
  return position;
}
