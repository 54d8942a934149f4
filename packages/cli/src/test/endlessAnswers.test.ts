import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));

/** Bytes after which a flood ends, so that a failing test ends too. */
const MAX_FLOOD_BYTES = 256 * 1024 * 1024;
const BLOCK = Buffer.alloc(64 * 1024, ' ');

const cases: readonly (readonly [string, string, readonly string[]])[] = [
  ['a response', '200 OK', ['--json']],
  ['an error response', '500 Internal Server Error', []],
  ['an event', '200 OK', []],
];

describe('commands whose answers have no end', {timeout: 60_000}, () => {
  for (const [name, status, flags] of cases) {
    // Guards against a command that takes all memory of its machine.
    it(`end ${name} after bounded bytes`, async () => {
      let sentBytes = 0;
      const server = createServer(socket => {
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
          function send(): void {
            while (!socket.destroyed && sentBytes < MAX_FLOOD_BYTES) {
              sentBytes += BLOCK.length;
              if (!socket.write(BLOCK)) {
                socket.once('drain', send);
                return;
              }
            }
            socket.destroy();
          }
          send();
        });
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const child = execFile(process.execPath, [
        ...[MAIN, 'send', 'chat', 'hello', '--service', 's', '--key', 'k'],
        ...['--entry', `http://127.0.0.1:${port}`, ...flags],
      ]);
      const [exitCode] = (await once(child, 'exit')) as [number];
      server.close();
      assert.notEqual(exitCode, 0);
      assert.ok(sentBytes < MAX_FLOOD_BYTES / 2, `${sentBytes} bytes`);
    });
  }
});
