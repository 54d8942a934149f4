/** An endpoint over a plain socket that simulates failures for tests. */
import {createServer, type AddressInfo, type Socket} from 'node:net';

/** A received request. */
export interface Arrival {
  readonly attemptId: string;
  readonly lastEventId: string | undefined;
}

export interface TestEndpoint {
  readonly address: string;
  readonly arrivals: readonly Arrival[];
  close(): void;
}

/** Handles one request. */
export type Behaviour = (socket: Socket, arrival: Arrival) => void;

/**
 * Returns a behaviour that runs the given ones in turn, and the last one from
 * then on, over all endpoints that share it.
 *
 * @example
 * const shared = inTurn([resets, answers('ok')]);
 */
export function inTurn(behaviours: readonly Behaviour[]): Behaviour {
  let count = 0;
  return (socket, arrival) => {
    const index = Math.min(count, behaviours.length - 1);
    count += 1;
    behaviours[index]!(socket, arrival);
  };
}

/**
 * Starts an endpoint with the same behaviour for all requests.
 *
 * @example
 * const endpoint = await startTestEndpoint(answers('hello'));
 */
export async function startTestEndpoint(
  behaviour: Behaviour,
): Promise<TestEndpoint> {
  const arrivals: Arrival[] = [];
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', bytes => {
      const text = bytes.toString('latin1');
      const arrival = {
        attemptId: header(text, 'attempt') ?? '',
        lastEventId: header(text, 'last-event'),
      };
      arrivals.push(arrival);
      behaviour(socket, arrival);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    arrivals,
    close() {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
}

function header(text: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\r$`, 'im').exec(text)?.[1];
}

/** Sends a response with a content length. */
export function answers(body: string, status = 200, id?: string): Behaviour {
  return (socket, {attemptId}) =>
    socket.write(
      `HTTP/1.1 ${status} X\r\nattempt: ${id ?? attemptId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
}

/** Sends a response that guarantees that the request was not run. */
export const declines: Behaviour = (socket, {attemptId}) =>
  socket.write(
    `HTTP/1.1 503 X\r\nattempt: ${attemptId}\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n`,
  );

/** Resets the connection without a response. */
export const resets: Behaviour = socket => socket.resetAndDestroy();

/** Streams the events of these ids; `end` is how the stream ends. */
export function streams(
  first: number,
  last: number,
  end: 'whole' | 'cut',
): Behaviour {
  return (socket, {attemptId}) => {
    socket.write(
      `HTTP/1.1 200 X\r\nattempt: ${attemptId}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
    );
    for (let id = first; id <= last; id++) {
      const event = `id: ${id}\ndata: ${id}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
    const half = 'id: 99\nda';
    socket.write(
      end === 'whole'
        ? '0\r\n\r\n'
        : `${half.length.toString(16)}\r\n${half}\r\n`,
      () => end === 'cut' && socket.end(),
    );
  };
}
