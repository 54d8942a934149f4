import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {isServingError, settlePromises} from '@skylarkfield/base';
import type {AdmissionRequest, Permit} from '../index.js';
import {createFairQueue} from '../fairQueue.js';
import {bookingService, setUp} from './fixtures.js';

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
  completionCount: number;
  permit?: Permit;
  /** Number of requests admitted before this request. */
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

function admitTracked(oracle: Oracle, overrides: Partial<AdmissionRequest>) {
  const {setup} = oracle;
  const abortController = new AbortController();
  const request: TrackedRequest = {
    urgency: overrides.urgency ?? 3,
    abortController,
    state: 'waiting',
    completionCount: 0,
  };
  oracle.requests.push(request);
  setup.admit(overrides, abortController.signal).then(
    permit => {
      request.state = 'admitted';
      request.permit = permit;
      request.admissionIndex = oracle.admittedCount;
      oracle.admittedCount += 1;
      request.completionCount += 1;
    },
    (error: unknown) => {
      assert.ok(isServingError(error));
      assert.equal(error.run, 'not-run');
      request.state = 'refused';
      request.completionCount += 1;
    },
  );
}

const DEFAULT_URGENCY = 3;

/**
 * Returns the limit for an urgency; only requests more urgent than the default
 * may use the overdraft.
 */
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
async function checkInvariants(
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
  const newlyAdmitted = oracle.requests
    .filter(isNewlyAdmitted)
    .sort((a, b) => (a.admissionIndex ?? 0) - (b.admissionIndex ?? 0));
  for (const [index, {urgency}] of newlyAdmitted.entries()) {
    const inFlightBefore = inFlight - newlyAdmitted.length + index;
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
    assert.ok(request.completionCount <= 1);
    assert.ok(
      !isNewlyAdmitted(request) || request.urgency <= mostUrgentWaiting,
      'admitted while a more urgent request is waiting',
    );
  }
}

type Step = (oracle: Oracle) => void | Promise<void>;

function createStep(
  name: string,
  run: Step,
): fc.AsyncCommand<object, Oracle, boolean> {
  return {
    check: () => true,
    async run(_model, oracle) {
      const admittedBefore = new Set(
        oracle.requests.filter(request => request.state === 'admitted'),
      );
      await run(oracle);
      await checkInvariants(oracle, admittedBefore);
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
      createStep(`admit ${JSON.stringify(overrides)}`, oracle =>
        admitTracked(oracle, {
          ...overrides,
          deadline: oracle.setup.clock.now() + overrides.leftMs,
        }),
      ),
    ),
  fc
    .tuple(fc.nat(20), fc.constantFrom(...outcomes), fc.nat(300))
    .map(([index, outcome, latencyMs]) =>
      createStep(`release ${index} ${outcome} ${latencyMs}`, oracle => {
        const request = pickRequest(oracle, 'admitted', index);
        if (request !== undefined) {
          request.state = 'released';
          request.permit?.release({outcome, latencyMs});
          request.permit?.release({outcome, latencyMs});
        }
      }),
    ),
  fc.nat(20).map(index =>
    createStep(`abort ${index}`, oracle => {
      pickRequest(oracle, 'waiting', index)?.abortController.abort();
    }),
  ),
  fc
    .constantFrom(1, 20, 400, 3000)
    .map(spanMs =>
      createStep(`advance ${spanMs}`, oracle =>
        oracle.setup.clock.advance(spanMs),
      ),
    ),
  fc
    .tuple(fc.integer({min: 1, max: 6}), fc.nat(6))
    .map(([concurrency, queue]) =>
      createStep(`configure ${concurrency} ${queue}`, ({setup}) =>
        setup.admission.setService('booking', {
          ...bookingService,
          concurrency,
          queue,
        }),
      ),
    ),
  fc
    .integer({min: 1, max: 4})
    .map(entryCount =>
      createStep(`entries ${entryCount}`, ({setup}) =>
        setup.admission.setEntryCount(entryCount),
      ),
    ),
  fc
    .tuple(fc.nat(6), fc.option(fc.nat(8), {nil: undefined}))
    .map(([slots, outstanding]) =>
      createStep(`slots ${slots} outstanding ${outstanding}`, ({setup}) =>
        setup.admission.recordReportedSlots('booking', slots, outstanding),
      ),
    ),
];

describe('admission fuzz', () => {
  it('keeps the limit and the urgency order, and completes each request once', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.commands(commands, {maxCommands: 60, size: 'max'}),
        async commandRun => {
          const setup = setUp({concurrency: 3, queue: 4});
          const oracle: Oracle = {setup, requests: [], admittedCount: 0};
          await fc.asyncModelRun(() => ({model: {}, real: oracle}), commandRun);
          setup.admission.setService('booking', undefined);
          await settlePromises();
          assert.equal(countRequests(oracle, 'waiting'), 0);
          assert.ok(
            oracle.requests.every(request => request.completionCount === 1),
          );
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
        (customers, dequeueCount) => {
          const weightOf = (name: string) =>
            customers[Number(name)]?.weight ?? 1;
          const queue = createFairQueue(weightOf);
          for (const [index, {costs}] of customers.entries()) {
            for (const cost of costs) {
              queue.enqueue({customer: String(index), urgency: 3, cost});
            }
          }
          const servedCosts = customers.map(() => 0);
          const servedCounts = customers.map(() => 0);
          for (let turn = 0; turn < dequeueCount; turn++) {
            const item = queue.dequeue();
            const index = Number(item?.customer);
            servedCosts[index] = (servedCosts[index] ?? 0) + (item?.cost ?? 0);
            servedCounts[index] = (servedCounts[index] ?? 0) + 1;
            const areAllBacklogged = customers.every(
              ({costs}, other) => (servedCounts[other] ?? 0) < costs.length,
            );
            if (!areAllBacklogged) {
              return;
            }
          }
          const weightedCosts = servedCosts.map(
            (cost, index) => cost / weightOf(String(index)),
          );
          const largestWeightedCosts = customers.map(
            ({costs, weight}) => Math.max(...costs) / weight,
          );
          for (const [a, weightedCostA] of weightedCosts.entries()) {
            for (const [b, weightedCostB] of weightedCosts.entries()) {
              const bound =
                (largestWeightedCosts[a] ?? 0) +
                (largestWeightedCosts[b] ?? 0) +
                1e-9;
              assert.ok(Math.abs(weightedCostA - weightedCostB) <= bound);
            }
          }
        },
      ),
      parameters,
    );
  });

  it('drops idle flows, so that their number in memory is bounded', () => {
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
