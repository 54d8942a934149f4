/**
 * The link between one machine and one address of the platform, which can be cut.
 *
 * A cut is silent: it closes no connection. As with TCP, the kernel of a machine
 * that is cut off keeps what was sent and sends it again, after 200 ms and then
 * after twice the time before each (RFC 6298), also after the process has closed
 * the connection. If the process has reset the connection, the bytes are lost.
 */
import {performance} from 'node:perf_hooks';
import net from 'node:net';
import {listen} from './platform.mjs';

/** Time until bytes are sent again for the first time, the least that Linux has. */
const FIRST_RETRANSMISSION_MS = 200;

/** Returns the time of the first retransmission at or after `healedAt`. */
function retransmittedAt(sentAt, healedAt) {
  let at = sentAt;
  for (let timeoutMs = FIRST_RETRANSMISSION_MS; at < healedAt; timeoutMs *= 2) {
    at += timeoutMs;
  }
  return at;
}

/** One direction of a connection. */
function createDirection(from, to, isCut) {
  /** What the sender's kernel keeps, with the time at which it was sent. */
  let held = [];
  let timer;

  function pass(item) {
    if (item.isEnd) {
      to.end();
    } else {
      to.write(item.bytes);
    }
  }

  function send(item) {
    if (isCut() || held.length > 0) {
      held.push({...item, sentAt: performance.now()});
      return;
    }
    pass(item);
  }

  from.on('data', bytes => send({bytes}));
  from.on('end', () => send({isEnd: true}));
  return {
    hold: () => clearTimeout(timer),
    release() {
      if (held.length === 0) {
        return;
      }
      const now = performance.now();
      const at = retransmittedAt(held[0].sentAt, now);
      timer = setTimeout(() => {
        const items = held;
        held = [];
        items.forEach(pass);
      }, at - now);
    },
    drop() {
      clearTimeout(timer);
      held = [];
    },
  };
}

/**
 * Starts the link to `target` (IP:PORT). `onDidClose` is called with `end` when the
 * machine closes a connection in order during a cut, and with the code of the error
 * when either side resets one.
 */
export async function startLink(target, onDidClose = () => {}) {
  const [host, port] = target.split(':');
  const pairs = new Set();
  /** Connections that the machine tries to open during a cut. */
  const pending = new Set();
  let isCut = false;

  const server = net.createServer({allowHalfOpen: true}, caller => {
    caller.on('error', () => {});
    if (isCut) {
      // Their first packet is lost, so that nothing else is sent on them.
      pending.add(caller);
      caller.resume();
      caller.on('end', () => caller.end());
      caller.on('close', () => pending.delete(caller));
      return;
    }
    const origin = net.connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
    });
    const directions = [
      createDirection(caller, origin, () => isCut),
      createDirection(origin, caller, () => isCut),
    ];
    const pair = {caller, origin, directions};
    pairs.add(pair);
    for (const [socket, other] of [
      [caller, origin],
      [origin, caller],
    ]) {
      socket.on('error', error => {
        onDidClose(error.code);
        directions.forEach(direction => direction.drop());
        other.destroy();
        pairs.delete(pair);
      });
    }
    caller.on('end', () => isCut && onDidClose('end'));
    origin.on('close', () => pairs.delete(pair));
  });
  const address = await listen(server);
  return {
    address,
    cut() {
      isCut = true;
      pairs.forEach(({directions}) => directions.forEach(one => one.hold()));
    },
    heal() {
      isCut = false;
      pending.forEach(caller => caller.destroy());
      pairs.forEach(({directions}) => directions.forEach(one => one.release()));
    },
    close() {
      server.close();
      pending.forEach(caller => caller.destroy());
      for (const {caller, origin} of pairs) {
        caller.destroy();
        origin.destroy();
      }
    },
  };
}
