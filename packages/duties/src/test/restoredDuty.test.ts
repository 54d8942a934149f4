import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {StoredObject} from '@skylarkfield/providers';
import {DEFAULT_LEASE_TIMING} from '../lease.js';
import {
  createRestoredDutyProcesses,
  withReadsFromOldHistory,
} from './restoredDutyProcesses.js';

const {durationMs, marginMs, pollIntervalMs} = DEFAULT_LEASE_TIMING;
/** Time within which a successor takes over, with one poll to find out. */
const TAKE_OVER_MS = durationMs + marginMs + 3 * pollIntervalMs;

type System = ReturnType<typeof createRestoredDutyProcesses>;

/** Lets `b` wait while `a` takes the duty, and then cuts `a` off the store. */
async function takeAndCut(
  system: System,
  a: ReturnType<System['start']>,
): Promise<void> {
  await system.advanceUntil(a.isHolder);
  a.store.faults.setDown(true);
}

/**
 * Ways in which a copy makes the lease look free, although `a` acquires it in
 * the lost seconds. Each resolves after the return, with `a` cut off.
 */
const copiesWithFreeLease = {
  async missing(system) {
    const copy = system.platform.takeCopy();
    const a = system.start('a');
    await takeAndCut(system, a);
    const b = system.start('b');
    await system.advance(pollIntervalMs);
    assert.ok(a.isHolder() && !b.isHolder());
    system.platform.restore(copy);
  },
  async released(system) {
    const c = system.start('c');
    await system.advanceUntil(c.isHolder);
    const b = system.start('b');
    await system.advance(2 * pollIntervalMs);
    b.clock.pause();
    await system.leave(c);
    const copy = system.platform.takeCopy();
    await takeAndCut(system, system.start('a'));
    system.platform.restore(copy);
    b.clock.resume();
  },
  async 'its own'(system) {
    const b = system.start('b');
    await system.advanceUntil(b.isHolder);
    const a = system.start('a');
    await system.advance(2 * pollIntervalMs);
    b.clock.pause();
    const copy = system.platform.takeCopy();
    await takeAndCut(system, a);
    system.platform.restore(copy);
    b.clock.resume();
  },
  async expired(system) {
    const c = system.start('c');
    await system.advanceUntil(c.isHolder);
    const [a, b] = [system.start('a'), system.start('b')];
    await system.advance(2 * pollIntervalMs);
    b.clock.pause();
    c.clock.kill();
    const copy = system.platform.takeCopy();
    await takeAndCut(system, a);
    b.clock.resume();
    system.platform.restore(copy);
  },
} satisfies Record<string, (system: System) => Promise<void>>;

describe('a duty over a store restored from a copy', () => {
  // Guards against stale reads of the old history that hide those of the new.
  it('is not taken from a live holder by a candidate that reads the old history', async () => {
    const system = createRestoredDutyProcesses();
    const oldHistory: {lease?: StoredObject} = {};
    const a = system.start('a');
    await system.advanceUntil(a.isHolder);
    const b = system.start('b', client =>
      withReadsFromOldHistory(client, () => oldHistory.lease),
    );
    await system.advance(5_000);
    const copy = system.platform.takeCopy();
    system.writeOthers(100);
    await system.advance(6_000);
    oldHistory.lease = system.lease();
    system.platform.restore(copy);
    await system.advance(60_000);
    assert.ok(a.isHolder());
    a.clock.kill();
    await system.advance(3 * TAKE_OVER_MS);
    assert.ok(b.isHolder());
  });

  for (const [name, restoreCopy] of Object.entries(copiesWithFreeLease)) {
    // Guards against a successor that trusts a lease older than the lost one.
    it(`has one holder if the lease of the copy is ${name}`, async () => {
      const system = createRestoredDutyProcesses();
      await restoreCopy(system);
      await system.advance(TAKE_OVER_MS);
      assert.equal(system.startedTerms.at(-1)?.id, 'b');
    });
  }

  // Guards against a successor started after the return, which saw no return.
  it('has one holder if a process starts after the return', async () => {
    const system = createRestoredDutyProcesses();
    const c = system.start('c');
    await system.advanceUntil(c.isHolder);
    await system.leave(c);
    const copy = system.platform.takeCopy();
    await takeAndCut(system, system.start('a'));
    system.platform.restore(copy);
    system.start('b');
    await system.advance(TAKE_OVER_MS);
    assert.equal(system.startedTerms.at(-1)?.id, 'b');
  });

  // Guards against a delayed start at a store whose first era is not 0.
  it('is taken at once at the first start, whatever the era', async () => {
    const system = createRestoredDutyProcesses();
    system.platform.restore(system.platform.takeCopy());
    const a = system.start('a');
    await system.advance(100);
    assert.ok(a.isHolder());
    await system.leave(a);
    const b = system.start('b');
    await system.advance(100);
    assert.ok(b.isHolder());
  });

  // Guards against a live holder that gives the duty up at each return.
  it('stays with its live holder over two returns within seconds', async () => {
    const system = createRestoredDutyProcesses();
    const a = system.start('a');
    await system.advanceUntil(a.isHolder);
    system.start('b');
    await system.advance(3_000);
    for (let count = 0; count < 2; count++) {
      const copy = system.platform.takeCopy();
      await system.advance(1_500);
      system.platform.restore(copy);
    }
    await system.advance(60_000);
    assert.ok(a.isHolder());
    assert.equal(system.startedTerms.length, 1);
  });

  // Guards against a live holder that gives up a lease the copy lacks.
  it('stays with its live holder if the copy lacks the lease', async () => {
    const system = createRestoredDutyProcesses();
    const [a, b] = [system.start('a'), system.start('b')];
    const copy = system.platform.takeCopy();
    await system.advanceUntil(() => a.isHolder() || b.isHolder());
    await system.advance(3_000);
    system.platform.restore(copy);
    await system.advance(60_000);
    assert.equal(system.startedTerms.length, 1);
  });

  // Guards against a holder that resumes and takes its lost lease for valid.
  it('is lost by a holder that is paused over the return', async () => {
    const system = createRestoredDutyProcesses();
    const a = system.start('a');
    await system.advanceUntil(a.isHolder);
    const b = system.start('b');
    await system.advance(3_000);
    const copy = system.platform.takeCopy();
    await system.advance(2_000);
    a.clock.pause();
    system.platform.restore(copy);
    await system.advance(TAKE_OVER_MS);
    assert.ok(b.isHolder());
    a.clock.resume();
    await system.advance(60_000);
    assert.ok(b.isHolder());
    assert.equal(system.startedTerms.length, 2);
  });

  // Guards against tokens that the copy lacks and that are given out again.
  it('has rising tokens after changes of its holder were lost', async () => {
    const system = createRestoredDutyProcesses();
    const a = system.start('a');
    await system.advanceUntil(a.isHolder);
    const copies = [system.platform.takeCopy()];
    await system.leave(a);
    for (let count = 0; count < 5; count++) {
      const holder = system.start('c');
      await system.advanceUntil(holder.isHolder);
      copies.push(system.platform.takeCopy());
      await system.leave(holder);
    }
    for (const copy of copies) {
      const b = system.start('b');
      await system.advanceUntil(b.isHolder);
      b.clock.kill();
      system.platform.restore(copy);
    }
    await system.advanceUntil(system.start('b').isHolder);
    assert.equal(system.startedTerms.length, 2 * copies.length + 1);
    assert.ok(system.startedTerms.at(-1)!.fencing < 1_000_000);
  });

  // Guards against tokens that restart because the copy lacks the lease.
  it('has rising tokens after its only lease was lost', async () => {
    const system = createRestoredDutyProcesses();
    const copy = system.platform.takeCopy();
    for (let count = 0; count < 5; count++) {
      const holder = system.start('c');
      await system.advanceUntil(holder.isHolder);
      await system.leave(holder);
    }
    const b = system.start('b');
    system.platform.restore(copy);
    await system.advanceUntil(b.isHolder);
    assert.ok(system.startedTerms.at(-1)!.fencing < 1_000_000);
  });
});
