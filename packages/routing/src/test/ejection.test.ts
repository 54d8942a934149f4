import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {candidate, createRig, routingRequest, loadReport} from './routerRig.js';

const candidates = Array.from({length: 8}, (_, index) =>
  candidate(`r${index}`, `d${index % 4}`),
);

describe('ejection', () => {
  // Each request to a dead engine process costs the caller a failed attempt, so
  // few of them must suffice to eject it.
  it('ejects an unreachable endpoint after two attempts', () => {
    const {send, healthOf} = createRig(candidates);
    const counts = send(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    assert.equal(counts.get('r3'), 2);
    assert.equal(healthOf('r3'), 'ejected');
  });

  it('ejects an endpoint that fails far more often than the others', () => {
    const {send, healthOf, decisions} = createRig(candidates);
    let sent = 0;
    send(400, id => (id === 'r3' && (sent += 1) % 2 === 0 ? 'failed' : 'ok'));
    assert.equal(healthOf('r3'), 'ejected');
    assert.equal(decisions.list().at(-1)?.why, 'failure-rate');
  });

  // Ejecting endpoints for a shared fault, such as a bad prompt or a broken
  // weight store, would overload the remaining ones.
  it('never ejects more than a third for failures', () => {
    const {send, router} = createRig(candidates);
    send(600, id => (Number(id.slice(1)) < 6 ? 'failed' : 'ok'));
    const {endpoints} = router.dump() as {endpoints: {health: string}[]};
    const unavailable = endpoints.filter(
      ({health}) => health !== 'live',
    ).length;
    assert.ok(unavailable <= 3, `${unavailable} of 8 are unavailable`);
  });

  it('keeps a failing endpoint when the others are full', () => {
    const {send, router, healthOf} = createRig(candidates);
    for (const {id} of candidates) {
      const busy = loadReport({running: 8, slots: 8, attempts: undefined});
      router.reportLoad(id, busy);
    }
    send(100, id => (id === 'r3' ? 'failed' : 'ok'));
    assert.equal(healthOf('r3'), 'live');
  });

  it('readmits an endpoint after successful probes', () => {
    const {clock, send, healthOf} = createRig(candidates);
    send(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    clock.jump(5000);
    const counts = send(100, () => 'ok');
    assert.equal(healthOf('r3'), 'live');
    assert.ok((counts.get('r3') ?? 0) > 2);
  });

  it('probes an endpoint with only one request at a time', () => {
    const {clock, send, router} = createRig(candidates);
    send(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    clock.jump(5000);
    const chosen = Array.from(
      {length: 60},
      () => router.choose(routingRequest())?.endpoint,
    );
    assert.equal(chosen.filter(id => id === 'r3').length, 1);
  });

  // A failure domain fails as a whole. Unless the loss of two endpoints makes
  // the others probe first, each of them costs further attempts.
  it('probes the other endpoints of a failure domain that looks lost', () => {
    const many = Array.from({length: 16}, (_, index) =>
      candidate(`r${index}`, `d${index % 4}`),
    );
    const {send, decisions} = createRig(many);
    const isLost = (id: string) => Number(id.slice(1)) % 4 === 2;
    const counts = send(300, id => (isLost(id) ? 'unreachable' : 'ok'));
    const wasted = [...counts].reduce(
      (sum, [id, count]) => sum + (isLost(id) ? count : 0),
      0,
    );
    assert.ok(wasted <= 7, `${wasted} attempts were wasted`);
    assert.ok(decisions.list().some(({what}) => what === 'probe first'));
  });

  it('still chooses an endpoint when all are ejected', () => {
    const {send, router} = createRig([candidate('r0'), candidate('r1')]);
    send(20, () => 'unreachable');
    assert.notEqual(router.choose(routingRequest()), undefined);
  });
});
