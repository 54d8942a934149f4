import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {isServingError, settlePromises} from '@skylarkfield/base';
import type {AdmissionRequest, Permit} from '../index.js';
import {createFairQueue} from '../fairQueue.js';
import {booking, setUp} from './fixtures.js';

const isLong = process.env.SKYLARKFIELD_FUZZ === 'long';
const seed = isLong ? Date.now() % 1_000_000_000 : 42;
const parameters = {seed, numRuns: isLong ? 3000 : 150};
if (isLong) {
  console.log(`admission fuzz seed ${seed}`);
}

type Setup = ReturnType<typeof setUp>;

/** One request as the oracle sees it. */
interface Tracked {
  readonly urgency: number;
  readonly stop: AbortController;
  state: 'waiting' | 'admitted' | 'released' | 'refused';
  ends: number;
  permit?: Permit;
  /** How many requests had been admitted before this one. */
  rank?: number;
}

/** The oracle: what was asked and how each request ended. */
interface Oracle {
  readonly setup: Setup;
  readonly tracked: Tracked[];
  admissions: number;
}

interface Dump {
  readonly limit: number;
  readonly overdraft: number;
  readonly ordinaryFraction: number;
  readonly inFlight: number;
  readonly waiting: number;
  readonly queueLimit: number;
}

function count(oracle: Oracle, state: Tracked['state']): number {
  return oracle.tracked.filter(request => request.state === state).length;
}

function dumpOf({admission}: Setup): Dump {
  return (admission.dump() as {services: Dump[]}).services[0] as Dump;
}

function track(oracle: Oracle, wanted: Partial<AdmissionRequest>) {
  const {setup} = oracle;
  const stop = new AbortController();
  const request: Tracked = {
    urgency: wanted.urgency ?? 3,
    stop,
    state: 'waiting',
    ends: 0,
  };
  oracle.tracked.push(request);
  setup.ask(wanted, stop.signal).then(
    permit => {
      request.state = 'admitted';
      request.permit = permit;
      request.rank = oracle.admissions;
      oracle.admissions += 1;
      request.ends += 1;
    },
    (error: unknown) => {
      assert.ok(isServingError(error));
      assert.equal(error.run, 'not-run');
      request.state = 'refused';
      request.ends += 1;
    },
  );
}

const DEFAULT_URGENCY = 3;

/** Places that requests of an urgency may fill: only the more important ones use the overdraft. */
function placesOf({limit, overdraft, ordinaryFraction}: Dump, urgency: number) {
  const own = Math.floor(limit);
  const places =
    urgency < DEFAULT_URGENCY
      ? own + overdraft
      : Math.floor(own * ordinaryFraction);
  return Math.max(1, places);
}

/** Lets promises settle and compares the admission with the oracle. */
async function check(oracle: Oracle, admittedBefore: ReadonlySet<Tracked>) {
  await settlePromises();
  const dump = dumpOf(oracle.setup);
  const inFlight = count(oracle, 'admitted');
  function isNew(request: Tracked): boolean {
    return request.state === 'admitted' && !admittedBefore.has(request);
  }
  assert.equal(dump.inFlight, inFlight);
  assert.equal(dump.waiting, count(oracle, 'waiting'));
  assert.ok(dump.waiting <= dump.queueLimit);
  const added = oracle.tracked
    .filter(isNew)
    .sort((a, b) => (a.rank ?? 0) - (b.rank ?? 0));
  for (const [index, {urgency}] of added.entries()) {
    const found = inFlight - added.length + index;
    assert.ok(found < placesOf(dump, urgency), `${found} in flight`);
  }
  const best = Math.min(
    ...oracle.tracked
      .filter(request => request.state === 'waiting')
      .map(request => request.urgency),
  );
  for (const request of oracle.tracked) {
    assert.ok(request.ends <= 1);
    assert.ok(!isNew(request) || request.urgency <= best, 'importance order');
  }
}

type Step = (oracle: Oracle) => void | Promise<void>;

function step(
  name: string,
  run: Step,
): fc.AsyncCommand<object, Oracle, boolean> {
  return {
    check: () => true,
    async run(_model, oracle) {
      const before = new Set(
        oracle.tracked.filter(request => request.state === 'admitted'),
      );
      await run(oracle);
      await check(oracle, before);
    },
    toString: () => name,
  };
}

function pickOf(oracle: Oracle, state: Tracked['state'], index: number) {
  const some = oracle.tracked.filter(request => request.state === state);
  return some[index % Math.max(1, some.length)];
}

const outcomes = ['ok', 'failed', 'overloaded', 'cancelled'] as const;

const commands = [
  fc
    .record({
      urgency: fc.integer({min: 0, max: 7}),
      customer: fc.constantFrom('a', 'b', 'c', 'd'),
      cost: fc.constantFrom(0.5, 1, 4),
      leftMs: fc.constantFrom(0, 5, 50, 500, 5000, Infinity),
    })
    .map(wanted =>
      step(`ask ${JSON.stringify(wanted)}`, oracle =>
        track(oracle, {
          ...wanted,
          deadline: oracle.setup.clock.now() + wanted.leftMs,
        }),
      ),
    ),
  fc
    .tuple(fc.nat(20), fc.constantFrom(...outcomes), fc.nat(300))
    .map(([index, outcome, latencyMs]) =>
      step(`release ${index} ${outcome} ${latencyMs}`, oracle => {
        const request = pickOf(oracle, 'admitted', index);
        if (request !== undefined) {
          request.state = 'released';
          request.permit?.release({outcome, latencyMs});
          request.permit?.release({outcome, latencyMs});
        }
      }),
    ),
  fc.nat(20).map(index =>
    step(`abort ${index}`, oracle => {
      pickOf(oracle, 'waiting', index)?.stop.abort();
    }),
  ),
  fc
    .constantFrom(1, 20, 400, 3000)
    .map(spanMs =>
      step(`advance ${spanMs}`, oracle => oracle.setup.clock.advance(spanMs)),
    ),
  fc
    .tuple(fc.integer({min: 1, max: 6}), fc.nat(6))
    .map(([concurrency, queue]) =>
      step(`configure ${concurrency} ${queue}`, ({setup}) =>
        setup.admission.setService('booking', {...booking, concurrency, queue}),
      ),
    ),
  fc
    .integer({min: 1, max: 4})
    .map(entries =>
      step(`entries ${entries}`, ({setup}) =>
        setup.admission.setEntryCount(entries),
      ),
    ),
  fc
    .tuple(fc.nat(6), fc.option(fc.nat(8), {nil: undefined}))
    .map(([slots, busy]) =>
      step(`slots ${slots} busy ${busy}`, ({setup}) =>
        setup.admission.setReportedSlots('booking', slots, busy),
      ),
    ),
];

describe('admission fuzz', () => {
  it('keeps limit, importance and one end for each request', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.commands(commands, {maxCommands: 60, size: 'max'}),
        async run => {
          const setup = setUp({concurrency: 3, queue: 4});
          const oracle: Oracle = {setup, tracked: [], admissions: 0};
          await fc.asyncModelRun(() => ({model: {}, real: oracle}), run);
          setup.admission.setService('booking', undefined);
          await settlePromises();
          assert.equal(count(oracle, 'waiting'), 0);
          assert.ok(oracle.tracked.every(request => request.ends === 1));
        },
      ),
      parameters,
    );
  });

  it('serves waiting customers within one request each of their weights', () => {
    const customer = fc.record({
      weight: fc.constantFrom(0.5, 1, 2, 5),
      costs: fc.array(fc.constantFrom(0.2, 1, 3), {
        minLength: 20,
        maxLength: 40,
      }),
    });
    fc.assert(
      fc.property(
        fc.array(customer, {minLength: 2, maxLength: 6}),
        fc.integer({min: 1, max: 60}),
        (customers, servings) => {
          const weightOf = (name: string) =>
            customers[Number(name)]?.weight ?? 1;
          const queue = createFairQueue(weightOf);
          for (const [index, {costs}] of customers.entries()) {
            for (const cost of costs) {
              queue.push({customer: String(index), urgency: 3, cost});
            }
          }
          const served = customers.map(() => 0);
          const taken = customers.map(() => 0);
          for (let turn = 0; turn < servings; turn++) {
            const item = queue.shift();
            const index = Number(item?.customer);
            served[index] = (served[index] ?? 0) + (item?.cost ?? 0);
            taken[index] = (taken[index] ?? 0) + 1;
            const isAllWaiting = customers.every(
              ({costs}, other) => (taken[other] ?? 0) < costs.length,
            );
            if (!isAllWaiting) {
              return;
            }
          }
          const shares = served.map(
            (cost, index) => cost / weightOf(String(index)),
          );
          const largest = customers.map(
            ({costs, weight}) => Math.max(...costs) / weight,
          );
          for (const [a, shareA] of shares.entries()) {
            for (const [b, shareB] of shares.entries()) {
              const bound = (largest[a] ?? 0) + (largest[b] ?? 0) + 1e-9;
              assert.ok(Math.abs(shareA - shareB) <= bound);
            }
          }
        },
      ),
      parameters,
    );
  });

  it('remembers no more customers than a bound however many come and go', () => {
    // Customers come and go for months. A queue that kept every customer it
    // ever saw would grow until the process runs out of memory.
    const queue = createFairQueue(() => 1);
    queue.push({customer: 'steady', urgency: 3, cost: 1});
    for (let customer = 0; customer < 10_000; customer++) {
      queue.push({customer: `c${customer}`, urgency: 3, cost: 1});
      queue.push({customer: 'steady', urgency: 3, cost: 1});
      queue.shift();
      queue.shift();
    }
    assert.ok(queue.flowCount() < 100, `${queue.flowCount()}`);
  });
});
