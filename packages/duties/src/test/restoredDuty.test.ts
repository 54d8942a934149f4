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
});
