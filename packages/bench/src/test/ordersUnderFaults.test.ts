import assert from 'node:assert/strict';
import {after, afterEach, before, describe, it} from 'node:test';
import type {TrialProcess} from '../processes/childProcess.js';
import {
  putTrialRecords,
  fetchRunsByKey,
  sendOrder,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import {startTrialFleet, type TrialFleet} from '../processes/trialFleet.js';
import {waitUntil, waitUntilServing} from '../processes/waitUntilServing.js';

const PLAIN_ENDPOINTS = ['b1', 'b2'];
const ORDER_COUNT = 60;
/** Interval between orders, so that a fault occurs while orders are sent. */
const ORDER_INTERVAL_MS = 15;
/** Pause longer than the failure detection time of the other entries. */
const PAUSE_MS = 6_000;

/** Result of one order for its caller; `run` is `ran` for an accepted order. */
interface OrderOutcome {
  readonly key: string;
  readonly status: number;
  readonly run: string | undefined;
  readonly body: string;
}

describe('orders in a fleet of processes, under faults', () => {
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
    const duplicateRuns = [...(await fetchRuns())].filter(
      ([, count]) => count > 1,
    );
    assert.deepEqual(duplicateRuns, []);
  });

  function runningEntries(): readonly TrialProcess[] {
    return fleet.entries.filter(entry => !entry.hasEnded());
  }

  async function placeOrder(
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
    injectFault: () => unknown,
  ): Promise<readonly OrderOutcome[]> {
    const entries = runningEntries();
    const openOrders: Array<Promise<OrderOutcome>> = [];
    for (let index = 0; index < ORDER_COUNT; index++) {
      if (index === ORDER_COUNT / 2) {
        void injectFault();
      }
      const entry = entries[index % entries.length] as TrialProcess;
      openOrders.push(placeOrder(`${prefix}-${index}`, entry));
      await new Promise(resolve => setTimeout(resolve, ORDER_INTERVAL_MS));
    }
    return Promise.all(openOrders);
  }

  function fetchRuns(): Promise<ReadonlyMap<string, number>> {
    return fetchRunsByKey(fleet, PLAIN_ENDPOINTS);
  }

  /** Checks that `not-run` orders did not run and accepted orders ran once. */
  async function checkRuns(outcomes: readonly OrderOutcome[]): Promise<void> {
    const runCounts = await fetchRuns();
    for (const {key, run, body} of outcomes) {
      const count = runCounts.get(key) ?? 0;
      assert.ok(run !== 'not-run' || count === 0, `${key} ran: ${body}`);
      assert.ok(run !== 'ran' || count === 1, `${key} ran ${count} times`);
    }
  }

  /** Retries the orders with the same keys at another entry. */
  async function retryAll(
    outcomes: readonly OrderOutcome[],
  ): Promise<readonly OrderOutcome[]> {
    const entry = runningEntries()[0] as TrialProcess;
    return Promise.all(outcomes.map(({key}) => placeOrder(key, entry)));
  }

  // The host of an entry is lost during orders. Callers get no answer and retry
  // at another entry: an order could run twice, or its retry could get a
  // different reply.
  it('runs each order at most once when an entry is killed', async () => {
    const [victim] = runningEntries();
    const outcomes = await sendOrdersAround('kill', () => victim?.kill());
    await checkRuns(outcomes);
    const retryOutcomes = await retryAll(outcomes);
    await checkRuns(retryOutcomes);
    const replies = new Map(retryOutcomes.map(({key, body}) => [key, body]));
    for (const {key, run, body} of outcomes) {
      if (run === 'ran') {
        const retry = retryOutcomes.find(outcome => outcome.key === key);
        assert.ok(retry?.run !== 'ran' || replies.get(key) === body, key);
      }
    }
    const answeredCount = retryOutcomes.filter(({run}) => run === 'ran').length;
    assert.ok(
      answeredCount > ORDER_COUNT / 2,
      `${answeredCount} of ${ORDER_COUNT} retries were answered`,
    );
  });

  // An entry is suspended beyond the failure detection time and then resumes.
  // The orders that it had claimed could run twice, at this entry and at a new
  // owner.
  it('runs each order at most once when an entry is paused and resumes', async () => {
    const [victim] = runningEntries();
    const sending = sendOrdersAround('pause', () => victim?.pause());
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    victim?.resume();
    const outcomes = await sending;
    await checkRuns(outcomes);
    await checkRuns(await retryAll(outcomes));
  });

  // An entry is stopped gracefully during orders. Each order must get its
  // reply, or a `not-run` refusal with other entries; no connection may be cut.
  it('answers every order when an entry is stopped gracefully', async () => {
    const [victim] = runningEntries();
    let stopPromise: Promise<number | null> | undefined;
    const outcomes = await sendOrdersAround(
      'stop',
      () => (stopPromise = victim?.stop()),
    );
    assert.equal(await stopPromise, 0);
    await checkRuns(outcomes);
    const unanswered = outcomes.filter(({run}) => run === undefined);
    // Orders sent after the exit of the entry fail to connect (status 0).
    assert.deepEqual(
      unanswered.filter(({status}) => status !== 0),
      [],
    );
    const unknownOutcomes = outcomes.filter(({run}) => run === 'may-have-run');
    assert.deepEqual(unknownOutcomes, []);
    const retryOutcomes = await retryAll(outcomes);
    assert.deepEqual(
      retryOutcomes
        .filter(({run}) => run !== 'ran')
        .map(({key, body}) => [key, body]),
      [],
    );
  });

  // The platform is down. Orders whose claim cannot be stored must be refused
  // at once as not run; after recovery, a retry of each order must run.
  it('refuses orders at once while the platform is down, and accepts them afterwards', async () => {
    await fleet.control(fleet.platform, 'faults', {isDown: true});
    const firstEntry = runningEntries()[0] as TrialProcess;
    await waitUntil('an order is refused as not run', async () => {
      const {run} = await placeOrder(`down-${Math.random()}`, firstEntry);
      return run === 'not-run';
    });
    const outcomes = await sendOrdersAround('down', () => undefined);
    await checkRuns(outcomes);
    assert.ok(outcomes.every(({run}) => run === 'not-run'));
    await fleet.control(fleet.platform, 'faults', {isDown: false});
    // Entries detect the recovery at different times. An order is refused while
    // the owner of its shard has not detected the recovery, so callers retry.
    let retryOutcomes = await retryAll(outcomes);
    await waitUntil('a retry of each order runs', async () => {
      retryOutcomes = await retryAll(outcomes);
      return retryOutcomes.every(({run}) => run === 'ran');
    });
    await checkRuns(retryOutcomes);
  });
});
