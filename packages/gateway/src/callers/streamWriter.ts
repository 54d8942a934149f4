/** Writes streams to callers so that the end of this process does not complete them. */
import type {ServerResponse} from 'node:http';
import {createByteCollector} from '@skylarkfield/base';

/** Writes the head, the events and the end of one stream. */
export interface StreamWriter {
  /** Whether a head has been passed to `begin`. */
  hasBegun(): boolean;
  begin(status: number, headers: OutgoingHeaders): void;
  /** Returns false if the caller reads too slowly. */
  write(bytes: Buffer): boolean;
  /** Ends the stream after the bytes. */
  end(bytes: Buffer): void;
}

export type OutgoingHeaders = Record<string, string | string[]>;

type WriteHead = (status: number, headers: OutgoingHeaders) => void;

/** Maximum size of a stream that is collected, in bytes. */
const MAX_COLLECTED_BYTES = 1024 * 1024;

/**
 * Creates the writer of a stream. Callers of HTTP/1.1 get chunks; those of
 * HTTP/1.0, who know no mark but a length, get the whole stream at its end.
 *
 * @example
 * const writer = createStreamWriter(response, writeHead);
 * writer.begin(200, headers);
 */
export function createStreamWriter(
  response: ServerResponse,
  writeHead: WriteHead,
): StreamWriter {
  return response.req.httpVersion === '1.0'
    ? createCollectingWriter(response, writeHead)
    : createChunkWriter(response, writeHead);
}

function createChunkWriter(
  response: ServerResponse,
  writeHead: WriteHead,
): StreamWriter {
  return {
    hasBegun: () => response.headersSent,
    begin: writeHead,
    write: bytes => response.write(bytes),
    end: bytes => void response.end(bytes.length > 0 ? bytes : undefined),
  };
}

function createCollectingWriter(
  response: ServerResponse,
  writeHead: WriteHead,
): StreamWriter {
  const collector = createByteCollector();
  let writeCollectedHead: ((length: number) => void) | undefined;

  function collect(bytes: Buffer): void {
    if (collector.sizeBytes() + bytes.length > MAX_COLLECTED_BYTES) {
      collector.clear();
      response.destroy();
      return;
    }
    collector.push(bytes);
  }

  return {
    hasBegun: () => writeCollectedHead !== undefined || response.headersSent,
    begin(status, headers) {
      writeCollectedHead ??= length =>
        writeHead(status, {...headers, 'content-length': String(length)});
    },
    write(bytes) {
      collect(bytes);
      return true;
    },
    end(bytes) {
      collect(bytes);
      if (!response.destroyed) {
        writeCollectedHead?.(collector.sizeBytes());
        response.end(collector.bytes());
      }
    },
  };
}
