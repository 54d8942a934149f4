import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createMetrics, createSilentLogger} from '@skylarkfield/base';
import {createRequestMetrics} from '../requestMetrics.js';

function createObservation(tookMs: number) {
  return {service: 'booking', kind: 'ok', firstByteMs: tookMs, tookMs} as const;
}

test('observations recorded before the SDK is loaded are rendered', async () => {
  let loadCount = 0;
  const metrics = createRequestMetrics(() => {
    loadCount += 1;
    return createMetrics('test');
  }, createSilentLogger());
  metrics.record(createObservation(7));
  metrics.record(createObservation(30));
  assert.equal(loadCount, 0);
  metrics.countReport('rest');
  metrics.countSend({service: 's', sendReason: 'rerun', isRepeatable: false});
  metrics.recordQuotaDecision({
    outcome: 'granted',
    reportAgeMs: 290,
    waitedMs: 3,
  });
  const page = await metrics.render();
  metrics.record(createObservation(30));
  const laterPage = await metrics.render();
  assert.match(page, /gateway_requests_total\{[^}]*\} 2\b/);
  assert.match(page, /gateway_duration_bucket\{[^}]*le="10"[^}]*\} 1\b/);
  assert.match(page, /gateway_reports_total\{[^}]*kind="rest"[^}]*\} 1\b/);
  assert.match(page, /sends_again_total\{[^}]*reason="rerun"[^}]*\} 1\b/);
  assert.match(page, /quota_report_age_bucket\{[^}]*le="400"[^}]*\} 1\b/);
  assert.match(page, /quota_wait_bucket\{[^}]*le="5"[^}]*\} 1\b/);
  assert.match(laterPage, /gateway_requests_total\{[^}]*\} 3\b/);
  assert.equal(loadCount, 1);
  await metrics.shutDown();
});

// Guards against buffering observations without limit in a process whose
// metrics are never rendered.
test('the SDK is loaded when the buffer is full', async () => {
  let loadCount = 0;
  const metrics = createRequestMetrics(() => {
    loadCount += 1;
    return createMetrics('test');
  }, createSilentLogger());
  for (let count = 0; count < 4_095; count++) {
    metrics.record(createObservation(1));
  }
  assert.equal(loadCount, 0);
  metrics.record(createObservation(1));
  assert.equal(loadCount, 1);
  assert.match(
    await metrics.render(),
    /gateway_requests_total\{[^}]*\} 4096\b/,
  );
  await metrics.shutDown();
});

test('requests that lost their endpoint are counted by progress', async () => {
  const metrics = createRequestMetrics(
    () => createMetrics('test'),
    createSilentLogger(),
  );
  const lost = {...createObservation(7), hasLostEndpoint: true};
  metrics.record(lost);
  metrics.record({...lost, firstByteMs: undefined});
  metrics.record({...lost, firstByteMs: undefined});
  metrics.record(createObservation(7));
  const page = await metrics.render();
  assert.match(page, /gateway_lost_total\{[^}]*progress="begun"[^}]*\} 1\b/);
  assert.match(
    page,
    /gateway_lost_total\{[^}]*progress="not-begun"[^}]*\} 2\b/,
  );
  await metrics.shutDown();
});

test('shutting down does not load the SDK if the metrics were never rendered', async () => {
  const metrics = createRequestMetrics(
    () => Promise.reject(new Error('loaded')),
    createSilentLogger(),
  );
  metrics.record(createObservation(1));
  await metrics.shutDown();
});
