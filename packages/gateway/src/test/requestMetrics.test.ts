import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createMetrics, silentLogger} from '@skylarkfield/base';
import {createRequestMetrics} from '../requestMetrics.js';

function observed(tookMs: number) {
  return {service: 'booking', kind: 'ok', firstMs: tookMs, tookMs} as const;
}

test('observations from before the first read are rendered', async () => {
  let loads = 0;
  const metrics = createRequestMetrics(() => {
    loads += 1;
    return createMetrics('test');
  }, silentLogger());
  metrics.record(observed(7));
  metrics.record(observed(30));
  assert.equal(loads, 0);
  const page = await metrics.render();
  metrics.record(observed(30));
  const later = await metrics.render();
  assert.match(page, /gateway_requests_total\{[^}]*\} 2\b/);
  assert.match(page, /gateway_duration_bucket\{[^}]*le="10"[^}]*\} 1\b/);
  assert.match(later, /gateway_requests_total\{[^}]*\} 3\b/);
  assert.equal(loads, 1);
  await metrics.shutDown();
});

// Guards against observations that accumulate in a process whose metrics are
// never read.
test('the SDK is loaded when the buffer is full', async () => {
  let loads = 0;
  const metrics = createRequestMetrics(() => {
    loads += 1;
    return createMetrics('test');
  }, silentLogger());
  for (let count = 0; count < 4_095; count++) {
    metrics.record(observed(1));
  }
  assert.equal(loads, 0);
  metrics.record(observed(1));
  assert.equal(loads, 1);
  assert.match(
    await metrics.render(),
    /gateway_requests_total\{[^}]*\} 4096\b/,
  );
  await metrics.shutDown();
});

test('a process whose metrics were never read stops without loading the SDK', async () => {
  const metrics = createRequestMetrics(
    () => Promise.reject(new Error('loaded')),
    silentLogger(),
  );
  metrics.record(observed(1));
  await metrics.shutDown();
});
