/** A TCP proxy that can be cut off from one of the processes that connect to it. */
import fs from 'node:fs';
import net from 'node:net';
import {listen} from './platform.mjs';

/** Columns of a line of the kernel's table of connections. */
const LOCAL_ADDRESS = 1;
const REMOTE_ADDRESS = 2;
const INODE = 9;

/** Returns a loopback address as the table has it. */
function toTableAddress(port) {
  return `0100007F:${port.toString(16).toUpperCase().padStart(4, '0')}`;
}

/** Returns the inode of the caller's socket of an accepted connection. */
function findInode({remotePort, localPort}) {
  const local = toTableAddress(remotePort);
  const remote = toTableAddress(localPort);
  for (const line of fs.readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
    const columns = line.trim().split(/\s+/);
    if (
      columns[LOCAL_ADDRESS] === local &&
      columns[REMOTE_ADDRESS] === remote
    ) {
      return columns[INODE];
    }
  }
  return undefined;
}

/** Whether a process that this one has started has a socket. */
function ownsSocket(pid, inode) {
  const folder = `/proc/${pid}/fd`;
  return fs.readdirSync(folder).some(name => {
    try {
      return fs.readlinkSync(`${folder}/${name}`) === `socket:[${inode}]`;
    } catch {
      // The process has closed it meanwhile.
      return false;
    }
  });
}

/**
 * Starts a proxy to `target` (IP:PORT). `cut(pid)` holds back all bytes between
 * the target and that process until `heal()`, without closing a connection: a
 * partition is silent.
 */
export async function startPartition(target) {
  const [host, port] = target.split(':');
  const pairs = new Set();
  let cutPid;

  function hold(pair) {
    const isHeld = cutPid !== undefined && pair.isOf(cutPid);
    for (const socket of [pair.caller, pair.origin]) {
      if (isHeld) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }

  const server = net.createServer({pauseOnConnect: true}, caller => {
    const inode = findInode(caller);
    const origin = net.connect({host, port: Number(port)});
    const pair = {
      caller,
      origin,
      isOf: pid => inode !== undefined && ownsSocket(pid, inode),
    };
    pairs.add(pair);
    for (const [socket, other] of [
      [caller, origin],
      [origin, caller],
    ]) {
      socket.on('data', bytes => other.write(bytes));
      socket.on('end', () => other.end());
      socket.on('error', () => {});
      socket.on('close', () => {
        other.destroy();
        pairs.delete(pair);
      });
    }
    hold(pair);
  });
  const address = await listen(server);
  return {
    address,
    cut(pid) {
      cutPid = pid;
      pairs.forEach(hold);
    },
    heal() {
      cutPid = undefined;
      pairs.forEach(hold);
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
