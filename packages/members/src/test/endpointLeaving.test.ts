import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  seededRandom,
  silentLogger,
  toDisposable,
  virtualClock,
} from '@skylarkfield/base';
import type {ListedEndpoint, ReclaimNotice} from '@skylarkfield/platform';
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
      notice: (host: string) => onNotice({host, goneAt: clock.wall() + 30_000}),
      list: (...endpoints: ListedEndpoint[]) => onList(endpoints),
    };
  });
  const [a, b, c] = entries;
  return {clock, net, a: a!, b: b!, c: c!};
}

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
