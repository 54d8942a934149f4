import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {candidate, createRig, routingRequest, loadReport} from './routerRig.js';

const blocks = Array.from({length: 60}, (_, index) => `b${index}`);
const longRequest = routingRequest({blocks, promptTokens: 960});
const candidates = ['a', 'b', 'c', 'd'].map(id => candidate(id, id));

describe('router', () => {
  it('spreads requests over endpoints by its own requests in flight', () => {
    const {router} = createRig(candidates);
    const chosen = Array.from(
      {length: 8},
      () => router.choose(routingRequest())?.endpoint,
    );
    assert.deepEqual([...new Set(chosen)].sort(), ['a', 'b', 'c', 'd']);
  });

  // A request that crashes its endpoint takes down the others running there.
  it('sends a suspected request where the fewest others run', () => {
    const {router} = createRig(candidates);
    const others = ['a', 'b', 'd'];
    for (const id of others) {
      router.reportLoad(id, loadReport({running: 3, attempts: ['e2-1#1']}));
    }
    router.applyCacheEvents('a', [{sequence: 1, type: 'stored', blocks}]);
    const choice = router.choose({...longRequest, isSuspected: true});
    assert.equal(choice?.endpoint, 'c');
  });

  it('replaces its own part of a delayed report with its actual load', () => {
    const {router} = createRig([candidate('a'), candidate('b')]);
    // The delayed report counts three requests of this entry that have ended.
    const attempts = ['e1-1#1', 'e1-2#1', 'e1-3#1'];
    router.reportLoad('a', loadReport({running: 3, attempts}));
    router.reportLoad('b', loadReport({running: 1, attempts: ['e2-1#1']}));
    assert.equal(router.choose(routingRequest())?.endpoint, 'a');
  });

  it('prefers the endpoint with the cached prefix unless overloaded', () => {
    const {router} = createRig(candidates);
    router.applyCacheEvents('c', [{sequence: 1, type: 'stored', blocks}]);
    assert.equal(router.cachedTokens('s', 'v1', blocks), 960);
    assert.equal(router.cachedTokens('s', 'v2', blocks), 0);
    const choice = router.choose(longRequest);
    assert.equal(choice?.endpoint, 'c');
    assert.equal(choice?.cachedTokens, 960);
    choice?.finish({outcome: 'ok', latencyMs: 30});
    router.reportLoad('c', loadReport({running: 8, waiting: 30, sequence: 2}));
    assert.notEqual(router.choose(longRequest)?.endpoint, 'c');
  });

  it('expects sent prompts to be cached when there are no cache events', () => {
    const {router, clock} = createRig(candidates);
    const first = router.choose(longRequest);
    first?.finish({outcome: 'ok', latencyMs: 30});
    clock.jump(60_000);
    assert.equal(router.choose(longRequest)?.endpoint, first?.endpoint);
  });

  it('chooses the same endpoint for an unknown prefix at all entries', () => {
    const chosen = [1, 2, 3].map(
      () => createRig(candidates).router.choose(longRequest)?.endpoint,
    );
    assert.equal(new Set(chosen).size, 1);
  });

  it('spreads prompts that share only their start', () => {
    const {router} = createRig(candidates);
    const counts = new Map<string, number>();
    for (let session = 0; session < 80; session++) {
      const own = Array.from({length: 20}, (_, i) => `s${session}-${i}`);
      const choice = router.choose(
        routingRequest({blocks: [...blocks, ...own], promptTokens: 1280}),
      );
      assert.ok(choice);
      counts.set(choice.endpoint, (counts.get(choice.endpoint) ?? 0) + 1);
      // Leaves the requests in flight, as under load.
      choice.recordFirstToken();
    }
    const most = Math.max(...counts.values());
    assert.ok(counts.size === 4 && most < 30, JSON.stringify([...counts]));
  });

  it('resyncs the cache view after lost events, at a bounded rate', () => {
    const {router, clock} = createRig(candidates);
    const event = (sequence: number) =>
      ({sequence, type: 'stored', blocks: [`x${sequence}`]}) as const;
    assert.equal(router.applyCacheEvents('a', [event(1), event(2)]), 2);
    assert.equal(
      router.applyCacheEvents('a', [event(5)]),
      5,
      'too soon to resync',
    );
    clock.jump(10_000);
    assert.equal(router.applyCacheEvents('a', [event(6)]), -1);
    const content = [
      {sequence: 6, type: 'cleared', blocks: []} as const,
      {sequence: 7, type: 'stored', blocks} as const,
    ];
    assert.equal(router.applyCacheEvents('a', content), 7);
    assert.equal(router.choose(longRequest)?.endpoint, 'a');
  });

  it('corrects the cache view by the cached tokens of a response', () => {
    const {router} = createRig([candidate('a')]);
    router.applyCacheEvents('a', [{sequence: 1, type: 'stored', blocks}]);
    const choice = router.choose(longRequest);
    choice?.finish({outcome: 'ok', latencyMs: 30, cachedTokens: 0});
    const {endpoints} = router.dump() as {
      endpoints: {cache: {confirmed: number}}[];
    };
    assert.equal(endpoints[0]?.cache.confirmed, 0);
  });

  // The leave notice reaches an entry before the lagging host list, which then
  // still lists the endpoint as live. New requests sent there would be lost
  // with the host.
  it('sends a leaving endpoint nothing even while it is listed', () => {
    const {router, send, clock} = createRig([]);
    router.markLeaving('a');
    router.setEndpoints(candidates);
    clock.jump(30_000);
    router.setEndpoints(candidates);
    assert.equal(send(40, () => 'ok').has('a'), false);
    assert.equal(
      router.choose(routingRequest({excluded: new Set(['b', 'c', 'd'])})),
      undefined,
    );
  });

  it('uses a new process on another host with the same id', () => {
    const {router, send} = createRig(candidates);
    router.markLeaving('a');
    const moved = candidates.map(item =>
      item.id === 'a' ? {...item, host: 'h-new'} : item,
    );
    router.setEndpoints(moved);
    assert.equal(send(40, () => 'ok').has('a'), true);
  });

  it('ejects an endpoint whose load polls fail', () => {
    const {router, send, healthOf} = createRig(candidates);
    router.reportUnreachable('b');
    router.reportUnreachable('b');
    assert.equal(healthOf('b'), 'ejected');
    assert.equal(send(40, () => 'ok').has('b'), false);
  });

  it('counts slots of usable endpoints only', () => {
    const {router} = createRig(candidates);
    candidates.forEach(({id}) => router.reportLoad(id, loadReport({slots: 6})));
    router.markLeaving('d');
    assert.equal(router.slots('s'), 18);
  });
});
