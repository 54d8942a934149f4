import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {ServingError} from '@skylarkfield/base';
import type {ListeningNetwork} from '../index.js';
import {startPeer} from './peers.js';
import {until} from './until.js';

const TIMEOUT_MS = 2_000;

describe('peer network', () => {
  const open: ListeningNetwork[] = [];

  afterEach(() => {
    open.splice(0).forEach(network => network.dispose());
  });

  async function startPair() {
    const a = await startPeer('a');
    const b = await startPeer('b');
    open.push(a.network, b.network);
    a.network.setPeers([b.address]);
    b.network.setPeers([a.address]);
    await until(() => b.network.connected().includes('a'), 'b hears a');
    await until(() => a.network.connected().includes('b'), 'a hears b');
    return {a, b};
  }

  it('carries messages and answers both ways over one connection', async () => {
    const {a, b} = await startPair();
    b.network.onDidReceive('recordsWanted', (from, body) => ({
      from,
      known: body.known.length,
    }));
    const answer = await a.network.ask(
      'b',
      'recordsWanted',
      {known: []},
      TIMEOUT_MS,
    );
    assert.deepEqual(answer, {from: 'a', known: 0});
    const cuts: string[] = [];
    a.network.onDidReceive('moveCut', (from, body) => {
      cuts.push(`${from}: ${body.why}`);
    });
    assert.ok(b.network.send('a', 'moveCut', {move: 'm', why: 'slow'}));
    await until(() => cuts.length > 0, 'the message arrives');
    assert.deepEqual(cuts, ['b: slow']);
  });

  it('hands the kind and run state of a failed handler to the asker', async () => {
    const {a, b} = await startPair();
    b.network.onDidReceive('recordsWanted', () => {
      throw new ServingError('overloaded', 'busy');
    });
    const asked = a.network.ask('b', 'recordsWanted', {known: []}, TIMEOUT_MS);
    await assert.rejects(asked, {kind: 'overloaded', run: 'not-run'});
  });

  it('refuses a question whose handler is gone, as not run', async () => {
    // A part of the peer has been closed, in a shutdown for one. An empty answer
    // would pass for the word of that part, and the asker would build on it.
    const {a, b} = await startPair();
    const handler = b.network.onDidReceive('recordsWanted', () => 'records');
    handler.dispose();
    const asked = a.network.ask('b', 'recordsWanted', {known: []}, TIMEOUT_MS);
    await assert.rejects(asked, {kind: 'protocol-violation', run: 'not-run'});
    assert.equal(b.network.traffic().rejected, 1);
  });

  it('says that a question without an answer may have run', async () => {
    // The peer is stopped or its answer is lost: the asker can't know whether
    // the question was acted on, and must not tell a caller that it was not.
    const {a, b} = await startPair();
    b.network.onDidReceive('recordsWanted', () => new Promise(() => {}));
    const asked = a.network.ask('b', 'recordsWanted', {known: []}, 50);
    await assert.rejects(asked, {
      kind: 'deadline-exceeded',
      run: 'may-have-run',
    });
  });

  it('fails a waiting question when the peer dies, and connects again', async () => {
    // An entry's process is killed while a peer waits for its answer; the
    // replacement listens on the same address a moment later.
    const {a, b} = await startPair();
    const port = Number(new URL(b.address.url).port);
    b.network.onDidReceive('recordsWanted', () => new Promise(() => {}));
    const asked = a.network.ask('b', 'recordsWanted', {known: []}, 60_000);
    b.network.dispose();
    await assert.rejects(asked, {kind: 'interrupted', run: 'may-have-run'});
    const again = await startPeer('b', {port});
    open.push(again.network);
    await until(() => a.network.connected().includes('b'), 'connected again');
  });

  it('connects to a peer of the address book when it is asked', async () => {
    const a = await startPeer('a');
    const b = await startPeer('b');
    open.push(a.network, b.network);
    b.network.onDidReceive('recordsWanted', () => 'here');
    a.network.setAddressBook([b.address]);
    assert.deepEqual(a.network.connected(), []);
    const answer = await a.network.ask(
      'b',
      'recordsWanted',
      {known: []},
      TIMEOUT_MS,
    );
    assert.equal(answer, 'here');
  });

  it('fails at once, as not run, when nobody listens there', async () => {
    const a = await startPeer('a');
    const b = await startPeer('b');
    open.push(a.network);
    b.network.dispose();
    a.network.setAddressBook([b.address]);
    const asked = a.network.ask('b', 'recordsWanted', {known: []}, 60_000);
    await assert.rejects(asked, {kind: 'interrupted', run: 'not-run'});
  });

  it('cuts a peer that answers under another id', async () => {
    // A host's address is given to a new entry; messages for the old one must
    // not reach it.
    const a = await startPeer('a');
    const b = await startPeer('b');
    open.push(a.network, b.network);
    a.network.setAddressBook([{...b.address, id: 'c'}]);
    const asked = a.network.ask('c', 'recordsWanted', {known: []}, TIMEOUT_MS);
    await assert.rejects(asked, {kind: 'interrupted', run: 'not-run'});
    assert.equal(a.network.traffic().rejected, 1);
  });

  it('learns the id behind a seed address', async () => {
    const a = await startPeer('a');
    const b = await startPeer('b');
    open.push(a.network, b.network);
    assert.equal(await a.network.dial(b.address.url), 'b');
  });
});
