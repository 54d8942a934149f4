/** Bounds what a client can make an HTTP server do with what it sends ahead. */
import http from 'node:http';
import https from 'node:https';
import type {Socket} from 'node:net';
import {resetConnection} from './connectionReset.js';
import {createReadSchedule, type ReadSchedule} from './readSchedule.js';
import {findSliceEnd} from './readSlices.js';
import {
  createUnreadResponses,
  type UnreadResponses,
} from './unreadResponses.js';

export interface ConnectionGuard {
  /**
   * Class of the server's responses; it also tells of requests that Node answers
   * without an event.
   */
  readonly ServerResponse: typeof http.ServerResponse;
  /** Guards the connections of a server that has this guard's responses. */
  attach(server: http.Server | https.Server): void;
  /** Leaves a connection to others after its upgrade. */
  release(socket: object): void;
}

/** Limits of one connection. */
export interface ConnectionLimits {
  /** Number of requests without a complete response. */
  readonly unansweredRequests: number;
}

interface GuardedConnection {
  begin(response: http.ServerResponse): void;
  release(): void;
}

/** What the connections of a server share. */
interface GuardParts {
  readonly schedule: ReadSchedule;
  readonly unreadResponses: UnreadResponses;
  readonly limits: ConnectionLimits;
  onDidClose(unansweredCount: number): void;
}

const DEFAULT_LIMITS: ConnectionLimits = {unansweredRequests: 16};

/**
 * Creates the guard of a server. Node parses all bytes of a read, up to 64 KiB, at
 * once and makes a request of each head in it. A guarded connection passes the
 * bytes on in slices, and is reset after a slice that exceeds its limits, or if too
 * much waits for the readers of all connections. `onDidClose` is called with the
 * number of its unanswered requests then.
 *
 * @example
 * const guard = createConnectionGuard(count => log.warn({count}, 'closed'));
 * const server = http.createServer({ServerResponse: guard.ServerResponse});
 * guard.attach(server);
 */
export function createConnectionGuard(
  onDidClose: (unansweredCount: number) => void,
  limits = DEFAULT_LIMITS,
): ConnectionGuard {
  const connections = new WeakMap<object, GuardedConnection>();
  const parts = {
    schedule: createReadSchedule(setImmediate),
    unreadResponses: createUnreadResponses(),
    limits,
    onDidClose,
  };

  function createResponse(
    ...parameters: ConstructorParameters<typeof http.ServerResponse>
  ): http.ServerResponse {
    const response = new http.ServerResponse(...parameters);
    connections.get(response.req.socket)?.begin(response);
    return response;
  }

  return {
    ServerResponse: createResponse as never,
    attach(server) {
      const event =
        server instanceof https.Server ? 'secureConnection' : 'connection';
      server.on(event, (socket: Socket) =>
        connections.set(socket, guardConnection(socket, parts)),
      );
    },
    release: socket => connections.get(socket)?.release(),
  };
}

/** Takes the reads of a connection over from Node's HTTP server. */
function guardConnection(
  socket: Socket,
  {schedule, unreadResponses, limits, onDidClose}: GuardParts,
): GuardedConnection {
  const push = socket.push.bind(socket);
  const read = socket._read.bind(socket);
  const openResponses = new Set<http.ServerResponse>();
  /** Bytes that were received and not passed on; `null` is the end. */
  let held: Array<Buffer | null> = [];
  let isReleased = false;

  const reads = {passOn, hasMore, heldBytes, close};
  const writes = {unreadBytes, close};

  /** Passes on held bytes until the reader pauses. */
  function passOn(maxSlices: number): number {
    let count = 0;
    while (hasMore() && (count < maxSlices || isReleased)) {
      count += 1;
      push(takeSlice());
      if (openResponses.size > limits.unansweredRequests && !isReleased) {
        close();
      }
    }
    return count;
  }

  function hasMore(): boolean {
    return held.length > 0 && isFlowing() && !socket.destroyed;
  }

  function heldBytes(): number {
    return held.reduce(
      (sum, bytes) => sum + (bytes?.buffer.byteLength ?? 0),
      0,
    );
  }

  function close(): void {
    onDidClose(openResponses.size);
    held = [];
    resetConnection(socket);
  }

  function unreadBytes(): number {
    let sumBytes = 0;
    for (const {writableLength} of openResponses) {
      sumBytes += writableLength;
    }
    return sumBytes;
  }

  function isFlowing(): boolean {
    return isReleased || socket.readableFlowing !== false;
  }

  function takeSlice(): Buffer | null {
    const first = held[0] ?? null;
    const end =
      first === null || isReleased ? undefined : findSliceEnd(first, 0);
    if (first === null || end === undefined || end === first.length) {
      held.shift();
      return first;
    }
    held[0] = first.subarray(end);
    return first.subarray(0, end);
  }

  function mayRead(): boolean {
    return held.length === 0 && isFlowing();
  }

  function onDidCloseResponse(this: http.ServerResponse): void {
    openResponses.delete(this);
  }

  /** Node closes only the response that is being sent. */
  function closeResponses(): void {
    for (const response of openResponses) {
      response.destroy();
      response.emit('close');
    }
  }

  // A listener makes Node's server parse what the socket emits, not its handle.
  socket.on('data', ignore).off('data', ignore);
  socket.push = (chunk: Buffer | null) => {
    if (isReleased && held.length === 0) {
      return push(chunk);
    }
    held.push(chunk);
    schedule.passOnReceived(reads);
    return mayRead();
  };
  socket._read = size => {
    if (mayRead()) {
      read(size);
    }
  };
  socket.on('resume', () => {
    if (hasMore()) {
      schedule.wait(reads);
    } else if (mayRead() && !socket.destroyed) {
      read(0);
    }
  });
  socket.once('close', () => {
    held = [];
    schedule.remove(reads);
    unreadResponses.remove(writes);
    process.nextTick(closeResponses);
  });
  return {
    begin(response) {
      openResponses.add(response);
      response.on('close', onDidCloseResponse);
      const end = response.end.bind(response) as (
        ...parameters: unknown[]
      ) => http.ServerResponse;
      response.end = (...parameters: unknown[]) => {
        end(...parameters);
        unreadResponses.record(writes);
        return response;
      };
    },
    release: () => (isReleased = true),
  };
}

function ignore(): void {}
