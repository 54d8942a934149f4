/**
 * Reads bodies that another party sends, within bounds of size and time: a faulty
 * sender may send bytes without end, or so slowly that they never end.
 */
import type {Readable} from 'node:stream';
import {createByteCollector} from './byteCollector.js';
import type {Clock} from './clock.js';
import type {Disposable} from './disposables.js';
import {ServingError} from './errors.js';

/** Bounds of a body, or of one line of a stream. */
export interface ReadBounds {
  readonly maxBytes: number;
  /** Time from the head, or from the first byte of the line. */
  readonly timeoutMs: number;
}

/** Ends a body that exceeds its bounds. */
interface BoundsGuard extends Disposable {
  /** Counts received bytes; throws if there are too many. */
  add(sizeBytes: number): void;
}

/**
 * Reads a whole body as UTF-8. Destroys it and throws `protocol-violation` as soon
 * as it exceeds a bound.
 *
 * @example
 * const text = await readText(response.body, {maxBytes: 65_536, timeoutMs: 5_000}, clock);
 */
export async function readText(
  body: Readable,
  bounds: ReadBounds,
  clock: Clock,
): Promise<string> {
  const collector = createByteCollector();
  const guard = startGuard(body, bounds, clock);
  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      guard.add(chunk.length);
      collector.push(chunk);
    }
    return new TextDecoder().decode(collector.bytes());
  } finally {
    guard.dispose();
  }
}

const LINE_FEED = 0x0a;

/**
 * Reads the lines of a body as UTF-8, without their ends. The bounds apply to each
 * line, not to the time between lines. Destroys the body and throws
 * `protocol-violation` as soon as a line exceeds a bound.
 *
 * @example
 * for await (const line of readLines(response.body, bounds, clock)) { parse(line); }
 */
export async function* readLines(
  body: Readable,
  bounds: ReadBounds,
  clock: Clock,
): AsyncGenerator<string> {
  const collector = createByteCollector();
  let guard: BoundsGuard | undefined;

  function append(part: Uint8Array): void {
    guard ??= startGuard(body, bounds, clock);
    guard.add(part.length);
    collector.push(part);
  }

  function takeLine(): string {
    const line = new TextDecoder().decode(collector.bytes());
    collector.clear();
    guard?.dispose();
    guard = undefined;
    return line.endsWith('\r') ? line.slice(0, -1) : line;
  }

  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      let start = 0;
      for (
        let end = chunk.indexOf(LINE_FEED);
        end >= 0;
        end = chunk.indexOf(LINE_FEED, start)
      ) {
        append(chunk.subarray(start, end));
        yield takeLine();
        start = end + 1;
      }
      if (start < chunk.length) {
        append(chunk.subarray(start));
      }
    }
    if (collector.sizeBytes() > 0) {
      yield takeLine();
    }
  } finally {
    guard?.dispose();
  }
}

/**
 * Time between the last byte that is read of a discarded body and the close of its
 * connection, in milliseconds. A sender that gets a reset while it sends may not
 * read the answer that it already has.
 */
const LINGER_MS = 1_000;

/**
 * Discards the rest of a body that nobody reads, since the next message of its
 * connection comes only after its end. Destroys the body if it exceeds a bound.
 *
 * @example
 * discardBody(request, {maxBytes: limits.bodyBytes, timeoutMs: 10_000}, clock);
 */
export function discardBody(
  body: Readable,
  {maxBytes, timeoutMs}: ReadBounds,
  clock: Clock,
): void {
  if (body.readableEnded || body.destroyed) {
    return;
  }
  let discardedBytes = 0;
  let timer = clock.after(timeoutMs, () => body.destroy());
  body.once('close', () => timer.dispose());
  body.on('data', function onData(chunk: Uint8Array) {
    discardedBytes += chunk.length;
    if (discardedBytes > maxBytes) {
      body.off('data', onData);
      body.pause();
      timer.dispose();
      timer = clock.after(LINGER_MS, () => body.destroy());
    }
  });
  body.resume();
}

function startGuard(
  body: Readable,
  {maxBytes, timeoutMs}: ReadBounds,
  clock: Clock,
): BoundsGuard {
  let receivedBytes = 0;
  const timer = clock.after(timeoutMs, () =>
    body.destroy(boundsError(`it did not end within ${timeoutMs} ms`)),
  );
  return {
    add(sizeBytes) {
      receivedBytes += sizeBytes;
      if (receivedBytes > maxBytes) {
        throw boundsError(`it exceeds ${maxBytes} bytes`);
      }
    },
    dispose: () => timer.dispose(),
  };
}

function boundsError(reason: string): ServingError {
  return new ServingError(
    'protocol-violation',
    `the body was ended: ${reason}`,
  );
}
