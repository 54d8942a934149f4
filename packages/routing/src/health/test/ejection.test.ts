import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  candidate,
  createRig,
  routingRequest,
  loadReport,
} from '../../test/routerRig.js';

const candidates = Array.from({length: 8}, (_, index) =>
  candidate(`r${index}`, `d${index % 4}`),
);

describe('ejection', () => {
  // Each request to a dead engine process costs the caller a failed attempt, so
  // two must suffice to eject the endpoint.
  it('ejects an unreachable endpoint after two attempts', () => {
    const {sendRequests, healthOf} = createRig(candidates);
    const counts = sendRequests(200, id =>
      id === 'r3' ? 'unreachable' : 'ok',
    );
    assert.equal(counts.get('r3'), 2);
    assert.equal(healthOf('r3'), 'ejected');
  });

  it('ejects an endpoint that fails far more often than the rest of its pool', () => {
    const {sendRequests, healthOf, decisions} = createRig(candidates);
    let requestsToR3 = 0;
    sendRequests(400, id =>
      id === 'r3' && (requestsToR3 += 1) % 2 === 0 ? 'failed' : 'ok',
    );
    assert.equal(healthOf('r3'), 'ejected');
    assert.equal(decisions.list().at(-1)?.why, 'failure-rate');
  });

  // Ejecting endpoints for a shared fault, such as a bad prompt or a broken
  // weight store, would overload the remaining endpoints.
  it('never ejects more than about a third of a pool for failures', () => {
    const {sendRequests, router} = createRig(candidates);
    sendRequests(600, id => (Number(id.slice(1)) < 6 ? 'failed' : 'ok'));
    const {endpoints} = router.dump() as {endpoints: {health: string}[]};
    const unavailableCount = endpoints.filter(
      ({health}) => health !== 'live',
    ).length;
    assert.ok(
      unavailableCount <= 3,
      `${unavailableCount} of 8 are unavailable`,
    );
  });

  it('does not eject a failing endpoint when all other endpoints are full', () => {
    const {sendRequests, router, healthOf} = createRig(candidates);
    for (const {id} of candidates) {
      const fullReport = loadReport({
        running: 8,
        slots: 8,
        attempts: undefined,
      });
      router.recordLoadReport(id, fullReport);
    }
    sendRequests(100, id => (id === 'r3' ? 'failed' : 'ok'));
    assert.equal(healthOf('r3'), 'live');
  });

  it('readmits an endpoint after successful probes', () => {
    const {clock, sendRequests, healthOf} = createRig(candidates);
    sendRequests(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    clock.jump(5000);
    const counts = sendRequests(100, () => 'ok');
    assert.equal(healthOf('r3'), 'live');
    assert.ok((counts.get('r3') ?? 0) > 2);
  });

  it('probes an endpoint with only one request at a time', () => {
    const {clock, sendRequests, router} = createRig(candidates);
    sendRequests(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    clock.jump(5000);
    const chosen = Array.from(
      {length: 60},
      () => router.choose(routingRequest())?.endpoint,
    );
    assert.equal(chosen.filter(id => id === 'r3').length, 1);
  });

  // A failure domain fails as a whole. Unless the loss of two of its endpoints
  // requires probes of the rest, each of them fails further attempts.
  it('probes the remaining endpoints of a failure domain after two are lost', () => {
    const manyCandidates = Array.from({length: 16}, (_, index) =>
      candidate(`r${index}`, `d${index % 4}`),
    );
    const {sendRequests, decisions} = createRig(manyCandidates);
    const isInLostDomain = (id: string) => Number(id.slice(1)) % 4 === 2;
    const counts = sendRequests(300, id =>
      isInLostDomain(id) ? 'unreachable' : 'ok',
    );
    const wastedAttempts = [...counts].reduce(
      (sum, [id, count]) => sum + (isInLostDomain(id) ? count : 0),
      0,
    );
    assert.ok(wastedAttempts <= 7, `${wastedAttempts} attempts were wasted`);
    assert.ok(decisions.list().some(({what}) => what === 'probe first'));
  });

  it('still chooses an endpoint when all are ejected', () => {
    const {sendRequests, router} = createRig([
      candidate('r0'),
      candidate('r1'),
    ]);
    sendRequests(20, () => 'unreachable');
    assert.notEqual(router.choose(routingRequest()), undefined);
  });
});
