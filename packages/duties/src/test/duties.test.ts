import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  pausableClock,
  seededRandom,
  toDisposable,
  virtualClock,
} from '@skylarkfield/base';
import {
  memoryPlatform,
  type Freshness,
  type MemoryClient,
  type StoredObject,
} from '@skylarkfield/providers';
import type {Tenure} from '../contracts.js';
import {createDuties} from '../duties.js';
import {defaultLeaseTiming} from '../lease.js';
import {createOrderGate} from '../orderGate.js';

/** Two processes on one platform; the second starts when it is told to. */
function createPair() {
  const common = virtualClock();
  const platform = memoryPlatform({clock: common});
  platform.faults.setSlow(2);
  function start(
    id: string,
    mayHold = () => true,
    through = (client: MemoryClient) => client,
  ) {
    const clock = pausableClock(common);
    const store = through(platform.client(id, {clock}));
    const tenures: Tenure[] = [];
    let running = 0;
    const duties = createDuties({
      clock,
      random: seededRandom(5),
      store,
      self: {id, incarnation: 1},
      members: () => ['a', 'b'],
      mayHold,
    });
    duties.compete('fleet', tenure => {
      tenures.push(tenure);
      running += 1;
      return toDisposable(() => (running -= 1));
    });
    return {clock, store, duties, tenures, running: () => running};
  }
  return {common, platform, start};
}

/** A store whose cheap readings all show what the first of them did. */
function withOldReadings(client: MemoryClient): MemoryClient {
  const first = new Map<string, StoredObject | undefined>();
  return {
    ...client,
    async get<T>(
      kind: string,
      name: string,
      signal?: AbortSignal,
      freshness?: Freshness,
    ) {
      const reading = await client.get<T>(kind, name, signal);
      const key = `${kind}/${name}`;
      if (freshness !== 'recent') {
        return reading;
      }
      if (!first.has(key)) {
        first.set(key, reading);
      }
      return first.get(key) as StoredObject<T> | undefined;
    },
  };
}

describe('duties', () => {
  it('gives the duty to one process and keeps it there', async () => {
    const {common, start} = createPair();
    const [a, b] = [start('a'), start('b')];
    await common.advance(60_000);
    assert.equal(a.tenures.length + b.tenures.length, 1);
    assert.equal(a.running() + b.running(), 1);
  });

  // Guards against a candidate that takes a renewed lease for one that ran out.
  it('is not taken from a living holder by a candidate that reads old states', async () => {
    const {common, start} = createPair();
    const a = start('a');
    await common.advance(3_000);
    const b = start('b', () => true, withOldReadings);
    await common.advance(60_000);
    assert.equal(a.running(), 1);
    assert.equal(b.tenures.length, 0);
    a.clock.kill();
    await common.advance(30_000);
    assert.equal(b.tenures.length, 1);
  });

  // A process took the duty when it knew of few others. Later it is one of those
  // that hear sums only, and what it reports for all would be its own part. Were
  // it to take the duty back at once, platforms without a check of fencing
  // numbers would see two holders act by turns.
  it('is handed over by a process that may not hold it, and not taken back within a lease', async () => {
    const {common, start} = createPair();
    const allowed = {a: true, b: true};
    const a = start('a', () => allowed.a);
    await common.advance(3_000);
    assert.equal(a.running(), 1);
    const b = start('b', () => allowed.b);
    allowed.a = false;
    await common.advance(6_000);
    assert.equal(a.running(), 0);
    assert.equal(b.running(), 1);
    const handedOverAt = b.tenures[0]!.acquiredAt;
    allowed.a = true;
    allowed.b = false;
    await common.advance(20_000);
    assert.equal(a.running(), 1);
    const takenBackAt = a.tenures[1]!.acquiredAt;
    const {durationMs} = defaultLeaseTiming;
    assert.ok(
      takenBackAt - handedOverAt >= durationMs,
      `${takenBackAt - handedOverAt}`,
    );
  });

  // The holder stops for longer than its lease, as under SIGSTOP, and goes on in
  // the middle of its work. Its next effect would undo what the new holder did.
  it('is seen as lost by a holder that wakes from a pause before it acts', async () => {
    const {common, start} = createPair();
    const a = start('a');
    await common.advance(3000);
    const [former] = a.tenures;
    assert.ok(former !== undefined && former.isValid());
    const b = start('b');
    a.clock.pause();
    await common.advance(20_000);
    const [present] = b.tenures;
    assert.ok(present !== undefined && present.isValid());
    assert.ok(present.fencing > former.fencing);
    assert.equal(former.isValid(), false);
    a.clock.resume();
    assert.equal(former.isValid(), false);
    assert.equal(former.signal.aborted, true);
    await common.advance(100);
    assert.equal(a.running(), 0);
  });

  // The reply to the taking of a lease is lost, and it takes seconds until the
  // new holder can read back that it has it. Counted from then, its lease would
  // last into the tenure of its successor.
  it('counts a lease from when it was asked for, not from when that is confirmed', async () => {
    const {common, platform, start} = createPair();
    const a = start('a');
    a.store.faults.loseReplies(1);
    const landed = platform.table.onDidChange(() => {
      landed.dispose();
      a.store.faults.setDown(true);
    });
    await common.advance(10);
    const b = start('b');
    await common.advance(4000);
    assert.equal(a.tenures.length, 0);
    a.store.faults.setDown(false);
    while (a.tenures.length === 0) {
      await common.advance(10);
    }
    a.store.faults.setDown(true);
    while (!b.tenures[0]?.isValid()) {
      await common.advance(10);
    }
    assert.equal(a.tenures[0]?.isValid(), false);
  });

  // A host is suspended as a whole: its monotonic clock stands still, so that
  // by it alone the lease looks as fresh as before.
  it('is not valid after the wall clock passed the lease', async () => {
    const {common, start} = createPair();
    const a = start('a');
    await common.advance(3000);
    assert.ok(a.tenures[0]?.isValid());
    common.shiftWall(10_000);
    assert.equal(a.tenures[0]?.isValid(), false);
  });

  // The platform goes away for longer than the lease. A holder that goes on
  // would meet its successor as soon as the platform is back.
  it('ends when it cannot be renewed in time, and is taken again later', async () => {
    const {common, platform, start} = createPair();
    const a = start('a');
    await common.advance(3000);
    platform.faults.setDown(true);
    await common.advance(10_000);
    assert.equal(a.running(), 0);
    platform.faults.setDown(false);
    await common.advance(20_000);
    assert.equal(a.running(), 1);
    assert.equal(a.tenures.length, 2);
  });

  it('passes on at once when the holder leaves', async () => {
    const {common, start} = createPair();
    const a = start('a');
    await common.advance(3000);
    const b = start('b');
    await common.advance(3000);
    const released = a.duties.release();
    assert.equal(a.running(), 0);
    await common.advance(100);
    await released;
    await common.advance(3000);
    assert.equal(b.running(), 1);
  });

  // Somebody clears the leases away. Endpoints that remember the last fencing
  // number would refuse every order of a holder that counts from 1 again.
  it('never uses a fencing number again after the lease was removed', async () => {
    const {common, platform, start} = createPair();
    const a = start('a');
    await common.advance(3000);
    void a.duties.release();
    await common.advance(100);
    platform.table.remove({
      kind: 'lease',
      name: 'fleet',
      writeId: 'x',
      condition: {type: 'any'},
    });
    const b = start('b');
    await common.advance(3000);
    const [former, present] = [a.tenures[0], b.tenures[0]];
    assert.ok(former !== undefined && present !== undefined);
    assert.ok(present.fencing > former.fencing);
  });

  // An endpoint that does not check fencing obeys an order that the former
  // holder had sent just before it was paused, and drops what the new one said.
  it("keeps a new holder's orders back until those of the former are past", async () => {
    const {common, start} = createPair();
    const a = start('a');
    await common.advance(3000);
    const [tenure] = a.tenures;
    assert.ok(tenure !== undefined);
    const gate = createOrderGate({
      clock: a.clock,
      tenure,
      orderDeadlineMs: 5000,
      marginMs: 1000,
    });
    assert.equal(gate.isOpen({checksFencing: true}), true);
    assert.equal(gate.isOpen({checksFencing: false}), false);
    await common.advance(gate.opensInMs());
    assert.equal(gate.isOpen({checksFencing: false}), true);
    void a.duties.release();
    assert.equal(gate.isOpen({checksFencing: true}), false);
  });
});
