import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {candidate, createRig, routingRequest, loadReport} from './routerRig.js';

const eight = Array.from({length: 8}, (_, index) =>
  candidate(`r${index}`, `d${index % 4}`),
);

describe('ejection', () => {
  // An engine process is gone. Every request sent there costs the caller a
  // failed attempt, so a few have to be enough to leave it alone.
  it('puts an unreachable endpoint aside after two attempts', () => {
    const {send, healthOf} = createRig(eight);
    const counts = send(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    assert.equal(counts.get('r3'), 2);
    assert.equal(healthOf('r3'), 'ejected');
  });

  it('puts aside what fails far more often than the others', () => {
    const {send, healthOf, decisions} = createRig(eight);
    let sent = 0;
    send(400, id => (id === 'r3' && (sent += 1) % 2 === 0 ? 'failed' : 'ok'));
    assert.equal(healthOf('r3'), 'ejected');
    assert.equal(decisions.list().at(-1)?.why, 'failure-rate');
  });

  // A fault that all share, such as a bad prompt or a broken weight store, is
  // no endpoint's own. Putting endpoints aside for it would drown the rest.
  it('never puts more than a third aside for failing', () => {
    const {send, router} = createRig(eight);
    send(600, id => (Number(id.slice(1)) < 6 ? 'failed' : 'ok'));
    const {endpoints} = router.dump() as {endpoints: {health: string}[]};
    const aside = endpoints.filter(({health}) => health !== 'live').length;
    assert.ok(aside <= 3, `${aside} of 8 are aside`);
  });

  it('keeps a failing endpoint when the others are full', () => {
    const {send, router, healthOf} = createRig(eight);
    for (const {id} of eight) {
      const busy = loadReport({running: 8, slots: 8, attempts: undefined});
      router.reportLoad(id, busy);
    }
    send(100, id => (id === 'r3' ? 'failed' : 'ok'));
    assert.equal(healthOf('r3'), 'live');
  });

  it('takes an endpoint back after probes that went well', () => {
    const {clock, send, healthOf} = createRig(eight);
    send(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    clock.pause(5000);
    const counts = send(100, () => 'ok');
    assert.equal(healthOf('r3'), 'live');
    assert.ok((counts.get('r3') ?? 0) > 2);
  });

  it('lets only one request at a time probe an endpoint', () => {
    const {clock, send, router} = createRig(eight);
    send(200, id => (id === 'r3' ? 'unreachable' : 'ok'));
    clock.pause(5000);
    const chosen = Array.from(
      {length: 60},
      () => router.choose(routingRequest())?.endpoint,
    );
    assert.equal(chosen.filter(id => id === 'r3').length, 1);
  });

  // A failure domain goes at once. Two of its endpoints are found dead; without
  // doubt in the others, each would cost further callers their attempts.
  it('doubts the rest of a failure domain that looks lost', () => {
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

  it('still serves when every endpoint is aside', () => {
    const {send, router} = createRig([candidate('r0'), candidate('r1')]);
    send(20, () => 'unreachable');
    assert.notEqual(router.choose(routingRequest()), undefined);
  });
});
