import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, settlePromises} from '@skylarkfield/base';
import type {AdmissionController, AdmissionRequest} from '../index.js';
import {bookingService, okResult, setUp} from './fixtures.js';

describe('admission', () => {
  it('admits a queued request when a permit is released', async () => {
    const {admit} = setUp();
    const firstPermit = await admit();
    const secondPermit = admit();
    firstPermit.release(okResult);
    assert.equal((await secondPermit).waitedMs, 0);
  });

  it('ignores repeated releases of a permit', async () => {
    // Two error paths of one request both release its permit. If both releases
    // counted, the service would get more concurrent requests than its limit.
    const {admit, admission} = setUp({queue: 2});
    const firstPermit = await admit();
    const secondPermit = admit();
    const thirdPermit = admit();
    firstPermit.release(okResult);
    firstPermit.release(okResult);
    const permit = await secondPermit;
    assert.equal(inFlightOf(admission), 1);
    permit.release(okResult);
    await thirdPermit;
  });

  const fullQueueCases: readonly {
    readonly title: string;
    readonly runningRequest: Partial<AdmissionRequest>;
    readonly queuedRequest: Partial<AdmissionRequest>;
    readonly incomingRequest: Partial<AdmissionRequest>;
    readonly rejected: 'queued' | 'incoming';
  }[] = [
    {
      title: 'a less urgent queued request',
      runningRequest: {},
      queuedRequest: {urgency: 5},
      incomingRequest: {urgency: 1},
      rejected: 'queued',
    },
    {
      title: 'an equally urgent incoming request of the same customer',
      runningRequest: {},
      queuedRequest: {urgency: 3},
      incomingRequest: {urgency: 3},
      rejected: 'incoming',
    },
    {
      title: 'a less urgent incoming request',
      runningRequest: {},
      queuedRequest: {urgency: 2},
      incomingRequest: {urgency: 3, customer: 'other'},
      rejected: 'incoming',
    },
    {
      title: 'the costly request of a customer above its fair share',
      runningRequest: {},
      queuedRequest: {cost: 8},
      incomingRequest: {customer: 'small'},
      rejected: 'queued',
    },
  ];
  for (const {
    title,
    runningRequest,
    queuedRequest,
    incomingRequest,
    rejected,
  } of fullQueueCases) {
    it(`rejects ${title} when the queue is full`, async () => {
      // Without eviction of the queued request with the lowest priority, the
      // most urgent request would be rejected.
      const {admit} = setUp();
      const permit = await admit(runningRequest);
      const pendingPermits = {
        queued: admit(queuedRequest),
        incoming: admit(incomingRequest),
      };
      const admitted = rejected === 'queued' ? 'incoming' : 'queued';
      await assert.rejects(pendingPermits[rejected], error => {
        assert.ok(isServingError(error, 'overloaded'));
        assert.equal(error.run, 'not-run');
        assert.ok((error.retryAfterMs ?? 0) > 0);
        return true;
      });
      permit.release(okResult);
      await pendingPermits[admitted];
    });
  }

  it('rejects a request at once if its deadline cannot be met', async () => {
    // Ten requests of 100 ms are queued for one slot. A request with 500 ms
    // left would time out in the queue instead of being sent elsewhere at once.
    const {clock, admit, warmUp} = setUp({queue: 20});
    await warmUp(8, 100);
    void admit();
    const pendingPermits = Array.from({length: 10}, () =>
      admit({deadline: Infinity}),
    );
    const startMs = clock.now();
    await assert.rejects(admit({deadline: startMs + 500}), {
      kind: 'deadline-exceeded',
      run: 'not-run',
    });
    assert.equal(clock.now(), startMs);
    assert.equal(pendingPermits.length, 10);
  });

  it('rejects a queued request as soon as its deadline cannot be met', async () => {
    // The only permit is never released. Responses take 100 ms, so the request
    // has to be rejected 100 ms before its deadline, not when the deadline
    // passes.
    const {clock, admit, warmUp} = setUp({queue: 20});
    await warmUp(8, 100);
    void admit();
    let rejectedAtMs = 0;
    const rejectedRequest = admit({deadline: clock.now() + 400}).catch(() => {
      rejectedAtMs = clock.now();
    });
    const startMs = clock.now();
    await clock.advance(1000);
    await rejectedRequest;
    assert.equal(rejectedAtMs - startMs, 300);
  });

  it('delays deadline checks by at least 1 ms', async () => {
    // The remaining time is a difference of floating-point numbers. A timer too
    // short to advance the clock reran the check forever and hung the entry.
    const {clock, admit, warmUp} = setUp({queue: 20});
    await warmUp(8, 100.1);
    void admit();
    const delays: number[] = [];
    const originalAfter = clock.after;
    clock.after = (delayMs, callback) => {
      delays.push(delayMs);
      return originalAfter(delayMs, callback);
    };
    const deadline = clock.now() + 300.3;
    void admit({deadline}).catch(() => undefined);
    await clock.advance(400);
    assert.ok(delays.length > 0 && delays.every(delayMs => delayMs >= 1));
  });

  it('admits urgent requests above the equal share and throttles less urgent ones', async () => {
    // A customer's urgent requests arrive at one entry. With equal shares the
    // requests would be rejected while other entries run less urgent requests.
    const {admit, admission} = setUp({concurrency: 16, queue: 50});
    admission.setEntryCount(4);
    admission.recordReportedSlots('booking', 16, 16);
    let admittedCount = 0;
    for (let index = 0; index < 12; index++) {
      void admit({urgency: 1}).then(() => (admittedCount += 1));
    }
    await settlePromises();
    assert.equal(admittedCount, 8);
    for (let index = 0; index < 10; index++) {
      admission.recordReportedSlots('booking', 16, 20);
    }
    const {services} = admission.dump() as {
      services: {ordinaryFraction: number}[];
    };
    assert.equal(services[0]?.ordinaryFraction, 0.25);
  });

  it('admits a request to a formerly slow service if nothing is in flight', async () => {
    // Every response took longer than the new request's deadline allows. If the
    // estimate alone decided, no request could show that the service recovered.
    const {clock, admit, warmUp} = setUp();
    await warmUp(40, 5000);
    await admit({deadline: clock.now() + 1000});
  });

  it('increases Retry-After while a service hangs', async () => {
    // A service hangs and its permits are never released. With a short
    // Retry-After callers would retry and be rejected many times.
    const {clock, admit, warmUp} = setUp({queue: 1});
    await warmUp(8, 100);
    void admit({deadline: Infinity});
    void admit({deadline: Infinity});
    const earlyMs = await retryAfterMsOf(admit({deadline: Infinity}));
    await clock.advance(10_000);
    const laterMs = await retryAfterMsOf(admit({deadline: Infinity}));
    assert.ok(laterMs > 10 * earlyMs, `${earlyMs} then ${laterMs}`);
  });

  it('removes a queued request when its caller cancels it', async () => {
    // The caller closes its connection while the request is queued. If left in
    // the queue, the request would occupy a slot and be run without a caller.
    const {admit, admission} = setUp();
    await admit();
    const abortController = new AbortController();
    const pendingPermit = admit({}, abortController.signal);
    abortController.abort();
    await assert.rejects(pendingPermit, {kind: 'cancelled', run: 'not-run'});
    const {services} = admission.dump() as {services: {waiting: number}[]};
    assert.equal(services[0]?.waiting, 0);
  });

  it('rejects queued requests of a removed service', async () => {
    // An operator removes a service while requests for it are queued. If not
    // rejected, these requests would stay queued until their deadlines.
    const {admit, admission} = setUp();
    const runningPermit = await admit();
    const pendingPermit = admit();
    admission.setService('booking', undefined);
    await assert.rejects(pendingPermit, {
      kind: 'unknown-service',
      run: 'not-run',
    });
    runningPermit.release(okResult);
    await assert.rejects(admit(), {kind: 'unknown-service'});
  });

  it('isolates a service from another service that hangs', async () => {
    // All permits of one service are held by requests that never end. Requests
    // to the other service must not be queued.
    const {admit, admission} = setUp();
    admission.setService('roster', {...bookingService, name: 'roster'});
    await admit();
    void admit().catch(() => undefined);
    const permit = await admit({service: 'roster'});
    assert.equal(permit.waitedMs, 0);
  });

  it('limits retries to about a tenth of the admitted requests', async () => {
    // Every request fails and is retried. Without a budget the load on the
    // failing service would double.
    const {admit, admission} = setUp();
    let retryCount = 0;
    for (let index = 0; index < 1000; index++) {
      (await admit()).release({outcome: 'failed', latencyMs: 1});
      retryCount += admission.tryAcquireRetry('booking') ? 1 : 0;
    }
    assert.ok(retryCount >= 95 && retryCount <= 110, `${retryCount}`);
  });

  it('divides concurrency equally among entries and borrows idle slots', async () => {
    // Three of four entries are idle since customers connect to one. With equal
    // shares alone three quarters of the service would be idle while requests
    // at the busy entry are rejected.
    const {admit, admission} = setUp({concurrency: 16, queue: 50});
    admission.setEntryCount(4);
    let admittedCount = 0;
    for (let index = 0; index < 30; index++) {
      void admit({deadline: Infinity}).then(() => (admittedCount += 1));
    }
    await settlePromises();
    assert.equal(admittedCount, 4);
    for (let index = 0; index < 30; index++) {
      admission.recordReportedSlots('booking', 16, admittedCount);
      await settlePromises();
    }
    assert.ok(admittedCount >= 14 && admittedCount <= 16, `${admittedCount}`);
  });

  it('does not overestimate the wait after requests of small cost', async () => {
    // Requests of very different cost hold their permits for the same time. If
    // the hold time per unit of cost were an average of ratios, the requests of
    // small cost would inflate it many times, and requests with seconds left
    // would be rejected although the service can respond in time.
    const {admit, clock} = setUp({concurrency: 1, queue: 50});
    for (let index = 0; index < 60; index++) {
      const cost = index % 2 === 0 ? 1 / 16 : 4;
      const permit = await admit({deadline: Infinity, cost});
      await clock.advance(100);
      permit.release({outcome: 'ok', latencyMs: 100});
    }
    await admit({deadline: Infinity});
    const secondPermit = admit({deadline: clock.now() + 1_000});
    const thirdPermit = admit({deadline: clock.now() + 1_000, cost: 4});
    let rejectionCount = 0;
    secondPermit.catch(() => (rejectionCount += 1));
    thirdPermit.catch(() => (rejectionCount += 1));
    await settlePromises();
    assert.equal(rejectionCount, 0);
  });

  it('returns borrowed slots when the other entries become busy', async () => {
    // The other entries become busy. An entry that kept its borrowed slots
    // would overload the service.
    const {admit, admission} = setUp({concurrency: 16, queue: 50});
    admission.setEntryCount(4);
    for (let index = 0; index < 30; index++) {
      void admit({deadline: Infinity});
    }
    for (let index = 0; index < 20; index++) {
      admission.recordReportedSlots('booking', 16, 4);
    }
    const {services: servicesAfterBorrowing} = admission.dump() as {
      services: {share: number}[];
    };
    assert.equal(servicesAfterBorrowing[0]?.share, 16);
    for (let index = 0; index < 20; index++) {
      admission.recordReportedSlots('booking', 16, 28);
    }
    const {services} = admission.dump() as {services: {share: number}[]};
    assert.equal(services[0]?.share, 4);
  });
});

function inFlightOf(admission: AdmissionController): number | undefined {
  const {services} = admission.dump() as {services: {inFlight: number}[]};
  return services[0]?.inFlight;
}

async function retryAfterMsOf(permit: Promise<unknown>): Promise<number> {
  const error = await permit.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  assert.ok(isServingError(error));
  return error.retryAfterMs ?? 0;
}
