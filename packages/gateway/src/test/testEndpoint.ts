/** An endpoint on a plain TCP socket that simulates failures for tests. */
import {createServer, type AddressInfo, type Socket} from 'node:net';

/** The headers of a received request that tests check. */
export interface ReceivedRequest {
  readonly attemptId: string;
  readonly lastEventId: string | undefined;
}

export interface TestEndpoint {
  readonly address: string;
  readonly receivedRequests: readonly ReceivedRequest[];
  close(): void;
}

/** Responds to one request, or fails. */
export type Behaviour = (socket: Socket, request: ReceivedRequest) => void;

/**
 * Returns a behaviour that runs the given behaviours in turn, one per request,
 * and repeats the last behaviour after that. Endpoints may share the result.
 *
 * @example
 * const behaviour = runInTurn([resetConnection, respondWith('ok')]);
 */
export function runInTurn(behaviours: readonly Behaviour[]): Behaviour {
  let requestCount = 0;
  return (socket, request) => {
    const index = Math.min(requestCount, behaviours.length - 1);
    requestCount += 1;
    behaviours[index]!(socket, request);
  };
}

/**
 * Starts an endpoint with the same behaviour for all requests.
 *
 * @example
 * const endpoint = await startTestEndpoint(respondWith('hello'));
 */
export async function startTestEndpoint(
  behaviour: Behaviour,
): Promise<TestEndpoint> {
  const receivedRequests: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', bytes => {
      const text = bytes.toString('latin1');
      const request = {
        attemptId: readHeader(text, 'attempt') ?? '',
        lastEventId: readHeader(text, 'last-event'),
      };
      receivedRequests.push(request);
      behaviour(socket, request);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    receivedRequests,
    close() {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
}

function readHeader(text: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\r$`, 'im').exec(text)?.[1];
}

/** Sends a complete response; the attempt id defaults to the request's. */
export function respondWith(
  body: string,
  status = 200,
  attemptIdInResponse?: string,
): Behaviour {
  return (socket, {attemptId}) =>
    socket.write(
      `HTTP/1.1 ${status} X\r\nattempt: ${attemptIdInResponse ?? attemptId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
}

/** Responds that the request was not run and will not be run. */
export const declineRequest: Behaviour = (socket, {attemptId}) =>
  socket.write(
    `HTTP/1.1 503 X\r\nattempt: ${attemptId}\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n`,
  );

/** Resets the connection without sending a response. */
export const resetConnection: Behaviour = socket => socket.resetAndDestroy();

/**
 * Streams the events from `first` to `last`, then ends the response, closes the
 * connection in the middle of another event, or sends neither a length nor chunks
 * and closes the connection after the last event.
 */
export function streamEvents(
  first: number,
  last: number,
  ending: 'whole' | 'cut' | 'unmarked',
): Behaviour {
  return (socket, {attemptId}) => {
    const framing =
      ending === 'unmarked' ? '' : 'Transfer-Encoding: chunked\r\n';
    socket.write(
      `HTTP/1.1 200 X\r\nattempt: ${attemptId}\r\nContent-Type: text/event-stream\r\n${framing}\r\n`,
    );
    for (let id = first; id <= last; id++) {
      const event = `id: ${id}\ndata: ${id}\n\n`;
      socket.write(
        ending === 'unmarked'
          ? event
          : `${event.length.toString(16)}\r\n${event}\r\n`,
      );
    }
    if (ending === 'unmarked') {
      socket.end();
      return;
    }
    const partialEvent = 'id: 99\nda';
    socket.write(
      ending === 'whole'
        ? '0\r\n\r\n'
        : `${partialEvent.length.toString(16)}\r\n${partialEvent}\r\n`,
      () => ending === 'cut' && socket.end(),
    );
  };
}
