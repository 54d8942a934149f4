/** Resets connections. */
import type {Socket} from 'node:net';
import {TLSSocket} from 'node:tls';

/**
 * Resets a connection and destroys its socket. A connection over TLS is only
 * closed: without the alert that ends it, it is not complete either. So is a
 * connection whose shutdown has begun: libuv rejects its reset, Node then never
 * closes the handle, and the event loop no longer waits for events.
 *
 * @example
 * resetConnection(response.socket);
 */
export function resetConnection(socket: Socket): void {
  if (socket instanceof TLSSocket || hasShutdownBegun(socket)) {
    socket.destroy();
    return;
  }
  socket.resetAndDestroy();
}

/**
 * Resets a connection when its socket is destroyed, which else closes it in order:
 * the bytes that a network partition holds up would arrive after it.
 *
 * @example
 * resetOnDestroy(socket);
 */
export function resetOnDestroy(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = error => {
    if (!(socket instanceof TLSSocket) && !hasShutdownBegun(socket)) {
      // `resetAndDestroy` would read on until the shutdown that it begins is over.
      Object.assign(socket, {resetAndClosing: true});
    }
    return destroy(error);
  };
}

/** The shutdown of an ended socket begins when all of its bytes are written. */
function hasShutdownBegun(socket: Socket): boolean {
  return (
    socket.writableEnded &&
    !socket.writableFinished &&
    socket.writableLength === 0
  );
}
