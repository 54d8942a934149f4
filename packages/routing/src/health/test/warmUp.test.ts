import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createWarmUps, shareRates, type WarmUps} from '../warmUp.js';

const CONFIG = {durationMs: 3_000, requestsPerSecond: 18};
const BOUND = {factor: 1.5, slack: 5};
/** Requests that a warming endpoint may receive in any second. */
const MAX_PER_SECOND = 32;
const STEP_MS = 10;
const SECOND_MS = 1_000;
const ENDPOINT = 'i-1@7';
/** Time after which an entry that has just started uses its share. */
const SETTLE_MS = 4_000;

/** Entries that send to one endpoint as many requests as they may. */
function createFleet() {
  const clock = createVirtualClock();
  const sendTimes: number[] = [];
  const entries = new Map<string, WarmUps>();
  let isListKnown = true;

  function start(id: string, known: readonly string[]): void {
    const entry = createWarmUps({
      clock,
      self: id,
      decisions: createDecisionLog(clock, createSilentLogger()),
      bound: BOUND,
      isEntryListKnown: () => isListKnown,
      configOf: () => CONFIG,
    });
    entry.setEntries(known);
    entries.set(id, entry);
  }

  return {
    clock,
    entries,
    start,
    startAll: (ids: readonly string[]) => ids.forEach(id => start(id, ids)),
    forgetList: () => (isListKnown = false),
    reportWarmUp: () =>
      entries.forEach(entry => entry.recordWarmUp(ENDPOINT, 60 * SECOND_MS)),
    /**
     * Lets time pass. At each step, each entry sends requests until its limit is
     * reached, and `onDidSend` is called for each request.
     */
    run(
      durationMs: number,
      onDidSend: (entry: WarmUps) => void = () => {},
    ): void {
      for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
        for (const entry of entries.values()) {
          for (let sent = 0; sent < 100; sent++) {
            if (!entry.allowsRequest(ENDPOINT)) {
              break;
            }
            entry.consumeToken(ENDPOINT);
            sendTimes.push(clock.now());
            onDidSend(entry);
          }
        }
        clock.advanceSync(STEP_MS);
      }
    },
    sentSince: (atMs: number) => sendTimes.filter(time => time >= atMs).length,
    maxPerSecond(sinceMs = 0): number {
      const times = sendTimes.filter(time => time >= sinceMs);
      const counts = times.map(
        (start, index) =>
          times.slice(index).findLastIndex(time => time < start + SECOND_MS) +
          1,
      );
      return Math.max(0, ...counts);
    },
  };
}

function idsOf(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

describe('warm-up of endpoints', () => {
  // An endpoint that has just started is idle, so that every entry prefers it;
  // it crashes under their requests.
  it('bounds the requests of all entries, which use most of the tolerated rate', () => {
    for (const count of [1, 7, 58, 195]) {
      const fleet = createFleet();
      fleet.startAll(idsOf('e', count));
      fleet.clock.advanceSync(SETTLE_MS);
      fleet.reportWarmUp();
      fleet.run(10 * SECOND_MS);
      const max = fleet.maxPerSecond();
      assert.ok(max <= MAX_PER_SECOND / 2, `${count} entries: ${max}`);
      const perSecond = fleet.sentSince(0) / 10;
      assert.ok(perSecond >= 10, `${count} entries: ${perSecond} a second`);
    }
  });

  // Each side of a partition selects other entries once the lists differ, also
  // entries that restarted and know their own side only.
  it('bounds the requests while the entries are cut off from each other', () => {
    const fleet = createFleet();
    const left = idsOf('l', 29);
    const right = idsOf('r', 29);
    fleet.startAll([...left, ...right]);
    fleet.clock.advanceSync(SETTLE_MS);
    fleet.reportWarmUp();
    fleet.run(2 * SECOND_MS);
    left.slice(0, 14).forEach(id => fleet.start(id, left));
    right.forEach(id => fleet.start(id, right));
    left.slice(14).forEach(id => fleet.entries.get(id)!.setEntries(left));
    fleet.reportWarmUp();
    fleet.run(50 * SECOND_MS);
    const max = fleet.maxPerSecond();
    assert.ok(max <= MAX_PER_SECOND, String(max));
  });

  // After a kill of all, entries discover each other one after the other; each
  // would select itself among the few that it knows.
  it('sends no requests while the list of entries still grows', () => {
    const fleet = createFleet();
    const ids = idsOf('e', 58);
    ids.forEach(id => fleet.start(id, [id]));
    fleet.reportWarmUp();
    for (let known = 2; known <= ids.length; known += 4) {
      fleet.run(500);
      ids.forEach((id, index) => {
        const others = ids.filter(
          (_, other) => (other - index + 58) % 58 < known,
        );
        fleet.entries.get(id)!.setEntries(others);
      });
    }
    assert.equal(fleet.sentSince(0), 0);
    ids.forEach(id => fleet.entries.get(id)!.setEntries(ids));
    fleet.run(6 * SECOND_MS);
    assert.ok(fleet.sentSince(0) > 0);
    assert.ok(fleet.maxPerSecond() <= MAX_PER_SECOND);
  });

  // An entry that has reached neither the platform nor a peer would take itself
  // for the only entry.
  it('sends no requests while other entries are not known', () => {
    const fleet = createFleet();
    fleet.forgetList();
    fleet.startAll(['e1']);
    fleet.reportWarmUp();
    fleet.run(10 * SECOND_MS);
    assert.equal(fleet.sentSince(0), 0);
  });

  // A process that restarts under its id is cold before its new registration
  // arrives; all entries would probe it at once.
  it('bounds the requests to an endpoint that was unreachable', () => {
    const fleet = createFleet();
    const ids = idsOf('e', 58);
    fleet.startAll(ids);
    fleet.clock.advanceSync(SETTLE_MS);
    fleet.entries.forEach(entry => entry.recordUnreachable(ENDPOINT));
    fleet.run(7 * SECOND_MS, entry => entry.recordUnreachable(ENDPOINT));
    const returnedAt = fleet.clock.now();
    fleet.run(3 * SECOND_MS, entry => entry.recordResponse(ENDPOINT));
    assert.ok(fleet.sentSince(returnedAt) > 0);
    const max = fleet.maxPerSecond(returnedAt);
    assert.ok(max <= MAX_PER_SECOND, String(max));
  });

  it('ends after the reported time', () => {
    const fleet = createFleet();
    fleet.startAll(['e1']);
    const entry = fleet.entries.get('e1')!;
    entry.recordWarmUp(ENDPOINT, 5_000);
    assert.ok(!entry.allowsRequest(ENDPOINT));
    assert.equal(entry.waitMs(ENDPOINT), undefined);
    fleet.clock.advanceSync(5_000);
    assert.ok(entry.allowsRequest(ENDPOINT));
    assert.equal(entry.waitMs(ENDPOINT), 0);
  });

  it('splits small rates among few entries', () => {
    for (const requestsPerSecond of [1, 3, 18, 400]) {
      for (const count of [1, 7, 195]) {
        const config = {durationMs: 1_000, requestsPerSecond};
        const {entryCount, perSecond} = shareRates(config, BOUND, count);
        const maxInSecond = entryCount * (1 + perSecond);
        const bound = requestsPerSecond * BOUND.factor + BOUND.slack;
        assert.ok(
          2 * maxInSecond <= bound || entryCount === 1,
          `${requestsPerSecond}/s, ${count}: ${maxInSecond}`,
        );
      }
    }
  });
});
