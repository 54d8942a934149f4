import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isServingError, settlePromises} from '@skylarkfield/base';
import type {Admission, AdmissionRequest} from '../index.js';
import {booking, ok, setUp} from './fixtures.js';

describe('admission', () => {
  it('admits a waiting request when a permit is released', async () => {
    const {ask} = setUp();
    const first = await ask();
    const second = ask();
    first.release(ok);
    assert.equal((await second).waitedMs, 0);
  });

  it('counts a permit once however often it is released', async () => {
    // Two error paths of one request both release its permit. Counted twice,
    // the service would get more requests at once than it can carry.
    const {ask, admission} = setUp({queue: 2});
    const first = await ask();
    const second = ask();
    const third = ask();
    first.release(ok);
    first.release(ok);
    const permit = await second;
    assert.equal(inFlightOf(admission), 1);
    permit.release(ok);
    await third;
  });

  const refusals: readonly {
    readonly title: string;
    readonly held: Partial<AdmissionRequest>;
    readonly queued: Partial<AdmissionRequest>;
    readonly newcomer: Partial<AdmissionRequest>;
    readonly loser: 'queued' | 'newcomer';
  }[] = [
    {
      title: 'a less important waiting request',
      held: {},
      queued: {urgency: 5},
      newcomer: {urgency: 1},
      loser: 'queued',
    },
    {
      title: 'an equally important newcomer of the same customer',
      held: {},
      queued: {urgency: 3},
      newcomer: {urgency: 3},
      loser: 'newcomer',
    },
    {
      title: 'a less important newcomer',
      held: {},
      queued: {urgency: 2},
      newcomer: {urgency: 3, customer: 'other'},
      loser: 'newcomer',
    },
    {
      title: 'the costly request of a customer that holds more than its part',
      held: {},
      queued: {cost: 8},
      newcomer: {customer: 'small'},
      loser: 'queued',
    },
  ];
  for (const {title, held, queued, newcomer, loser} of refusals) {
    it(`refuses ${title} when the queue is full`, async () => {
      // More requests wait than the queue holds. Whoever matters least has to
      // go, else the caller who matters most is turned away.
      const {ask} = setUp();
      const permit = await ask(held);
      const waiting = {queued: ask(queued), newcomer: ask(newcomer)};
      const winner = loser === 'queued' ? 'newcomer' : 'queued';
      await assert.rejects(waiting[loser], error => {
        assert.ok(isServingError(error, 'overloaded'));
        assert.equal(error.run, 'not-run');
        assert.ok((error.retryAfterMs ?? 0) > 0);
        return true;
      });
      permit.release(ok);
      await waiting[winner];
    });
  }

  it('refuses at once what cannot be answered in time', async () => {
    // Ten requests of 100 ms wait for one place. A caller with half a second
    // left would wait in vain and could have asked elsewhere.
    const {clock, ask, warmUp} = setUp({queue: 20});
    await warmUp(8, 100);
    void ask();
    const waiting = Array.from({length: 10}, () => ask({deadline: Infinity}));
    const before = clock.now();
    await assert.rejects(ask({deadline: before + 500}), {
      kind: 'deadline-exceeded',
      run: 'not-run',
    });
    assert.equal(clock.now(), before);
    assert.equal(waiting.length, 10);
  });

  it('refuses a waiting request as soon as its deadline is out of reach', async () => {
    // The one permit is never released. The caller learns 100 ms before the
    // deadline that the answer, which takes 100 ms, will not come.
    const {clock, ask, warmUp} = setUp({queue: 20});
    await warmUp(8, 100);
    void ask();
    let endedAt = 0;
    const late = ask({deadline: clock.now() + 400}).catch(() => {
      endedAt = clock.now();
    });
    const start = clock.now();
    await clock.advance(1000);
    await late;
    assert.equal(endedAt - start, 300);
  });

  it('goes on when the time left is a fraction too small for the clock', async () => {
    // Deadlines are differences of fractions. A check planned for a rest that
    // does not move the clock called itself for ever and the entry stood still.
    const {clock, ask, warmUp} = setUp({queue: 20});
    await warmUp(8, 100.1);
    void ask();
    const timers: number[] = [];
    const after = clock.after;
    clock.after = (delayMs, callback) => {
      timers.push(delayMs);
      return after(delayMs, callback);
    };
    const deadline = clock.now() + 300.3;
    void ask({deadline}).catch(() => undefined);
    await clock.advance(400);
    assert.ok(timers.length > 0 && timers.every(delayMs => delayMs >= 1));
  });

  it('gives important requests places above the share, and others fewer', async () => {
    // A customer's important requests gather at one entry. With even parts they
    // would be refused there while other entries run less important ones.
    const {ask, admission} = setUp({concurrency: 16, queue: 50});
    admission.setEntryCount(4);
    admission.setReportedSlots('booking', 16, 16);
    let admitted = 0;
    for (let request = 0; request < 12; request++) {
      void ask({urgency: 1}).then(() => (admitted += 1));
    }
    await settlePromises();
    assert.equal(admitted, 8);
    for (let report = 0; report < 10; report++) {
      admission.setReportedSlots('booking', 16, 20);
    }
    const {services} = admission.dump() as {
      services: {ordinaryFraction: number}[];
    };
    assert.equal(services[0]?.ordinaryFraction, 0.25);
  });

  it('lets a request through to a service that was slow when nothing is in flight', async () => {
    // Every answer took longer than today's deadlines allow. If the estimate
    // alone decided, nothing would ever show that the service is fast again.
    const {clock, ask, warmUp} = setUp();
    await warmUp(40, 5000);
    await ask({deadline: clock.now() + 1000});
  });

  it('grows Retry-After when a service hangs', async () => {
    // A service stops answering and its places stay taken. Callers told to come
    // back in a moment would only be refused again, many times over.
    const {clock, ask, warmUp} = setUp({queue: 1});
    await warmUp(8, 100);
    void ask({deadline: Infinity});
    void ask({deadline: Infinity});
    const early = await retryAfter(ask({deadline: Infinity}));
    await clock.advance(10_000);
    const later = await retryAfter(ask({deadline: Infinity}));
    assert.ok(later > 10 * early, `${early} then ${later}`);
  });

  it('ends a waiting request whose caller gives up', async () => {
    // The caller closes its connection while the request waits. Left in the
    // queue it would take a place and then be run for nobody.
    const {ask, admission} = setUp();
    await ask();
    const stop = new AbortController();
    const waiting = ask({}, stop.signal);
    stop.abort();
    await assert.rejects(waiting, {kind: 'cancelled', run: 'not-run'});
    const {services} = admission.dump() as {services: {waiting: number}[]};
    assert.equal(services[0]?.waiting, 0);
  });

  it('ends waiting requests of a removed service', async () => {
    // An operator removes a service while callers wait for it. They would
    // otherwise wait until their deadlines for a service that is gone.
    const {ask, admission} = setUp();
    const held = await ask();
    const waiting = ask();
    admission.setService('booking', undefined);
    await assert.rejects(waiting, {kind: 'unknown-service', run: 'not-run'});
    held.release(ok);
    await assert.rejects(ask(), {kind: 'unknown-service'});
  });

  it('keeps a hung service from taking places of another', async () => {
    // All places of one service are held by calls that never end. Requests for
    // the other service must not notice.
    const {ask, admission} = setUp();
    admission.setService('roster', {...booking, name: 'roster'});
    await ask();
    void ask().catch(() => undefined);
    const permit = await ask({service: 'roster'});
    assert.equal(permit.waitedMs, 0);
  });

  it('lets retries be about a tenth of requests', async () => {
    // Every request fails and wants another try. Without a budget the load on
    // the failing service would double.
    const {ask, admission} = setUp();
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
      (await ask()).release({outcome: 'failed', latencyMs: 1});
      retries += admission.tryRetry('booking') ? 1 : 0;
    }
    assert.ok(retries >= 95 && retries <= 110, `${retries}`);
  });

  it('divides concurrency over entries and lends what is idle', async () => {
    // Three of four entries are idle since customers keep to one. With even
    // parts alone three quarters of the service would stand still while callers
    // at the fourth entry are refused.
    const {ask, admission} = setUp({concurrency: 16, queue: 50});
    admission.setEntryCount(4);
    let admitted = 0;
    for (let request = 0; request < 30; request++) {
      void ask({deadline: Infinity}).then(() => (admitted += 1));
    }
    await settlePromises();
    assert.equal(admitted, 4);
    for (let report = 0; report < 30; report++) {
      admission.setReportedSlots('booking', 16, admitted);
      await settlePromises();
    }
    assert.ok(admitted >= 14 && admitted <= 16, `${admitted}`);
  });

  it('does not take a wait for hopeless because small requests ended', async () => {
    // Requests of very different cost hold their places for much the same time.
    // Were the time for each unit of cost an average of ratios, the small ones
    // would make it many times too long, and callers with seconds left would be
    // refused by a service that could answer them.
    const {ask, clock} = setUp({concurrency: 1, queue: 50});
    for (let done = 0; done < 60; done++) {
      const cost = done % 2 === 0 ? 1 / 16 : 4;
      const permit = await ask({deadline: Infinity, cost});
      await clock.advance(100);
      permit.release({outcome: 'ok', latencyMs: 100});
    }
    await ask({deadline: Infinity});
    const second = ask({deadline: clock.now() + 1_000});
    const third = ask({deadline: clock.now() + 1_000, cost: 4});
    let refusals = 0;
    second.catch(() => (refusals += 1));
    third.catch(() => (refusals += 1));
    await settlePromises();
    assert.equal(refusals, 0);
  });

  it('gives borrowed places back when others need theirs', async () => {
    // The other entries become busy. An entry that kept its borrowed places
    // would hold the service above what it can carry.
    const {ask, admission} = setUp({concurrency: 16, queue: 50});
    admission.setEntryCount(4);
    for (let request = 0; request < 30; request++) {
      void ask({deadline: Infinity});
    }
    for (let report = 0; report < 20; report++) {
      admission.setReportedSlots('booking', 16, 4);
    }
    const {services: lent} = admission.dump() as {services: {share: number}[]};
    assert.equal(lent[0]?.share, 16);
    for (let report = 0; report < 20; report++) {
      admission.setReportedSlots('booking', 16, 28);
    }
    const {services} = admission.dump() as {services: {share: number}[]};
    assert.equal(services[0]?.share, 4);
  });
});

function inFlightOf(admission: Admission): number | undefined {
  const {services} = admission.dump() as {services: {inFlight: number}[]};
  return services[0]?.inFlight;
}

async function retryAfter(asked: Promise<unknown>): Promise<number> {
  const error = await asked.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  assert.ok(isServingError(error));
  return error.retryAfterMs ?? 0;
}
