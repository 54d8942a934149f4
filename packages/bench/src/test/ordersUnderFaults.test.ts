import assert from 'node:assert/strict';
import {after, afterEach, before, describe, it} from 'node:test';
import type {TrialProcess} from '../processes/childProcess.js';
import {
  putTrialRecords,
  runsByKey,
  sendOrder,
  trialPlain,
} from '../processes/trialCalls.js';
import {startTrialFleet, type TrialFleet} from '../processes/trialFleet.js';
import {until, untilServing} from '../processes/untilServing.js';

const PLAIN_ENDPOINTS = ['b1', 'b2'];
const ORDERS = 60;
/** Between two orders, so that faults fall among them. */
const ORDER_INTERVAL_MS = 15;
/** Longer than the others wait for an entry that is silent. */
const PAUSE_MS = 6_000;

/** What a caller saw of one order. */
interface OrderOutcome {
  readonly key: string;
  readonly status: number;
  readonly run: string | undefined;
  readonly body: string;
}

describe('orders as separate processes, under faults', () => {
  let fleet: TrialFleet;

  before(async () => {
    fleet = await startTrialFleet({
      entryDomains: ['a', 'b', 'c', 'd'],
      endpoints: PLAIN_ENDPOINTS.map(id => ({
        ...trialPlain(id, 'a'),
        flags: ['--work-ms', '20'],
      })),
      settings: {log: {level: 'warn'}},
    });
    await putTrialRecords(fleet);
    await untilServing(fleet, ['booking']);
  });

  after(() => fleet?.dispose());

  afterEach(async () => {
    const double = [...(await runs())].filter(([, count]) => count > 1);
    assert.deepEqual(double, []);
  });

  function running(): readonly TrialProcess[] {
    return fleet.entries.filter(entry => !entry.hasEnded());
  }

  async function order(
    key: string,
    entry: TrialProcess,
  ): Promise<OrderOutcome> {
    try {
      const url = entry.ready['callers'] ?? '';
      const {status, text, run} = await sendOrder(url, key);
      return {key, status, run: status === 201 ? 'ran' : run, body: text};
    } catch {
      return {key, status: 0, run: undefined, body: ''};
    }
  }

  /** Places orders at all entries in turn, with a fault in their midst. */
  async function placeAround(
    prefix: string,
    fault: () => unknown,
  ): Promise<readonly OrderOutcome[]> {
    const entries = running();
    const placed: Array<Promise<OrderOutcome>> = [];
    for (let index = 0; index < ORDERS; index++) {
      if (index === ORDERS / 2) {
        void fault();
      }
      const entry = entries[index % entries.length] as TrialProcess;
      placed.push(order(`${prefix}-${index}`, entry));
      await new Promise(resolve => setTimeout(resolve, ORDER_INTERVAL_MS));
    }
    return Promise.all(placed);
  }

  function runs(): Promise<ReadonlyMap<string, number>> {
    return runsByKey(fleet, PLAIN_ENDPOINTS);
  }

  /** No order ran whose caller heard `not-run`, and each answered one did. */
  async function checkTruth(seen: readonly OrderOutcome[]): Promise<void> {
    const counts = await runs();
    for (const {key, run, body} of seen) {
      const count = counts.get(key) ?? 0;
      assert.ok(run !== 'not-run' || count === 0, `${key} ran: ${body}`);
      assert.ok(run !== 'ran' || count === 1, `${key} ran ${count} times`);
    }
  }

  /** Callers try again with their keys at another entry, as they are told to. */
  async function retryAll(
    seen: readonly OrderOutcome[],
  ): Promise<readonly OrderOutcome[]> {
    const entry = running()[0] as TrialProcess;
    return Promise.all(seen.map(({key}) => order(key, entry)));
  }

  // The host of an entry dies without notice in the midst of orders. Callers get no answer and try
  // again elsewhere; each order must run at most once, and a reply seen before must be seen again.
  it('runs each order at most once when an entry is killed', async () => {
    const [victim] = running();
    const seen = await placeAround('kill', () => victim?.kill());
    await checkTruth(seen);
    const again = await retryAll(seen);
    await checkTruth(again);
    const replies = new Map(again.map(({key, body}) => [key, body]));
    for (const {key, run, body} of seen) {
      if (run === 'ran') {
        const retry = again.find(one => one.key === key);
        assert.ok(retry?.run !== 'ran' || replies.get(key) === body, key);
      }
    }
    const answered = again.filter(({run}) => run === 'ran').length;
    assert.ok(answered > ORDERS / 2, `${answered} of ${ORDERS} were answered`);
  });

  // An entry stands still for longer than the others wait for it, and then goes on as if nothing had
  // happened. What it had claimed must not run a second time, neither by it nor by its successors.
  it('runs each order at most once when an entry is paused and wakes', async () => {
    const [victim] = running();
    const placing = placeAround('pause', () => victim?.pause());
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    victim?.resume();
    const seen = await placing;
    await checkTruth(seen);
    await checkTruth(await retryAll(seen));
  });

  // An entry is stopped in the midst of orders. None of its callers may be cut off: every order is
  // answered with its reply, or refused as not run with entries to go to.
  it('answers every order when an entry is stopped as planned', async () => {
    const [victim] = running();
    let stopped: Promise<number | null> | undefined;
    const seen = await placeAround('stop', () => (stopped = victim?.stop()));
    assert.equal(await stopped, 0);
    await checkTruth(seen);
    const cut = seen.filter(({run}) => run === undefined);
    // Once the entry has ended, nothing listens there: such calls were never taken.
    assert.deepEqual(
      cut.filter(({status}) => status !== 0),
      [],
    );
    const unclear = seen.filter(({run}) => run === 'may-have-run');
    assert.deepEqual(unclear, []);
    const again = await retryAll(seen);
    assert.deepEqual(
      again.filter(({run}) => run !== 'ran').map(({key, body}) => [key, body]),
      [],
    );
  });

  // The platform goes away in the midst of orders. Those that can't be kept safe are refused at once
  // as not run; when it is back, a retry of each runs.
  it('refuses orders at once while the platform is down, and takes them after', async () => {
    await fleet.control(fleet.platform, 'faults', {isDown: true});
    const first = running()[0] as TrialProcess;
    await until('an order is refused', async () => {
      const {run} = await order(`down-${Math.random()}`, first);
      return run === 'not-run';
    });
    const seen = await placeAround('down', () => undefined);
    await checkTruth(seen);
    assert.ok(seen.every(({run}) => run === 'not-run'));
    await fleet.control(fleet.platform, 'faults', {isDown: false});
    // Each entry notices at a moment of its own that the platform is back, and
    // the owner of an order's shard may be a later one: callers try again.
    let again = await retryAll(seen);
    await until('a retry of each order runs', async () => {
      again = await retryAll(seen);
      return again.every(({run}) => run === 'ran');
    });
    await checkTruth(again);
  });
});
