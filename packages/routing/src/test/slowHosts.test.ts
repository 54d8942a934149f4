import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {seededRandom} from '@skylarkfield/base';
import {candidate, createRig, loadReport, routingRequest} from './routerRig.js';

const IDS = ['a', 'b', 'c', 'd'];

/** For 3 s each, one endpoint after the other is four times as slow. */
function slownessAt(endpoint: string, atMs: number): number {
  return IDS[Math.floor(atMs / 3_000) % IDS.length] === endpoint ? 4 : 1;
}

/** Plays 220 calls of 60 ms per second; what they report is 200 ms old. */
function play(reportOf: (slowness: number) => {slowness?: number}) {
  const {clock, router} = createRig(IDS.map(id => candidate(id)));
  const random = seededRandom(11);
  const freeAt = new Map(IDS.map(id => [id, [0, 0, 0, 0, 0, 0]]));
  const chosen: string[] = [];
  let onTime = 0;
  let slow = 0;

  function send(): void {
    clock.after(-Math.log(1 - random.next()) / 0.22, send);
    const choice = router.choose(routingRequest())!;
    const {endpoint} = choice;
    const sentAt = clock.now();
    const slots = freeAt.get(endpoint)!.sort((x, y) => x - y);
    const startsAt = Math.max(sentAt, slots[0]!);
    const slowness = slownessAt(endpoint, startsAt);
    slots[0] = startsAt + 60 * slowness;
    chosen.push(endpoint);
    slow += slowness > 1 ? 1 : 0;
    clock.after(slots[0] - sentAt, () => {
      const reportedAt = Math.max(0, clock.now() - 200);
      const report = reportOf(slownessAt(endpoint, reportedAt));
      const load = loadReport({sequence: chosen.length, slots: 6, ...report});
      router.recordLoadReport(endpoint, load);
      const latencyMs = clock.now() - sentAt;
      choice.finish({outcome: 'ok', latencyMs});
      onTime += latencyMs <= 300 ? 1 : 0;
    });
  }

  send();
  clock.advanceSync(12_000);
  const {length} = chosen;
  return {chosen, shares: {onTime: onTime / length, slow: slow / length}};
}

describe('endpoints on slow hosts', () => {
  // Guards against requests that go on to a slow host because its last responses were fast.
  it('get few requests while their hosts report it', () => {
    const before = play(() => ({})).shares;
    const after = play(slowness => ({slowness})).shares;
    const figures = JSON.stringify([before, after]);
    assert.ok(after.onTime >= 0.985, figures);
    assert.ok(after.slow <= before.slow / 3, figures);
  });

  // Guards against ejections of endpoints whose hosts are slow for a moment.
  it('are not ejected for their latency', () => {
    function healthAfterSlowCalls(report: {slowness?: number}) {
      const {router, healthOf} = createRig(IDS.map(id => candidate(id)));
      const request = routingRequest({excluded: new Set(['b', 'c', 'd'])});
      for (let sequence = 0; sequence < 40; sequence++) {
        const choice = router.choose(request);
        router.recordLoadReport('a', loadReport({sequence, ...report}));
        choice?.finish({outcome: 'ok', latencyMs: 400});
      }
      return healthOf('a');
    }
    assert.equal(healthAfterSlowCalls({}), 'ejected');
    assert.equal(healthAfterSlowCalls({slowness: 8}), 'live');
  });

  // Guards against entries that all choose the fastest host, and against changes where no host reports a figure.
  it('are chosen as without the figure if it is not above the usual one', () => {
    const {chosen} = play(() => ({}));
    assert.deepEqual(play(() => ({slowness: 0.5})).chosen, chosen);
  });
});
