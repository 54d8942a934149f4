import assert from 'node:assert/strict';
import {copyFileSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import tls from 'node:tls';
import {fileURLToPath} from 'node:url';
import {afterEach, describe, it} from 'node:test';
import {silentLogger, systemClock} from '@skylarkfield/base';
import {readTls, type RenewedTls} from '../index.js';
import {startPeer, type TestPeer} from './peers.js';
import {until} from './until.js';

const FIXTURES = fileURLToPath(
  new URL('../../src/test/fixtures/', import.meta.url),
);
const CHECK_MS = 20;

describe('TLS of the inner port', () => {
  const release: (() => void)[] = [];
  let warnings = 0;

  afterEach(() => release.splice(0).forEach(free => free()));

  function folderWith(name: string): string {
    const folder = mkdtempSync(join(tmpdir(), 'inner-tls-'));
    release.push(() => rmSync(folder, {recursive: true}));
    place(folder, name);
    copyFileSync(join(FIXTURES, 'ca.pem'), join(folder, 'ca.pem'));
    return folder;
  }

  function place(folder: string, name: string) {
    for (const part of ['cert', 'key']) {
      const target = join(folder, `${part}.pem`);
      copyFileSync(join(FIXTURES, `${name}-${part}.pem`), target);
    }
  }

  async function follow(folder: string): Promise<RenewedTls> {
    const read = await readTls({
      paths: {
        cert: join(folder, 'cert.pem'),
        key: join(folder, 'key.pem'),
        ca: join(folder, 'ca.pem'),
      },
      clock: systemClock(),
      log: Object.assign(silentLogger(), {warn: () => (warnings += 1)}),
      checkIntervalMs: CHECK_MS,
    });
    release.push(() => read.dispose());
    return read;
  }

  async function start(id: string, folder: string): Promise<TestPeer> {
    const peer = await startPeer(id, {tls: await follow(folder)});
    release.push(() => peer.network.dispose());
    return peer;
  }

  async function servedName(url: string): Promise<string> {
    const {hostname, port} = new URL(url);
    const socket = tls.connect({
      host: hostname,
      port: Number(port),
      rejectUnauthorized: false,
    });
    socket.on('error', () => {});
    await new Promise(resolve => socket.once('secureConnect', resolve));
    const name = socket.getPeerCertificate().subject.CN;
    socket.destroy();
    return String(name);
  }

  it('takes renewed keys into use and keeps connections open', async () => {
    // Certificates are renewed every few weeks. With the old ones kept, all
    // entries lose each other when they run out; with a restart or a reset,
    // every renewal would cut what is under way.
    const folder = folderWith('first');
    const a = await start('a', folder);
    const b = await start('b', folderWith('first'));
    a.network.setPeers([b.address]);
    await until(() => b.network.connected().includes('a'), 'b hears a');
    await until(() => a.network.connected().includes('b'), 'a hears b');
    const closed: string[] = [];
    a.network.onDidChangePeer((peer, isOpen) => {
      closed.push(`${peer} ${isOpen}`);
    });
    assert.equal(await servedName(a.address.url), 'first');
    place(folder, 'renewed');
    let name = '';
    for (let tries = 0; name !== 'renewed' && tries < 200; tries++) {
      name = await servedName(a.address.url);
    }
    assert.equal(name, 'renewed');
    assert.deepEqual(closed, []);
    const c = await start('c', folderWith('first'));
    assert.equal(await c.network.dial(a.address.url), 'a');
  });

  it('goes on with the old keys while the new ones do not fit', async () => {
    // A renewal that is interrupted leaves a certificate with another's key.
    warnings = 0;
    const folder = folderWith('first');
    const a = await start('a', folder);
    const key = join(FIXTURES, 'renewed-key.pem');
    copyFileSync(key, join(folder, 'key.pem'));
    await until(() => warnings > 0, 'the new pair was tried');
    assert.equal(await servedName(a.address.url), 'first');
    const b = await start('b', folderWith('first'));
    assert.equal(await b.network.dial(a.address.url), 'a');
  });

  for (const [name, folder] of [
    ['a certificate of no authority', 'stranger'],
    ['no TLS', undefined],
  ] as const) {
    it(`refuses a peer with ${name}, though it has the key`, async () => {
      // The inner key leaked; its holder still must not read or send anything.
      const a = await start('a', folderWith('first'));
      const b = folder
        ? await start('b', folderWith(folder))
        : await startPeer('b');
      release.push(() => b.network.dispose());
      const url = folder ? a.address.url : a.address.url.replace('wss', 'ws');
      await assert.rejects(b.network.dial(url), {kind: 'interrupted'});
      assert.deepEqual(a.network.connected(), []);
    });
  }

  it('names the file that cannot be read', async () => {
    const folder = folderWith('first');
    rmSync(join(folder, 'key.pem'));
    await assert.rejects(follow(folder), {kind: 'bad-settings'});
    place(folder, 'first');
  });
});
