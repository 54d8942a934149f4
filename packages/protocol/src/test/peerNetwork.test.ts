import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {ServingError} from '@skylarkfield/base';
import type {ListeningNetwork} from '../index.js';
import {startPeer} from './peers.js';
import {until} from './until.js';

const TIMEOUT_MS = 2_000;

describe('peer network', () => {
  const openNetworks: ListeningNetwork[] = [];

  afterEach(() => {
    openNetworks.splice(0).forEach(network => network.dispose());
  });

  async function startPair() {
    const a = await startPeer('a');
    const b = await startPeer('b');
    openNetworks.push(a.network, b.network);
    a.network.setPeers([b.address]);
    b.network.setPeers([a.address]);
    await until(
      () => b.network.connectedPeers().includes('a'),
      'b is connected to a',
    );
    await until(
      () => a.network.connectedPeers().includes('b'),
      'a is connected to b',
    );
    return {a, b};
  }

  it('carries messages and responses in both directions', async () => {
    const {a, b} = await startPair();
    b.network.addHandler('recordsWanted', (from, body) => ({
      from,
      known: body.known.length,
    }));
    const response = await a.network.request(
      'b',
      'recordsWanted',
      {known: []},
      TIMEOUT_MS,
    );
    assert.deepEqual(response, {from: 'a', known: 0});
    const receivedTexts: string[] = [];
    a.network.addHandler('moveCut', (from, body) => {
      receivedTexts.push(`${from}: ${body.why}`);
    });
    assert.ok(b.network.send('a', 'moveCut', {move: 'm', why: 'slow'}));
    await until(() => receivedTexts.length > 0, 'the message arrives');
    assert.deepEqual(receivedTexts, ['b: slow']);
  });

  it('returns the kind and run state of a failed handler', async () => {
    const {a, b} = await startPair();
    b.network.addHandler('recordsWanted', () => {
      throw new ServingError('overloaded', 'busy');
    });
    const response = a.network.request(
      'b',
      'recordsWanted',
      {known: []},
      TIMEOUT_MS,
    );
    await assert.rejects(response, {kind: 'overloaded', run: 'not-run'});
  });

  it('fails a request as not-run when its handler was disposed', async () => {
    // A component of the peer was closed, for example during a shutdown. An
    // empty response would be taken for a valid result of that component.
    const {a, b} = await startPair();
    const subscription = b.network.addHandler('recordsWanted', () => 'records');
    subscription.dispose();
    const response = a.network.request(
      'b',
      'recordsWanted',
      {known: []},
      TIMEOUT_MS,
    );
    await assert.rejects(response, {
      kind: 'protocol-violation',
      run: 'not-run',
    });
    assert.equal(b.network.traffic().rejected, 1);
  });

  it('reports that a request without a response may have run', async () => {
    // The peer is stopped or its response is lost: the sender cannot know
    // whether the request ran, and must not report to a caller that the request
    // did not run.
    const {a, b} = await startPair();
    b.network.addHandler('recordsWanted', () => new Promise(() => {}));
    const response = a.network.request('b', 'recordsWanted', {known: []}, 50);
    await assert.rejects(response, {
      kind: 'deadline-exceeded',
      run: 'may-have-run',
    });
  });

  it('fails a pending request when the peer dies, and reconnects', async () => {
    // `b` closes its connections while `a` waits for its response; a
    // replacement of `b` listens on the same address shortly after.
    const {a, b} = await startPair();
    const port = Number(new URL(b.address.url).port);
    b.network.addHandler('recordsWanted', () => new Promise(() => {}));
    const response = a.network.request(
      'b',
      'recordsWanted',
      {known: []},
      60_000,
    );
    b.network.dispose();
    await assert.rejects(response, {kind: 'interrupted', run: 'may-have-run'});
    const replacement = await startPeer('b', {port});
    openNetworks.push(replacement.network);
    await until(() => a.network.connectedPeers().includes('b'), 'reconnected');
  });

  it('connects to a peer of the address book on demand', async () => {
    const a = await startPeer('a');
    const b = await startPeer('b');
    openNetworks.push(a.network, b.network);
    b.network.addHandler('recordsWanted', () => 'here');
    a.network.setAddressBook([b.address]);
    assert.deepEqual(a.network.connectedPeers(), []);
    const response = await a.network.request(
      'b',
      'recordsWanted',
      {known: []},
      TIMEOUT_MS,
    );
    assert.equal(response, 'here');
  });

  it('fails a request immediately as not-run if nothing listens', async () => {
    const a = await startPeer('a');
    const b = await startPeer('b');
    openNetworks.push(a.network);
    b.network.dispose();
    a.network.setAddressBook([b.address]);
    const response = a.network.request(
      'b',
      'recordsWanted',
      {known: []},
      60_000,
    );
    await assert.rejects(response, {kind: 'interrupted', run: 'not-run'});
  });

  it('disconnects a peer whose id is not the expected id', async () => {
    // A host's address is reassigned to a new entry, which must not receive
    // messages for the old entry.
    const a = await startPeer('a');
    const b = await startPeer('b');
    openNetworks.push(a.network, b.network);
    a.network.setAddressBook([{...b.address, id: 'c'}]);
    const response = a.network.request(
      'c',
      'recordsWanted',
      {known: []},
      TIMEOUT_MS,
    );
    await assert.rejects(response, {kind: 'interrupted', run: 'not-run'});
    assert.equal(a.network.traffic().rejected, 1);
  });

  it('returns the id of the peer at a seed address', async () => {
    const a = await startPeer('a');
    const b = await startPeer('b');
    openNetworks.push(a.network, b.network);
    assert.equal(await a.network.dial(b.address.url), 'b');
  });
});
