/** Ends of connections whose responses are paused. */
import type {Socket} from 'node:net';

/** Parser of the responses on a connection; internal to undici. */
interface ResponseParser {
  paused: boolean;
  readonly ptr: number;
  readonly llhttp: {llhttp_resume(ptr: number): void};
}

/** Description of the symbol under which undici keeps the parser of a connection. */
const PARSER_SYMBOL_NAME = 'parser';

/** Code of the errors with which undici itself fails a connection. */
const FAILED_CONNECTION_CODE = 'UND_ERR_SOCKET';

/**
 * Lets a response fail or complete if its connection ends while it is paused; to
 * be called before undici adds its listeners.
 *
 * If a response announces that its connection will be closed, undici takes the
 * close or the reset of the connection for the end of the response, and asserts
 * that the response is not paused. The assertion fails in a listener, which would
 * end the process.
 *
 * @example
 * connect(options, (error, socket) => {
 *   if (socket) { endPausedResponses(socket); }
 *   callback(error, socket);
 * });
 */
export function endPausedResponses(socket: Socket): void {
  socket.on('end', () => {
    const parser = parserOf(socket);
    if (parser?.paused) {
      // Unlike undici's own `resume`, this offers no data, of which none is left.
      parser.llhttp.llhttp_resume(parser.ptr);
      parser.paused = false;
    }
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (parserOf(socket)?.paused && error.code === 'ECONNRESET') {
      error.code = FAILED_CONNECTION_CODE;
    }
  });
}

/** Returns undefined if undici does not use the connection. */
function parserOf(socket: Socket): ResponseParser | undefined {
  const symbol = Object.getOwnPropertySymbols(socket).find(
    ({description}) => description === PARSER_SYMBOL_NAME,
  );
  return (
    symbol && (socket as unknown as Record<symbol, ResponseParser>)[symbol]
  );
}
