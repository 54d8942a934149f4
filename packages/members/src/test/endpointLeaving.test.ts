import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  seededRandom,
  silentLogger,
  toDisposable,
  virtualClock,
} from '@skylarkfield/base';
import type {ListedEndpoint, ReclaimNotice} from '@skylarkfield/providers';
import {MEMORY_URL_PREFIX, createMemoryNetwork} from '@skylarkfield/protocol';
import {createLeavingEndpointTracker} from '../index.js';

const MINUTE_MS = 60_000;

function listedEndpoint(
  id: string,
  host: string,
  state: 'live' | 'leaving' = 'live',
): ListedEndpoint {
  return {
    id,
    type: 'plain',
    service: 'booking',
    version: 'v1',
    url: `http://${host}`,
    host,
    failureDomain: 'a',
    machineClass: 'small',
    checksFencing: true,
    state,
  };
}

/** Creates entries a, b and c in a chain: a and c are connected only via b. */
function createChain() {
  const clock = virtualClock();
  const net = createMemoryNetwork({clock, random: seededRandom(1)});
  const ids = ['a', 'b', 'c'];
  const networks = ids.map(id => net.start(id).network);
  const peers = ids.map(id => ({
    id,
    incarnation: 1,
    url: MEMORY_URL_PREFIX + id,
  }));
  networks[1]!.setPeers(peers);
  const entries = networks.map(network => {
    const seen: string[] = [];
    let onNotice: (notice: ReclaimNotice) => void = () => {};
    let onList: (endpoints: readonly ListedEndpoint[]) => void = () => {};
    const tracker = createLeavingEndpointTracker({
      cloud: {
        watchNotices(listener) {
          onNotice = listener;
          return toDisposable(() => (onNotice = () => {}));
        },
      },
      hostList: {
        watch(listener) {
          onList = listener;
          return toDisposable(() => {});
        },
      },
      network,
      clock,
      decisions: decisionLog(clock, silentLogger()),
    });
    tracker.onDidLeave(({endpoint, source}) =>
      seen.push(`${endpoint} by ${source}`),
    );
    tracker.onDidReturn(endpoint => seen.push(`${endpoint} returns`));
    return {
      tracker,
      seen,
      notice: (host: string, goneAt = clock.wall() + 30_000) =>
        onNotice({host, goneAt}),
      list: (...endpoints: ListedEndpoint[]) => onList(endpoints),
    };
  });
  const [a, b, c] = entries;
  return {clock, net, a: a!, b: b!, c: c!};
}

interface ListStep {
  readonly afterMs?: number;
  /** Undefined if the endpoint is absent from the list. */
  readonly state?: 'live' | 'leaving';
  readonly url?: string;
}

/**
 * An endpoint restarts on its host under the same id, as after an update. If it
 * stayed excluded for the maximum list lag, a service with few endpoints would
 * lack it for a quarter of an hour; if an outdated list readmitted it, calls
 * would go to a process that is gone.
 */
const returnCases: ReadonlyArray<{
  readonly name: string;
  /** Time until the host is gone; 0 without a reclaim notice. */
  readonly noticeMs: number;
  readonly steps: readonly ListStep[];
  readonly isBack: boolean;
}> = [
  {
    name: 'readmits an endpoint listed as leaving, then live at a new URL',
    noticeMs: 0,
    steps: [{state: 'leaving'}, {state: 'live', url: 'http://h1:2'}],
    isBack: true,
  },
  {
    name: 'readmits an endpoint that was unlisted, then live after the deadline',
    noticeMs: 30_000,
    steps: [{}, {afterMs: MINUTE_MS, state: 'live'}],
    isBack: true,
  },
  {
    name: 'excludes an endpoint that the list keeps showing as live',
    noticeMs: 30_000,
    steps: [{state: 'live'}, {afterMs: 5 * MINUTE_MS, state: 'live'}],
    isBack: false,
  },
  {
    name: 'excludes an endpoint live again at the old URL without a deadline',
    noticeMs: 0,
    steps: [{state: 'leaving'}, {state: 'live'}],
    isBack: false,
  },
  {
    name: 'excludes a new process on a host that is about to be reclaimed',
    noticeMs: 30_000,
    steps: [{state: 'leaving'}, {state: 'live', url: 'http://h1:2'}],
    isBack: false,
  },
];

describe('leaving endpoints', () => {
  it('propagates a notice to every entry once', async () => {
    // Only one entry receives the reclaim notice of a host. Any entry that kept
    // sending work there would lose it half a minute later.
    const {clock, a, b, c} = createChain();
    a.list(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    a.notice('h1');
    await clock.advance(10);
    assert.deepEqual(a.seen, ['e1 by notice']);
    assert.deepEqual(b.seen, ['e1 by peer']);
    assert.deepEqual(c.seen, ['e1 by peer']);
    b.list(listedEndpoint('e1', 'h1', 'leaving'));
    c.notice('h1');
    await clock.advance(10);
    assert.deepEqual(b.seen, ['e1 by peer']);
    assert.equal(c.tracker.isLeaving('e1'), true);
    assert.equal(c.tracker.isLeaving('e2'), false);
  });

  it('marks an endpoint that is listed only after the notice', async () => {
    // The list lags: it shows no endpoint on the host of the notice yet.
    const {clock, a, c} = createChain();
    a.notice('h1');
    await clock.advance(10);
    assert.equal(c.tracker.isLeaving('e1', 'h1'), true);
    c.list(listedEndpoint('e1', 'h1'));
    assert.deepEqual(c.seen, ['e1 by list']);
  });

  it('publishes the host list with leaving endpoints marked', async () => {
    // Endpoint selection reads this list; it must not show an endpoint known to
    // leave as live, even when another outdated list arrives.
    const {clock, a} = createChain();
    const states: string[] = [];
    a.tracker.hostList.watch(list => {
      states.push(list.map(({id, state}) => `${id} ${state}`).join());
    });
    a.list(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    a.notice('h1');
    await clock.advance(10);
    a.list(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    const marked = 'e1 leaving,e2 live';
    assert.deepEqual(states, ['e1 live,e2 live', marked, marked]);
  });

  it('readmits an endpoint on a new host, not from an outdated list', async () => {
    // The list still shows the endpoint as live minutes after the notice; later
    // its replacement starts under the same id on another host.
    const {clock, a} = createChain();
    a.list(listedEndpoint('e1', 'h1'));
    a.notice('h1');
    await clock.advance(10 * MINUTE_MS);
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), true);
    a.list(listedEndpoint('e1', 'h9'));
    assert.equal(a.tracker.isLeaving('e1'), false);
    assert.equal(a.tracker.isLeaving('e1', 'h1'), true);
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), true);
    assert.deepEqual(a.seen, ['e1 by notice', 'e1 returns']);
  });

  for (const {name, noticeMs, steps, isBack} of returnCases) {
    it(name, async () => {
      const {clock, a} = createChain();
      a.list(listedEndpoint('e1', 'h1'));
      const goneAt = clock.wall() + noticeMs;
      if (noticeMs > 0) {
        a.notice('h1', goneAt);
      }
      for (const {afterMs = 1_000, state, url} of steps) {
        await clock.advance(afterMs);
        const item = listedEndpoint('e1', 'h1', state ?? 'live');
        a.list(
          listedEndpoint('e2', 'h2'),
          ...(state === undefined ? [] : [{...item, url: url ?? item.url}]),
        );
      }
      assert.equal(a.tracker.isLeaving('e1'), !isBack);
      assert.equal(a.seen.includes('e1 returns'), isBack);
      // The same notice, repeated after a partition, must not change that.
      if (noticeMs > 0) {
        a.notice('h1', goneAt);
        await clock.advance(10);
        assert.equal(a.tracker.isLeaving('e1'), !isBack);
      }
    });
  }

  it('excludes a returned endpoint again on a second notice', async () => {
    const {clock, a, b} = createChain();
    a.list(listedEndpoint('e1', 'h1'));
    a.notice('h1');
    await clock.advance(MINUTE_MS);
    a.list();
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), false);
    a.notice('h1');
    await clock.advance(10);
    assert.equal(a.tracker.isLeaving('e1'), true);
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), true);
    assert.equal(b.tracker.isLeaving('e1'), true);
  });

  it('readmits endpoints when the host was not reclaimed', async () => {
    // A notice that the cloud did not carry out must not idle a host for good.
    const {clock, a} = createChain();
    a.list(listedEndpoint('e1', 'h1'));
    a.notice('h1');
    await clock.advance(17 * MINUTE_MS);
    assert.equal(a.tracker.isLeaving('e1'), false);
    assert.deepEqual(a.seen, ['e1 by notice', 'e1 returns']);
  });

  it('resends to a peer that was disconnected during the broadcast', async () => {
    // A switch is down for a moment when the notice arrives.
    const {clock, net, a, b, c} = createChain();
    net.crash('c');
    a.notice('h1');
    a.tracker.reportLeaving('h1', ['e1'], 0, 'fault');
    await clock.advance(10);
    assert.deepEqual(c.seen, []);
    assert.deepEqual(b.seen, ['e1 by peer']);
    const restartedNetwork = net.start('c').network;
    const received: string[] = [];
    restartedNetwork.onDidReceive('endpointLeaving', (_, {endpoints}) => {
      received.push(...endpoints);
    });
    const url = `${MEMORY_URL_PREFIX}b`;
    restartedNetwork.setPeers([{id: 'b', incarnation: 1, url}]);
    await clock.advance(10);
    assert.deepEqual(received, ['e1']);
  });

  it('bounds the number of tracked hosts', async () => {
    const {a} = createChain();
    for (let host = 0; host < 5_000; host++) {
      a.tracker.reportLeaving(`h${host}`, [`e${host}`], 0, 'fault');
    }
    const {hosts} = a.tracker.dump() as {hosts: unknown[]};
    assert.equal(hosts.length, 4_000);
    assert.equal(a.tracker.isLeaving('e4999', 'h4999'), true);
  });
});
