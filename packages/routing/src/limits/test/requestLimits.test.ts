import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {
  createRateLimits,
  mergeRateLimitReports,
  type RateLimits,
} from '../rateLimits.js';

const WINDOW_SECONDS = 4;
const STEP_MS = 20;
const DIGEST_INTERVAL_MS = 300;
const ENDPOINT = 'i-1@7';

/** Creates entries that send requests to one rate-limited endpoint. */
function createEntries(count: number) {
  const clock = createVirtualClock();
  const ids = Array.from({length: count}, (_, index) => `entry-${index}`);
  const entries = ids.map(self => {
    const decisions = createDecisionLog(clock, createSilentLogger());
    const rateLimits = createRateLimits({clock, self, decisions});
    rateLimits.setEntries(ids);
    return rateLimits;
  });
  const sentPerStep: number[] = [];

  function exchangeDigests(): void {
    const digests = entries.map(entry => entry.ownReports());
    entries.forEach((receiver, index) =>
      digests
        .filter((_, senderIndex) => senderIndex !== index)
        .forEach(reports => receiver.mergeReports(reports)),
    );
  }

  function trySend(entry: RateLimits, perSecond: number | undefined): number {
    if (!entry.allowsRequest(ENDPOINT)) {
      return 0;
    }
    entry.consumeToken(ENDPOINT);
    entry.recordLimit(ENDPOINT, perSecond);
    return 1;
  }

  return {
    clock,
    entries,
    /**
     * Lets each entry send one request per step if the limit allows; every
     * response sets the limit to `perSecond`.
     */
    sendAllowed(seconds: number, perSecond: number | undefined): void {
      for (let atMs = 0; atMs < seconds * 1_000; atMs += STEP_MS) {
        if (atMs % DIGEST_INTERVAL_MS === 0) {
          exchangeDigests();
        }
        sentPerStep.push(
          entries.reduce((sum, entry) => sum + trySend(entry, perSecond), 0),
        );
        clock.advanceSync(STEP_MS);
      }
    },
    /**
     * Returns how many requests were sent in the last `seconds`: in total, and
     * in the busiest window of `WINDOW_SECONDS`.
     */
    countSent(seconds: number): {maxInWindow: number; total: number} {
      const recentPerStep = sentPerStep.slice((-seconds * 1_000) / STEP_MS);
      const windowSteps = (WINDOW_SECONDS * 1_000) / STEP_MS;
      const windowTotals = recentPerStep.map((_, start) =>
        sum(recentPerStep.slice(start, start + windowSteps)),
      );
      return {
        maxInWindow: Math.max(...windowTotals),
        total: sum(recentPerStep),
      };
    },
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

describe('rate limits set by endpoints', () => {
  // Entries must neither each use the whole limit nor leave it mostly unused.
  it('bound the requests of all entries together, which use most of the limit', () => {
    for (const count of [1, 2, 7, 60]) {
      for (const limit of [0.4, 1.2, 2.9, 12, 300]) {
        const fleet = createEntries(count);
        fleet.sendAllowed(0.4, limit);
        fleet.sendAllowed(12, limit);
        const {maxInWindow, total} = fleet.countSent(11);
        const maxAllowed = 1.5 * limit * WINDOW_SECONDS + 5;
        assert.ok(
          maxInWindow <= maxAllowed,
          `${count}, ${limit}: ${maxInWindow} of ${maxAllowed}`,
        );
        const minTotal =
          0.8 * Math.min(limit, count / (STEP_MS / 1_000)) * 11 - 2;
        assert.ok(
          total >= minTotal,
          `${count}, ${limit}: ${total} of ${minTotal}`,
        );
      }
    }
  });

  // A limit must not outlast its removal by the endpoint.
  it('end when a response sets no limit', () => {
    const fleet = createEntries(7);
    fleet.sendAllowed(5, 2);
    fleet.sendAllowed(5, undefined);
    assert.ok(fleet.entries.every(entry => entry.allowsRequest(ENDPOINT)));
    assert.ok(fleet.countSent(2).total > 100);
  });

  // When the only entry with a share leaves, exactly one other must get it.
  it('pass to another entry when the entry with the share leaves', () => {
    const fleet = createEntries(3);
    fleet.sendAllowed(5, 1);
    const shareholderIndex = fleet.entries.findIndex(
      entry => entry.waitMs(ENDPOINT) !== undefined,
    );
    const remainingIds = [0, 1, 2]
      .filter(index => index !== shareholderIndex)
      .map(index => `entry-${index}`);
    fleet.entries.forEach(entry => entry.setEntries(remainingIds));
    const shareholders = fleet.entries.filter(
      entry => entry.waitMs(ENDPOINT) !== undefined,
    );
    assert.equal(shareholders.length, 1);
    assert.notEqual(shareholders[0], fleet.entries[shareholderIndex]);
  });

  it('follow the newest response, whichever entry received it', () => {
    const {clock, entries} = createEntries(2);
    const [first, second] = entries as [RateLimits, RateLimits];
    first.recordLimit(ENDPOINT, 1);
    clock.advanceSync(100);
    second.recordLimit(ENDPOINT, 5);
    clock.advanceSync(100);
    second.mergeReports(first.ownReports());
    first.mergeReports(second.ownReports());
    for (const entry of entries) {
      const {perSecond} = (entry.dump() as Record<string, {perSecond: number}>)[
        ENDPOINT
      ]!;
      assert.equal(perSecond, 5);
    }
    const merged = mergeRateLimitReports(
      first.ownReports(),
      second.ownReports(),
      50,
    );
    assert.deepEqual(merged[ENDPOINT], {perSecond: 5, agoMs: 150});
  });

  // An entry that starts after the removal must not receive the removed limit.
  it('are no longer gossiped by entries that received their removal', () => {
    const {clock, entries} = createEntries(3);
    const [first, second, newEntry] = entries as [
      RateLimits,
      RateLimits,
      RateLimits,
    ];
    first.recordLimit(ENDPOINT, 1);
    second.mergeReports(first.ownReports());
    clock.advanceSync(100);
    second.recordLimit(ENDPOINT, undefined);
    first.mergeReports(second.ownReports());
    clock.advanceSync(20_000);
    newEntry.mergeReports(first.ownReports());
    newEntry.mergeReports(second.ownReports());
    assert.ok(newEntry.allowsRequest(ENDPOINT));
  });

  it('do not apply to endpoints that set none', () => {
    const {entries} = createEntries(1);
    entries[0]!.recordLimit(ENDPOINT, undefined);
    assert.deepEqual(entries[0]!.ownReports(), {});
    assert.ok(entries[0]!.allowsRequest(ENDPOINT));
  });
});
