import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createDepartures} from '../departures.js';

const RETENTION_MS = 60_000;

function createRig() {
  const clock = createVirtualClock();
  const departures = createDepartures({
    clock,
    decisions: createDecisionLog(clock, createSilentLogger()),
  });
  const announced: string[] = [];
  departures.onDidAnnounce(endpoint => announced.push(endpoint));
  return {clock, departures, announced};
}

describe('departures', () => {
  it('announce each endpoint once', () => {
    const {departures, announced} = createRig();
    departures.recordAnnouncement('i-1@7');
    departures.recordAnnouncement('i-1@7');
    departures.mergeReport({'i-1@7': 300, 'i-2@7': 300});
    assert.deepEqual(announced, ['i-1@7', 'i-2@7']);
  });

  // Guards against requests to an endpoint whose registration still calls it ready.
  it('are kept as long as the endpoint is registered', async () => {
    const {clock, departures} = createRig();
    departures.recordAnnouncement('i-1@7');
    await clock.advance(RETENTION_MS * 2);
    departures.retainEndpoints(new Set(['i-1@7']));
    assert.ok(departures.hasAnnounced('i-1@7'));
  });

  // Guards against requests to an endpoint whose registration the platform loses and restores.
  it('are kept for a while without a registration', async () => {
    const {clock, departures} = createRig();
    departures.recordAnnouncement('i-1@7');
    await clock.advance(RETENTION_MS - 1);
    departures.retainEndpoints(new Set());
    assert.ok(departures.hasAnnounced('i-1@7'));
    await clock.advance(2);
    departures.retainEndpoints(new Set());
    assert.ok(!departures.hasAnnounced('i-1@7'));
  });

  // Guards against a restarted endpoint that gets no requests.
  it('do not concern another process with the same id', () => {
    const {departures} = createRig();
    departures.recordAnnouncement('i-1@7');
    assert.ok(!departures.hasAnnounced('i-1@8'));
  });

  it('reach an entry that hears them from another one', () => {
    const [first, second] = [createRig(), createRig()];
    first.departures.recordAnnouncement('i-1@7');
    second.departures.mergeReport(first.departures.report());
    assert.ok(second.departures.hasAnnounced('i-1@7'));
  });

  // Guards against entries that tell each other of an endpoint for ever.
  it('are not taken from reports that are too old', async () => {
    const [first, second] = [createRig(), createRig()];
    first.departures.recordAnnouncement('i-1@7');
    await first.clock.advance(RETENTION_MS + 1);
    const report = first.departures.report();
    second.departures.mergeReport(report);
    assert.ok(!second.departures.hasAnnounced('i-1@7'));
    second.departures.retainEndpoints(new Set(['i-1@7']));
    second.departures.mergeReport(report);
    assert.ok(second.departures.hasAnnounced('i-1@7'));
  });
});
