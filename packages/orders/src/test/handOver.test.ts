import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {createHandOver} from '../handOver.js';
import type {Shard} from '../shardContracts.js';

describe('hand-over of a shard', () => {
  it('names the shard and claims nothing about its epoch', async () => {
    // The next owner learns the epoch from the ledger. A number in the message
    // that is always 0 would make a later release that trusts it take every
    // shard for one that nobody has owned, and run its orders again.
    const bodies: unknown[] = [];
    const handOver = createHandOver({
      clock: virtualClock(),
      network: {
        ask: (_to, _type, body) => {
          bodies.push(body);
          return Promise.resolve(true);
        },
        onDidReceive: () => ({dispose() {}}),
      },
      successors: () => ['b'],
      maxBodyBytes: 0,
      activeOrders: () => [],
      onDidVoidClaim: () => {},
      resume: () => {},
    });
    const shard = {index: 3, release: () => Promise.resolve('released')};
    await handOver.transfer(shard as unknown as Shard);
    assert.deepEqual(bodies, [{shard: 3}]);
  });
});
