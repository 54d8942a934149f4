import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {candidate, createRig, routingRequest, loadReport} from './routerRig.js';

const blocks = Array.from({length: 60}, (_, index) => `b${index}`);
const long = routingRequest({blocks, promptTokens: 960});
const four = ['a', 'b', 'c', 'd'].map(id => candidate(id, id));

describe('router', () => {
  it('spreads requests over endpoints by what it sent there', () => {
    const {router} = createRig(four);
    const chosen = Array.from(
      {length: 8},
      () => router.choose(routingRequest())?.endpoint,
    );
    assert.deepEqual([...new Set(chosen)].sort(), ['a', 'b', 'c', 'd']);
  });

  // Guards against a crashing request that takes many others along.
  it('sends a suspected request where the fewest others run', () => {
    const {router} = createRig(four);
    const others = ['a', 'b', 'd'];
    for (const id of others) {
      router.reportLoad(id, loadReport({running: 3, attempts: ['e2-1#1']}));
    }
    router.reportCache('a', [{sequence: 1, type: 'stored', blocks}]);
    const choice = router.choose({...long, isSuspected: true});
    assert.equal(choice?.endpoint, 'c');
  });

  it('replaces its own part of a late report by what it knows', () => {
    const {router} = createRig([candidate('a'), candidate('b')]);
    // Late: counts three requests of this entry that have ended since.
    const attempts = ['e1-1#1', 'e1-2#1', 'e1-3#1'];
    router.reportLoad('a', loadReport({running: 3, attempts}));
    router.reportLoad('b', loadReport({running: 1, attempts: ['e2-1#1']}));
    assert.equal(router.choose(routingRequest())?.endpoint, 'a');
  });

  it('sends a prompt to where its prefix is, unless the wait there is longer', () => {
    const {router} = createRig(four);
    router.reportCache('c', [{sequence: 1, type: 'stored', blocks}]);
    assert.equal(router.cachedTokens('s', 'v1', blocks), 960);
    assert.equal(router.cachedTokens('s', 'v2', blocks), 0);
    const choice = router.choose(long);
    assert.equal(choice?.endpoint, 'c');
    assert.equal(choice?.cachedTokens, 960);
    choice?.finish({outcome: 'ok', latencyMs: 30});
    router.reportLoad('c', loadReport({running: 8, waiting: 30, sequence: 2}));
    assert.notEqual(router.choose(long)?.endpoint, 'c');
  });

  it('remembers what it sent when no cache events come', () => {
    const {router, clock} = createRig(four);
    const first = router.choose(long);
    first?.finish({outcome: 'ok', latencyMs: 30});
    clock.pause(60_000);
    assert.equal(router.choose(long)?.endpoint, first?.endpoint);
  });

  it('lets the entries agree on the endpoint of an unknown prefix', () => {
    const chosen = [1, 2, 3].map(
      () => createRig(four).router.choose(long)?.endpoint,
    );
    assert.equal(new Set(chosen).size, 1);
  });

  it('does not gather all prompts at one endpoint for a shared start', () => {
    const {router} = createRig(four);
    const counts = new Map<string, number>();
    for (let session = 0; session < 80; session++) {
      const own = Array.from({length: 20}, (_, i) => `s${session}-${i}`);
      const choice = router.choose(
        routingRequest({blocks: [...blocks, ...own], promptTokens: 1280}),
      );
      assert.ok(choice);
      counts.set(choice.endpoint, (counts.get(choice.endpoint) ?? 0) + 1);
      // All are being answered at once, as under load.
      choice.streaming();
    }
    const most = Math.max(...counts.values());
    assert.ok(counts.size === 4 && most < 30, JSON.stringify([...counts]));
  });

  it('asks for the whole content after lost events, at a bounded rate', () => {
    const {router, clock} = createRig(four);
    const event = (sequence: number) =>
      ({sequence, type: 'stored', blocks: [`x${sequence}`]}) as const;
    assert.equal(router.reportCache('a', [event(1), event(2)]), 2);
    assert.equal(router.reportCache('a', [event(5)]), 5, 'too soon to ask');
    clock.pause(10_000);
    assert.equal(router.reportCache('a', [event(6)]), -1);
    const content = [
      {sequence: 6, type: 'cleared', blocks: []} as const,
      {sequence: 7, type: 'stored', blocks} as const,
    ];
    assert.equal(router.reportCache('a', content), 7);
    assert.equal(router.choose(long)?.endpoint, 'a');
  });

  it('corrects its belief by what the engine found', () => {
    const {router} = createRig([candidate('a')]);
    router.reportCache('a', [{sequence: 1, type: 'stored', blocks}]);
    const choice = router.choose(long);
    choice?.finish({outcome: 'ok', latencyMs: 30, cachedTokens: 0});
    const {endpoints} = router.dump() as {
      endpoints: {cache: {confirmed: number}}[];
    };
    assert.equal(endpoints[0]?.cache.confirmed, 0);
  });

  // The notice reaches an entry before the lagging host list knows of it, and
  // the list then still calls the endpoint live. New work sent there would be
  // cut off when the host goes.
  it('gives a leaving endpoint nothing, whatever the list says', () => {
    const {router, send, clock} = createRig([]);
    router.markLeaving('a');
    router.setEndpoints(four);
    clock.pause(30_000);
    router.setEndpoints(four);
    assert.equal(send(40, () => 'ok').has('a'), false);
    assert.equal(
      router.choose(routingRequest({excluded: new Set(['b', 'c', 'd'])})),
      undefined,
    );
  });

  it('takes a new process on another host under the old id', () => {
    const {router, send} = createRig(four);
    router.markLeaving('a');
    const moved = four.map(item =>
      item.id === 'a' ? {...item, host: 'h-new'} : item,
    );
    router.setEndpoints(moved);
    assert.equal(send(40, () => 'ok').has('a'), true);
  });

  it('puts aside what its load reports show to be gone', () => {
    const {router, send, healthOf} = createRig(four);
    router.reportUnreachable('b');
    router.reportUnreachable('b');
    assert.equal(healthOf('b'), 'ejected');
    assert.equal(send(40, () => 'ok').has('b'), false);
  });

  it('counts slots of usable endpoints', () => {
    const {router} = createRig(four);
    four.forEach(({id}) => router.reportLoad(id, loadReport({slots: 6})));
    router.markLeaving('d');
    assert.equal(router.slots('s'), 18);
  });
});
