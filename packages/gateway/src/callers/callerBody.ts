/** Reads the body of a caller's request. */
import type {IncomingMessage} from 'node:http';
import {
  collectBody,
  ServingError,
  type Clock,
  type Disposable,
  type ReadBounds,
  type RequestBodyMemory,
} from '@skylarkfield/base';

/** Body of a request; disposing it returns its memory. */
export interface RequestBody extends Disposable {
  /** Undefined if the request has no body. */
  readonly bytes: Buffer | undefined;
}

const NO_BODY: RequestBody = {bytes: undefined, dispose() {}};

/**
 * Reads the whole body, which is buffered so that it can be sent again to another
 * endpoint. Throws `too-large`, `overloaded` if there is no memory for the body,
 * `deadline-exceeded` if it does not end in time, or `cancelled` if the caller
 * disconnects before its end. The rest of a body that is too large or has found no
 * memory is left unread.
 *
 * @example
 * const body = await readBody(request, {maxBytes: 4_194_304, timeoutMs: 800}, memory, clock, signal);
 * body.dispose();
 */
export function readBody(
  request: IncomingMessage,
  {maxBytes, timeoutMs}: ReadBounds,
  memory: RequestBodyMemory,
  clock: Clock,
  signal: AbortSignal,
): Promise<RequestBody> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (declaredBytes === 0 && !isChunked) {
    return Promise.resolve(NO_BODY);
  }
  if (declaredBytes > maxBytes) {
    return Promise.reject(tooLarge(maxBytes));
  }
  const {body, fail} = collectBody(request, {
    maxBytes,
    memory,
    tooLarge: () => tooLarge(maxBytes),
  });
  const timer = clock.after(Math.max(0, timeoutMs), () =>
    fail(bodyTimeout(timeoutMs)),
  );
  request.once('error', () => fail(callerDisconnected()));
  signal.addEventListener('abort', () => fail(callerDisconnected()), {
    once: true,
  });
  return body.finally(() => timer.dispose());
}

/**
 * Whether a request was rejected with the rest of its body left unread.
 *
 * @example
 * if (leavesBodyUnread(error)) { lingeringBodies.end(request); }
 */
export function leavesBodyUnread({kind}: ServingError): boolean {
  return kind === 'too-large' || kind === 'overloaded';
}

function tooLarge(maxBytes: number): ServingError {
  return new ServingError('too-large', `the body exceeds ${maxBytes} bytes`);
}

function bodyTimeout(timeoutMs: number): ServingError {
  return new ServingError(
    'deadline-exceeded',
    `the body did not end within ${Math.round(timeoutMs)} ms`,
    {run: 'not-run'},
  );
}

function callerDisconnected(): ServingError {
  return new ServingError(
    'cancelled',
    'the caller disconnected while sending the body',
    {
      run: 'not-run',
    },
  );
}
