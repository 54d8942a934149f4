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

/** Expected state of one request. */
interface TrackedRequest {
  readonly urgency: number;
  readonly abortController: AbortController;
  state: 'waiting' | 'admitted' | 'released' | 'refused';
  endCount: number;
  permit?: Permit;
  /** Number of requests admitted before this one. */
  admissionIndex?: number;
}

/** Test oracle: all requests and their expected states. */
interface Oracle {
  readonly setup: Setup;
  readonly requests: TrackedRequest[];
  admittedCount: number;
}

interface Dump {
  readonly limit: number;
  readonly overdraft: number;
  readonly ordinaryFraction: number;
  readonly inFlight: number;
  readonly waiting: number;
  readonly queueLimit: number;
}

function countRequests(oracle: Oracle, state: TrackedRequest['state']): number {
  return oracle.requests.filter(request => request.state === state).length;
}

function dumpOf({admission}: Setup): Dump {
  return (admission.dump() as {services: Dump[]}).services[0] as Dump;
}

function track(oracle: Oracle, overrides: Partial<AdmissionRequest>) {
  const {setup} = oracle;
  const abortController = new AbortController();
  const request: TrackedRequest = {
    urgency: overrides.urgency ?? 3,
    abortController,
    state: 'waiting',
    endCount: 0,
  };
  oracle.requests.push(request);
  setup.admit(overrides, abortController.signal).then(
    permit => {
      request.state = 'admitted';
      request.permit = permit;
      request.admissionIndex = oracle.admittedCount;
      oracle.admittedCount += 1;
      request.endCount += 1;
    },
    (error: unknown) => {
      assert.ok(isServingError(error));
      assert.equal(error.run, 'not-run');
      request.state = 'refused';
      request.endCount += 1;
    },
  );
}

const DEFAULT_URGENCY = 3;

/** Returns the limit of an urgency; only the more urgent use the overdraft. */
function limitForUrgency(
  {limit, overdraft, ordinaryFraction}: Dump,
  urgency: number,
) {
  const ownLimit = Math.floor(limit);
  const urgencyLimit =
    urgency < DEFAULT_URGENCY
      ? ownLimit + overdraft
      : Math.floor(ownLimit * ordinaryFraction);
  return Math.max(1, urgencyLimit);
}

/** Settles promises and compares the admission controller with the oracle. */
async function check(
  oracle: Oracle,
  admittedBefore: ReadonlySet<TrackedRequest>,
) {
  await settlePromises();
  const dump = dumpOf(oracle.setup);
  const inFlight = countRequests(oracle, 'admitted');
  function isNewlyAdmitted(request: TrackedRequest): boolean {
    return request.state === 'admitted' && !admittedBefore.has(request);
  }
  assert.equal(dump.inFlight, inFlight);
  assert.equal(dump.waiting, countRequests(oracle, 'waiting'));
  assert.ok(dump.waiting <= dump.queueLimit);
  const admitted = oracle.requests
    .filter(isNewlyAdmitted)
    .sort((a, b) => (a.admissionIndex ?? 0) - (b.admissionIndex ?? 0));
  for (const [index, {urgency}] of admitted.entries()) {
    const inFlightBefore = inFlight - admitted.length + index;
    assert.ok(
      inFlightBefore < limitForUrgency(dump, urgency),
      `${inFlightBefore} in flight`,
    );
  }
  const mostUrgentWaiting = Math.min(
    ...oracle.requests
      .filter(request => request.state === 'waiting')
      .map(request => request.urgency),
  );
  for (const request of oracle.requests) {
    assert.ok(request.endCount <= 1);
    assert.ok(
      !isNewlyAdmitted(request) || request.urgency <= mostUrgentWaiting,
      'urgency order',
    );
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
        oracle.requests.filter(request => request.state === 'admitted'),
      );
      await run(oracle);
      await check(oracle, before);
    },
    toString: () => name,
  };
}

function pickRequest(
  oracle: Oracle,
  state: TrackedRequest['state'],
  index: number,
) {
  const candidates = oracle.requests.filter(request => request.state === state);
  return candidates[index % Math.max(1, candidates.length)];
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
    .map(overrides =>
      step(`admit ${JSON.stringify(overrides)}`, oracle =>
        track(oracle, {
          ...overrides,
          deadline: oracle.setup.clock.now() + overrides.leftMs,
        }),
      ),
    ),
  fc
    .tuple(fc.nat(20), fc.constantFrom(...outcomes), fc.nat(300))
    .map(([index, outcome, latencyMs]) =>
      step(`release ${index} ${outcome} ${latencyMs}`, oracle => {
        const request = pickRequest(oracle, 'admitted', index);
        if (request !== undefined) {
          request.state = 'released';
          request.permit?.release({outcome, latencyMs});
          request.permit?.release({outcome, latencyMs});
        }
      }),
    ),
  fc.nat(20).map(index =>
    step(`abort ${index}`, oracle => {
      pickRequest(oracle, 'waiting', index)?.abortController.abort();
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
  it('keeps the limit and the urgency order and ends each request once', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.commands(commands, {maxCommands: 60, size: 'max'}),
        async run => {
          const setup = setUp({concurrency: 3, queue: 4});
          const oracle: Oracle = {setup, requests: [], admittedCount: 0};
          await fc.asyncModelRun(() => ({model: {}, real: oracle}), run);
          setup.admission.setService('booking', undefined);
          await settlePromises();
          assert.equal(countRequests(oracle, 'waiting'), 0);
          assert.ok(oracle.requests.every(request => request.endCount === 1));
        },
      ),
      parameters,
    );
  });

  it('serves backlogged customers by weight, within one request each', () => {
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
              queue.enqueue({customer: String(index), urgency: 3, cost});
            }
          }
          const served = customers.map(() => 0);
          const taken = customers.map(() => 0);
          for (let turn = 0; turn < servings; turn++) {
            const item = queue.dequeue();
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

  it('bounds the number of flows in memory', () => {
    // Over months requests come from ever more customers. A queue that kept a
    // flow for each of them would grow until the process runs out of memory.
    const queue = createFairQueue(() => 1);
    queue.enqueue({customer: 'steady', urgency: 3, cost: 1});
    for (let index = 0; index < 10_000; index++) {
      queue.enqueue({customer: `c${index}`, urgency: 3, cost: 1});
      queue.enqueue({customer: 'steady', urgency: 3, cost: 1});
      queue.dequeue();
      queue.dequeue();
    }
    assert.ok(queue.flowCount() < 100, `${queue.flowCount()}`);
  });
});
