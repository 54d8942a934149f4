import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createHandOver} from '../handOver.js';
import type {Shard} from '../shardContracts.js';

describe('shard hand-over', () => {
  it('sends the index of the shard but no epoch', async () => {
    // The next owner reads the epoch from the ledger. If the message contained
    // an epoch that is always 0, a later release that used this epoch would
    // treat every shard as never owned and run its orders again.
    const bodies: unknown[] = [];
    const handOver = createHandOver({
      clock: createVirtualClock(),
      network: {
        request: (_to, _type, body) => {
          bodies.push(body);
          return Promise.resolve(true);
        },
        addHandler: () => ({dispose() {}}),
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
