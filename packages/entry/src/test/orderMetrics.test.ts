import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createMetrics,
  seededRandom,
  ServingError,
  createVirtualClock,
} from '@skylarkfield/base';
import {createLedger, type OrderReply} from '@skylarkfield/orders';
import {createMemoryPlatform} from '@skylarkfield/providers';
import {createOrderMetrics} from '../components/orderMetrics.js';

const reply: OrderReply = {status: 201, headers: {}, body: new Uint8Array()};

/**
 * Creates a ledger without peers. Calls of the service `lossy` fail, and calls
 * of all other services succeed.
 */
async function createMeteredLedger() {
  const clock = createVirtualClock();
  const random = seededRandom(1);
  const metrics = await createMetrics('test');
  const platform = createMemoryPlatform({clock, random});
  const ledger = createLedger({
    store: platform.createClient('a'),
    network: {
      request: () => Promise.reject(new Error('no peers')),
      addHandler: () => ({dispose: () => undefined}),
    },
    dispatch: async (service, _call, _signal, begin) => {
      begin();
      if (service === 'lossy') {
        throw new ServingError('outcome-unknown', 'cut off');
      }
      return reply;
    },
    clock,
    random,
    member: 'a',
    liveMembers: () => ['a'],
    observer: createOrderMetrics(metrics.meter, name => name !== 'made-up'),
  });
  async function submit(key: string, service = 'booking', callDigest = 'same') {
    const call = {method: 'POST', path: '/', headers: {}, body: reply.body};
    const deadline = clock.now() + 1_000;
    const order = {customer: 'c', service, key, fingerprint: callDigest, call};
    void ledger
      .submit({...order, deadline}, new AbortController().signal)
      .catch(() => undefined);
    await clock.advance(1_500);
  }
  return {clock, ledger, metrics, platform, submit};
}

/** Returns a function that reads one value from rendered metrics. */
function createValueReader(renderedMetrics: string): (name: string) => number {
  const lines = renderedMetrics.split('\n');
  return name =>
    Number(lines.find(line => line.startsWith(name))?.split(' ')[1]);
}

describe('order metrics', () => {
  it('count each order once by outcome, without labels for made-up services', async () => {
    const {ledger, metrics, platform, submit} = await createMeteredLedger();
    await submit('k1');
    await submit('k1');
    await submit('k1', 'booking', 'other');
    await submit('k2', 'lossy');
    await submit('k3', 'made-up');
    const {writes} = platform.callCounts();
    const valueBeforeOutage = createValueReader(await metrics.render());
    assert.equal(valueBeforeOutage('skylarkfield_ledger_writes_total'), writes);
    platform.faults.setDown(true);
    await submit('k4');
    const renderedMetrics = await metrics.render();
    const valueAfterOutage = createValueReader(renderedMetrics);
    const counts = [
      ['booking', 'reply'],
      ['booking', 'replay'],
      ['booking', 'key-conflict'],
      ['booking', 'not-run'],
      ['lossy', 'may-have-run'],
      ['unknown', 'reply'],
    ].map(([service, outcome]) =>
      valueAfterOutage(
        `skylarkfield_orders_total{service="${service}",outcome="${outcome}"`,
      ),
    );
    assert.deepEqual(counts, [1, 1, 1, 1, 1, 1]);
    assert.ok(!renderedMetrics.includes('made-up'));
    assert.ok(valueAfterOutage('skylarkfield_ledger_take_overs_total') >= 1);
    ledger.dispose();
  });
});
