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
import {MEMORY_SCHEME, createMemoryNetwork} from '@skylarkfield/protocol';
import {createEndpointLeaving} from '../index.js';

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

/** Entries a, b and c in a row: a and c only hear each other through b. */
function createRow() {
  const clock = virtualClock();
  const net = createMemoryNetwork({clock, random: seededRandom(1)});
  const ids = ['a', 'b', 'c'];
  const networks = ids.map(id => net.start(id).network);
  const peers = ids.map(id => ({id, incarnation: 1, url: MEMORY_SCHEME + id}));
  networks[1]!.setPeers(peers);
  const entries = networks.map(network => {
    const seen: string[] = [];
    let onNotice: (notice: ReclaimNotice) => void = () => {};
    let onList: (endpoints: readonly ListedEndpoint[]) => void = () => {};
    const leaving = createEndpointLeaving({
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
    leaving.onDidLeave(({endpoint, source}) =>
      seen.push(`${endpoint} by ${source}`),
    );
    leaving.onDidReturn(endpoint => seen.push(`${endpoint} returns`));
    return {
      leaving,
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
  /** Not listed when undefined. */
  readonly state?: 'live' | 'leaving';
  readonly url?: string;
}

/**
 * An endpoint restarts on its host under its id, as after an update. Were it
 * kept out for as long as a list can lag, a service of few endpoints would
 * lack it for a quarter of an hour; were it let in by an old list, calls would
 * go to a process that is gone.
 */
const returns: ReadonlyArray<{
  readonly name: string;
  /** 0 without a notice of the host. */
  readonly noticeMs: number;
  readonly steps: readonly ListStep[];
  readonly isBack: boolean;
}> = [
  {
    name: 'takes back what was listed as leaving and lives at another address',
    noticeMs: 0,
    steps: [{state: 'leaving'}, {state: 'live', url: 'http://h1:2'}],
    isBack: true,
  },
  {
    name: 'takes back what was gone and lives after the time of the notice',
    noticeMs: 30_000,
    steps: [{}, {afterMs: MINUTE_MS, state: 'live'}],
    isBack: true,
  },
  {
    name: 'keeps out what the list only goes on to show as live',
    noticeMs: 30_000,
    steps: [{state: 'live'}, {afterMs: 5 * MINUTE_MS, state: 'live'}],
    isBack: false,
  },
  {
    name: 'keeps out what lives again at the old address with no time known',
    noticeMs: 0,
    steps: [{state: 'leaving'}, {state: 'live'}],
    isBack: false,
  },
  {
    name: 'keeps out a new process on a host that is about to go',
    noticeMs: 30_000,
    steps: [{state: 'leaving'}, {state: 'live', url: 'http://h1:2'}],
    isBack: false,
  },
];

describe('leaving endpoints', () => {
  it('tells every entry from one notice, once', async () => {
    // The cloud takes a host back and only one entry hears the notice. Any entry
    // that goes on sending work there loses it half a minute later.
    const {clock, a, b, c} = createRow();
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
    assert.equal(c.leaving.isLeaving('e1'), true);
    assert.equal(c.leaving.isLeaving('e2'), false);
  });

  it('marks an endpoint that is listed only after the notice', async () => {
    // The list lags: the notice names a host on which it shows nothing yet.
    const {clock, a, c} = createRow();
    a.notice('h1');
    await clock.advance(10);
    assert.equal(c.leaving.isLeaving('e1', 'h1'), true);
    c.list(listedEndpoint('e1', 'h1'));
    assert.deepEqual(c.seen, ['e1 by list']);
  });

  it('hands on the list with leaving endpoints marked', async () => {
    // What chooses endpoints reads the list; it must not see as live what is
    // known to leave, also when the next old list arrives.
    const {clock, a} = createRow();
    const states: string[] = [];
    a.leaving.hostList.watch(list => {
      states.push(list.map(({id, state}) => `${id} ${state}`).join());
    });
    a.list(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    a.notice('h1');
    await clock.advance(10);
    a.list(listedEndpoint('e1', 'h1'), listedEndpoint('e2', 'h2'));
    const marked = 'e1 leaving,e2 live';
    assert.deepEqual(states, ['e1 live,e2 live', marked, marked]);
  });

  it('is not brought back by an old list, but by a new host', async () => {
    // The list still shows the endpoint as live minutes after the notice; later
    // its replacement starts under the same id on another host.
    const {clock, a} = createRow();
    a.list(listedEndpoint('e1', 'h1'));
    a.notice('h1');
    await clock.advance(10 * MINUTE_MS);
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.leaving.isLeaving('e1'), true);
    a.list(listedEndpoint('e1', 'h9'));
    assert.equal(a.leaving.isLeaving('e1'), false);
    assert.equal(a.leaving.isLeaving('e1', 'h1'), true);
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.leaving.isLeaving('e1'), true);
    assert.deepEqual(a.seen, ['e1 by notice', 'e1 returns']);
  });

  for (const {name, noticeMs, steps, isBack} of returns) {
    it(name, async () => {
      const {clock, a} = createRow();
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
      assert.equal(a.leaving.isLeaving('e1'), !isBack);
      assert.equal(a.seen.includes('e1 returns'), isBack);
      // Nor does the same notice, told again after a cut, take it away again.
      if (noticeMs > 0) {
        a.notice('h1', goneAt);
        await clock.advance(10);
        assert.equal(a.leaving.isLeaving('e1'), !isBack);
      }
    });
  }

  it('takes a returned endpoint away again by a second notice', async () => {
    const {clock, a, b} = createRow();
    a.list(listedEndpoint('e1', 'h1'));
    a.notice('h1');
    await clock.advance(MINUTE_MS);
    a.list();
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.leaving.isLeaving('e1'), false);
    a.notice('h1');
    await clock.advance(10);
    assert.equal(a.leaving.isLeaving('e1'), true);
    a.list(listedEndpoint('e1', 'h1'));
    assert.equal(a.leaving.isLeaving('e1'), true);
    assert.equal(b.leaving.isLeaving('e1'), true);
  });

  it('gives work again when the host stayed after all', async () => {
    // A notice that the cloud did not carry out must not idle a host for good.
    const {clock, a} = createRow();
    a.list(listedEndpoint('e1', 'h1'));
    a.notice('h1');
    await clock.advance(17 * MINUTE_MS);
    assert.equal(a.leaving.isLeaving('e1'), false);
    assert.deepEqual(a.seen, ['e1 by notice', 'e1 returns']);
  });

  it('tells a peer that was cut off when the word went round', async () => {
    // A switch is down for a moment just when the notice comes.
    const {clock, net, a, b, c} = createRow();
    net.crash('c');
    a.notice('h1');
    a.leaving.note('h1', ['e1'], 0, 'fault');
    await clock.advance(10);
    assert.deepEqual(c.seen, []);
    assert.deepEqual(b.seen, ['e1 by peer']);
    const again = net.start('c').network;
    const heard: string[] = [];
    again.onDidReceive('endpointLeaving', (_, {endpoints}) => {
      heard.push(...endpoints);
    });
    const url = `${MEMORY_SCHEME}b`;
    again.setPeers([{id: 'b', incarnation: 1, url}]);
    await clock.advance(10);
    assert.deepEqual(heard, ['e1']);
  });

  it('keeps its memory bounded', async () => {
    const {a} = createRow();
    for (let host = 0; host < 5_000; host++) {
      a.leaving.note(`h${host}`, [`e${host}`], 0, 'fault');
    }
    const {hosts} = a.leaving.dump() as {hosts: unknown[]};
    assert.equal(hosts.length, 4_000);
    assert.equal(a.leaving.isLeaving('e4999', 'h4999'), true);
  });
});
