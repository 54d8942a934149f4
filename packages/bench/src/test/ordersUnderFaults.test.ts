import assert from 'node:assert/strict';
import {after, afterEach, before, describe, it} from 'node:test';
import type {TrialProcess} from '../processes/childProcess.js';
import {
  putTrialRecords,
  runsByKey,
  sendOrder,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import {startTrialFleet, type TrialFleet} from '../processes/trialFleet.js';
import {waitUntil, waitUntilServing} from '../processes/waitUntilServing.js';

const PLAIN_ENDPOINTS = ['b1', 'b2'];
const ORDERS = 60;
/** Interval between orders, so that a fault occurs among them. */
const ORDER_INTERVAL_MS = 15;
/** Longer than the failure detection time of the other entries. */
const PAUSE_MS = 6_000;

/** Result of one order as received by its caller. */
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
        ...trialServiceEndpoint(id, 'a'),
        flags: ['--work-ms', '20'],
      })),
      settings: {log: {level: 'warn'}},
    });
    await putTrialRecords(fleet);
    await waitUntilServing(fleet, ['booking']);
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

  /** Sends orders to all entries in turn and injects a fault halfway. */
  async function sendOrdersAround(
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

  /** Checks that `not-run` orders did not run and answered ones ran once. */
  async function checkRuns(outcomes: readonly OrderOutcome[]): Promise<void> {
    const counts = await runs();
    for (const {key, run, body} of outcomes) {
      const count = counts.get(key) ?? 0;
      assert.ok(run !== 'not-run' || count === 0, `${key} ran: ${body}`);
      assert.ok(run !== 'ran' || count === 1, `${key} ran ${count} times`);
    }
  }

  /** Retries the orders with the same keys at another entry. */
  async function retryAll(
    outcomes: readonly OrderOutcome[],
  ): Promise<readonly OrderOutcome[]> {
    const entry = running()[0] as TrialProcess;
    return Promise.all(outcomes.map(({key}) => order(key, entry)));
  }

  // The host of an entry is lost during orders. Callers get no answer and retry
  // elsewhere; an order could run twice, or a retry get another reply.
  it('runs each order at most once when an entry is killed', async () => {
    const [victim] = running();
    const outcomes = await sendOrdersAround('kill', () => victim?.kill());
    await checkRuns(outcomes);
    const retried = await retryAll(outcomes);
    await checkRuns(retried);
    const replies = new Map(retried.map(({key, body}) => [key, body]));
    for (const {key, run, body} of outcomes) {
      if (run === 'ran') {
        const retry = retried.find(outcome => outcome.key === key);
        assert.ok(retry?.run !== 'ran' || replies.get(key) === body, key);
      }
    }
    const answered = retried.filter(({run}) => run === 'ran').length;
    assert.ok(answered > ORDERS / 2, `${answered} of ${ORDERS} were answered`);
  });

  // An entry is suspended beyond the failure detection time and then resumes.
  // The orders that it had claimed could run twice, there and at a new owner.
  it('runs each order at most once when an entry is paused and resumes', async () => {
    const [victim] = running();
    const placing = sendOrdersAround('pause', () => victim?.pause());
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    victim?.resume();
    const outcomes = await placing;
    await checkRuns(outcomes);
    await checkRuns(await retryAll(outcomes));
  });

  // An entry is stopped gracefully during orders. Each order must get its
  // reply, or a refusal as not run with other entries; no connection may be
  // cut.
  it('answers every order when an entry is stopped gracefully', async () => {
    const [victim] = running();
    let stopped: Promise<number | null> | undefined;
    const outcomes = await sendOrdersAround(
      'stop',
      () => (stopped = victim?.stop()),
    );
    assert.equal(await stopped, 0);
    await checkRuns(outcomes);
    const cut = outcomes.filter(({run}) => run === undefined);
    // After the entry has exited, connections fail without being accepted.
    assert.deepEqual(
      cut.filter(({status}) => status !== 0),
      [],
    );
    const unclear = outcomes.filter(({run}) => run === 'may-have-run');
    assert.deepEqual(unclear, []);
    const retried = await retryAll(outcomes);
    assert.deepEqual(
      retried
        .filter(({run}) => run !== 'ran')
        .map(({key, body}) => [key, body]),
      [],
    );
  });

  // The platform is down. Orders whose claim cannot be stored must be refused
  // at once as not run; after recovery, a retry of each must run.
  it('refuses orders at once while the platform is down, and accepts them afterwards', async () => {
    await fleet.control(fleet.platform, 'faults', {isDown: true});
    const first = running()[0] as TrialProcess;
    await waitUntil('an order is refused', async () => {
      const {run} = await order(`down-${Math.random()}`, first);
      return run === 'not-run';
    });
    const outcomes = await sendOrdersAround('down', () => undefined);
    await checkRuns(outcomes);
    assert.ok(outcomes.every(({run}) => run === 'not-run'));
    await fleet.control(fleet.platform, 'faults', {isDown: false});
    // Entries detect the recovery at different times, and the owner of an
    // order's shard may be a late one: callers retry.
    let retried = await retryAll(outcomes);
    await waitUntil('a retry of each order runs', async () => {
      retried = await retryAll(outcomes);
      return retried.every(({run}) => run === 'ran');
    });
    await checkRuns(retried);
  });
});
