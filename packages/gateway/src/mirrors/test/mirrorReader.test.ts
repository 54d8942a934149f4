import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {ObjectSource} from '../../contracts.js';
import {createMirror} from '../mirror.js';
import {startMirrorReader, type ReadTiming} from '../mirrorReader.js';

const TIMING = {
  waitMs: 1_000,
  graceMs: 700,
  firstListing: 'recent',
} as const;

function setUp(timing: ReadTiming = TIMING) {
  const clock = createVirtualClock();
  const log = createSilentLogger();
  const mirror = createMirror<string>({kind: 'endpoints', clock, log});
  const calls: string[] = [];
  let shouldRead = true;
  let isCompacted = false;
  let areChangesFrequent = false;
  const source: ObjectSource<string> = {
    list(_, freshness) {
      calls.push(`list ${freshness}`);
      const items = ['a', 'b'].map(name => ({name, revision: 5, value: name}));
      return Promise.resolve({revision: 5, items});
    },
    async readChanges(afterRevision, waitMs) {
      calls.push('changes');
      if (isCompacted) {
        return undefined;
      }
      const changedAfterMs = areChangesFrequent ? 1 : waitMs;
      await new Promise<void>(resolve => clock.after(changedAfterMs, resolve));
      return {revision: afterRevision, changes: []};
    },
  };
  const reader = startMirrorReader({
    mirror,
    source,
    clock,
    random: seededRandom(1),
    log,
    timing,
    shouldRead: () => shouldRead,
    onDidStep: () => {},
  });
  return {
    clock,
    mirror,
    calls,
    reader,
    setShouldRead: (value: boolean) => (shouldRead = value),
    compact: () => (isCompacted = true),
    changeFrequently: () => (areChangesFrequent = true),
  };
}

describe('mirror reader', () => {
  // Guards against a burst of platform calls when all entries start at once.
  it('stops after the first listing if another entry reads', async () => {
    const {clock, calls, setShouldRead} = setUp();
    await clock.advance(500);
    setShouldRead(false);
    await clock.advance(10_000);
    assert.deepEqual(calls, ['list recent']);
  });

  it('confirms the mirror by reading changes, not by a recent listing', async () => {
    const {clock, calls, mirror} = setUp();
    await clock.advance(700);
    assert.equal(mirror.ageMs(), Infinity);
    await clock.advance(3_000);
    assert.deepEqual(calls.slice(0, 2), ['list recent', 'changes']);
    assert.ok(mirror.ageMs() <= TIMING.waitMs * 2);
  });

  // Guards against reading a stale listing from before the compaction again and
  // again.
  it('requests the latest listing after a compaction', async () => {
    const {clock, calls, compact} = setUp();
    await clock.advance(1_300);
    compact();
    await clock.advance(3_000);
    const latestListingIndex = calls.indexOf('list latest');
    assert.ok(latestListingIndex > 0);
    assert.equal(calls[latestListingIndex - 1], 'changes');
  });

  // Guards against one call and one broadcast for each of many changes, as when
  // hundreds of endpoints register at once.
  it('reads frequent changes together', async () => {
    const {clock, calls, changeFrequently} = setUp({
      ...TIMING,
      changeInterval: {msPerObject: 50, maxMs: 300},
    });
    changeFrequently();
    await clock.advance(1_300);
    calls.length = 0;
    await clock.advance(2_000);
    assert.equal(calls.length, 20);
  });
});
