import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  toDisposable,
  createVirtualClock,
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
  const clock = createVirtualClock();
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
    const events: string[] = [];
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
      decisions: createDecisionLog(clock, createSilentLogger()),
    });
    tracker.onDidLeave(({endpoint, source}) =>
      events.push(`${endpoint} by ${source}`),
    );
    tracker.onDidReturn(endpoint => events.push(`${endpoint} returns`));
    return {
      tracker,
      events,
      sendNotice: (host: string, goneAt = clock.wall() + 30_000) =>
        onNotice({host, goneAt}),
      publishList: (...endpoints: ListedEndpoint[]) => onList(endpoints),
    };
  });
  const [a, b, c] = entries;
  return {clock, net, a: a!, b: b!, c: c!};
}

interface ListStep {
  /** Milliseconds from the previous list to this list. */
  readonly afterMs?: number;
  /** Undefined if the endpoint is absent from the list. */
  readonly state?: 'live' | 'leaving';
  readonly url?: string;
}

/**
 * An endpoint restarts on its host under the same id, as after an update. If it
 * stayed excluded for the maximum list lag, a service with few endpoints would
 * lack the endpoint for a quarter of an hour; if an outdated list readmitted
 * it, calls would go to a process that is gone.
 */
const returnCases: ReadonlyArray<{
  readonly name: string;
  /** Milliseconds until the host is gone; 0 without a reclaim notice. */
  readonly noticeMs: number;
  readonly steps: readonly ListStep[];
  readonly isReadmitted: boolean;
}> = [
  {
    name: 'readmits an endpoint listed as leaving, then live at a new URL',
    noticeMs: 0,
    steps: [{state: 'leaving'}, {state: 'live', url: 'http://h1:2'}],
    isReadmitted: true,
  },
  {
    name: 'readmits an endpoint that was unlisted, then live after the deadline',
    noticeMs: 30_000,
    steps: [{}, {afterMs: MINUTE_MS, state: 'live'}],
    isReadmitted: true,
  },
  {
    name: 'excludes an endpoint that the list keeps showing as live',
    noticeMs: 30_000,
    steps: [{state: 'live'}, {afterMs: 5 * MINUTE_MS, state: 'live'}],
    isReadmitted: false,
  },
  {
    name: 'excludes an endpoint live again at the old URL without a deadline',
    noticeMs: 0,
    steps: [{state: 'leaving'}, {state: 'live'}],
    isReadmitted: false,
  },
  {
    name: 'excludes a new process on a host that is about to be reclaimed',
    noticeMs: 30_000,
    steps: [{state: 'leaving'}, {state: 'live', url: 'http://h1:2'}],
    isReadmitted: false,
  },
];

describe('leaving endpoints', () => {
  it('propagates a notice to every entry once', async () => {
    // Only one entry receives the reclaim notice of a host. An entry that kept
    // sending work to that host would lose the work half a minute later.
    const {clock, a, b, c} = createChain();
    a.publishList(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    a.sendNotice('h1');
    await clock.advance(10);
    assert.deepEqual(a.events, ['e1 by notice']);
    assert.deepEqual(b.events, ['e1 by peer']);
    assert.deepEqual(c.events, ['e1 by peer']);
    b.publishList(listedEndpoint('e1', 'h1', 'leaving'));
    c.sendNotice('h1');
    await clock.advance(10);
    assert.deepEqual(b.events, ['e1 by peer']);
    assert.equal(c.tracker.isLeaving('e1'), true);
    assert.equal(c.tracker.isLeaving('e2'), false);
  });

  it('marks an endpoint that is listed only after the notice', async () => {
    // The list lags: it shows no endpoint on the host of the notice yet.
    const {clock, a, c} = createChain();
    a.sendNotice('h1');
    await clock.advance(10);
    assert.equal(c.tracker.isLeaving('e1', 'h1'), true);
    c.publishList(listedEndpoint('e1', 'h1'));
    assert.deepEqual(c.events, ['e1 by list']);
  });

  it('publishes the host list with leaving endpoints marked', async () => {
    // Endpoint selection reads this list; it must not show a leaving endpoint
    // as live, even when another outdated list arrives.
    const {clock, a} = createChain();
    const states: string[] = [];
    a.tracker.hostList.watch(list => {
      states.push(list.map(({id, state}) => `${id} ${state}`).join());
    });
    a.publishList(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    a.sendNotice('h1');
    await clock.advance(10);
    a.publishList(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    const markedList = 'e1 leaving,e2 live';
    assert.deepEqual(states, ['e1 live,e2 live', markedList, markedList]);
  });

  it('readmits an endpoint on a new host, not from an outdated list', async () => {
    // The list still shows the endpoint as live minutes after the notice; later
    // its replacement starts under the same id on another host.
    const {clock, a} = createChain();
    a.publishList(listedEndpoint('e1', 'h1'));
    a.sendNotice('h1');
    await clock.advance(10 * MINUTE_MS);
    a.publishList(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), true);
    a.publishList(listedEndpoint('e1', 'h9'));
    assert.equal(a.tracker.isLeaving('e1'), false);
    assert.equal(a.tracker.isLeaving('e1', 'h1'), true);
    a.publishList(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), true);
    assert.deepEqual(a.events, ['e1 by notice', 'e1 returns']);
  });

  for (const {name, noticeMs, steps, isReadmitted} of returnCases) {
    it(name, async () => {
      const {clock, a} = createChain();
      a.publishList(listedEndpoint('e1', 'h1'));
      const goneAt = clock.wall() + noticeMs;
      if (noticeMs > 0) {
        a.sendNotice('h1', goneAt);
      }
      for (const {afterMs = 1_000, state, url} of steps) {
        await clock.advance(afterMs);
        const item = listedEndpoint('e1', 'h1', state ?? 'live');
        a.publishList(
          listedEndpoint('e2', 'h2'),
          ...(state === undefined ? [] : [{...item, url: url ?? item.url}]),
        );
      }
      assert.equal(a.tracker.isLeaving('e1'), !isReadmitted);
      assert.equal(a.events.includes('e1 returns'), isReadmitted);
      // The same notice, repeated after a partition, must not change the
      // result.
      if (noticeMs > 0) {
        a.sendNotice('h1', goneAt);
        await clock.advance(10);
        assert.equal(a.tracker.isLeaving('e1'), !isReadmitted);
      }
    });
  }

  it('excludes a returned endpoint again on a second notice', async () => {
    const {clock, a, b} = createChain();
    a.publishList(listedEndpoint('e1', 'h1'));
    a.sendNotice('h1');
    await clock.advance(MINUTE_MS);
    a.publishList();
    a.publishList(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), false);
    a.sendNotice('h1');
    await clock.advance(10);
    assert.equal(a.tracker.isLeaving('e1'), true);
    a.publishList(listedEndpoint('e1', 'h1'));
    assert.equal(a.tracker.isLeaving('e1'), true);
    assert.equal(b.tracker.isLeaving('e1'), true);
  });

  it('readmits endpoints if their host has not been reclaimed after the deadline', async () => {
    // If the cloud does not carry out a notice, the host must not stay idle.
    const {clock, a} = createChain();
    a.publishList(listedEndpoint('e1', 'h1'));
    a.sendNotice('h1');
    await clock.advance(17 * MINUTE_MS);
    assert.equal(a.tracker.isLeaving('e1'), false);
    assert.deepEqual(a.events, ['e1 by notice', 'e1 returns']);
  });

  it('resends a report to a peer that was disconnected during the broadcast', async () => {
    // `c` crashes before the notice arrives. Its new process connects to `b`
    // only after the broadcast.
    const {clock, net, a, b, c} = createChain();
    net.crash('c');
    a.sendNotice('h1');
    a.tracker.reportLeaving('h1', ['e1'], 0, 'fault');
    await clock.advance(10);
    assert.deepEqual(c.events, []);
    assert.deepEqual(b.events, ['e1 by peer']);
    const restartedNetwork = net.start('c').network;
    const received: string[] = [];
    restartedNetwork.addHandler('endpointLeaving', (_, {endpoints}) => {
      received.push(...endpoints);
    });
    const url = `${MEMORY_URL_PREFIX}b`;
    restartedNetwork.setPeers([{id: 'b', incarnation: 1, url}]);
    await clock.advance(10);
    assert.deepEqual(received, ['e1']);
  });

  it('tracks at most 4,000 leaving hosts', async () => {
    const {a} = createChain();
    for (let host = 0; host < 5_000; host++) {
      a.tracker.reportLeaving(`h${host}`, [`e${host}`], 0, 'fault');
    }
    const {hosts} = a.tracker.dump() as {hosts: unknown[]};
    assert.equal(hosts.length, 4_000);
    assert.equal(a.tracker.isLeaving('e4999', 'h4999'), true);
  });
});
