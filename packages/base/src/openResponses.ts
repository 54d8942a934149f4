/**
 * Breaks off HTTP responses that are open when their server stops or their
 * caller leaves.
 */
import type http from 'node:http';
import {resetConnection} from './connectionReset.js';

/** Responses of a server that have not been written completely. */
export interface OpenResponses {
  /** Breaks all of them off. */
  breakOff(): void;
}

/**
 * Breaks off a response so that it does not look complete. Without chunks, the
 * caller could take the close of the connection for the end of the response, so
 * the connection is reset.
 *
 * @example
 * breakOffResponse(response);
 */
export function breakOffResponse(response: http.ServerResponse): void {
  const {headersSent, writableFinished, chunkedEncoding, socket} = response;
  if (socket && headersSent && !writableFinished && !chunkedEncoding) {
    resetConnection(socket);
  }
  response.destroy();
}

/**
 * Tracks the open responses of a server. Callers who close their side of the
 * connection are taken for disconnected: their responses are broken off if they
 * are not complete, since Node would close the connection in order.
 *
 * @example
 * const openResponses = trackOpenResponses(server);
 * openResponses.breakOff();
 * server.closeAllConnections();
 */
export function trackOpenResponses(
  server: Pick<http.Server, 'on'>,
): OpenResponses {
  const responses = new Set<http.ServerResponse>();
  server.on('request', ({socket}, response) => {
    function breakOffIfIncomplete(): void {
      if (!response.writableEnded) {
        breakOffResponse(response);
      }
    }

    responses.add(response);
    // Node's own listener would begin the shutdown of the connection.
    socket.prependListener('end', breakOffIfIncomplete);
    response.once('close', () => {
      responses.delete(response);
      socket.off('end', breakOffIfIncomplete);
    });
  });
  return {breakOff: () => responses.forEach(breakOffResponse)};
}
