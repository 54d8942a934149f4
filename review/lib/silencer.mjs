/** A TCP proxy whose open connections can go silent while new ones work. */
import net from 'node:net';
import {listen} from './platform.mjs';

/**
 * Starts a proxy to `target` (IP:PORT). `onBytes(text)` sees what callers send.
 * `silence()` makes all open connections silent for good, in both directions,
 * without closing them.
 */
export async function startSilencer(target, onBytes = () => {}) {
  const [host, port] = target.split(':');
  const pairs = new Set();
  const server = net.createServer(caller => {
    const origin = net.connect({host, port: Number(port)});
    const pair = {caller, origin, isSilent: false};
    pairs.add(pair);
    caller.on('data', bytes => {
      if (!pair.isSilent) {
        origin.write(bytes);
        onBytes(bytes.toString('latin1'));
      }
    });
    origin.on('data', bytes => {
      if (!pair.isSilent) {
        caller.write(bytes);
      }
    });
    for (const [socket, other] of [
      [caller, origin],
      [origin, caller],
    ]) {
      socket.on('error', () => {});
      socket.on('close', () => {
        // The end of a silent connection does not cross either.
        if (socket === caller || !pair.isSilent) {
          other.destroy();
          pairs.delete(pair);
        }
      });
    }
  });
  const address = await listen(server);
  return {
    address,
    /** Returns the number of connections that went silent. */
    silence() {
      let count = 0;
      for (const pair of pairs) {
        if (!pair.isSilent) {
          pair.isSilent = true;
          count += 1;
        }
      }
      return count;
    },
    close() {
      server.close();
      for (const {caller, origin} of pairs) {
        caller.destroy();
        origin.destroy();
      }
    },
  };
}
