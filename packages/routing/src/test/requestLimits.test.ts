import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {decisionLog, silentLogger, virtualClock} from '@skylarkfield/base';
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
function createFleet(count: number) {
  const clock = virtualClock();
  const ids = Array.from({length: count}, (_, index) => `entry-${index}`);
  const entries = ids.map(self => {
    const decisions = decisionLog(clock, silentLogger());
    const rateLimits = createRateLimits({clock, self, decisions});
    rateLimits.setEntries(ids);
    return rateLimits;
  });
  const sent: number[] = [];

  function exchangeDigests(): void {
    const digests = entries.map(entry => entry.ownReports());
    entries.forEach((receiver, index) =>
      digests
        .filter((_, senderIndex) => senderIndex !== index)
        .forEach(reports => receiver.mergeReports(reports)),
    );
  }

  function sendFrom(entry: RateLimits, limit: number | undefined): number {
    if (!entry.allowsRequest(ENDPOINT)) {
      return 0;
    }
    entry.consume(ENDPOINT);
    entry.recordLimit(ENDPOINT, limit);
    return 1;
  }

  return {
    clock,
    entries,
    /** Sends all allowed requests to an endpoint that sets this limit. */
    sendAllowed(seconds: number, limit: number | undefined): void {
      for (let atMs = 0; atMs < seconds * 1_000; atMs += STEP_MS) {
        if (atMs % DIGEST_INTERVAL_MS === 0) {
          exchangeDigests();
        }
        sent.push(
          entries.reduce((sum, entry) => sum + sendFrom(entry, limit), 0),
        );
        clock.advanceSync(STEP_MS);
      }
    },
    /** Maximum per window and total of the requests in the last seconds. */
    countSent(seconds: number): {maxInWindow: number; total: number} {
      const recent = sent.slice((-seconds * 1_000) / STEP_MS);
      const windowSteps = (WINDOW_SECONDS * 1_000) / STEP_MS;
      const sums = recent.map((_, start) =>
        sum(recent.slice(start, start + windowSteps)),
      );
      return {maxInWindow: Math.max(...sums), total: sum(recent)};
    },
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

describe('rate limits set by endpoints', () => {
  // Entries must neither each use the whole limit nor leave it mostly unused.
  it('bound all entries together and are used', () => {
    for (const count of [1, 2, 7, 60]) {
      for (const limit of [0.4, 1.2, 2.9, 12, 300]) {
        const fleet = createFleet(count);
        fleet.sendAllowed(0.4, limit);
        fleet.sendAllowed(12, limit);
        const {maxInWindow, total} = fleet.countSent(11);
        const allowed = 1.5 * limit * WINDOW_SECONDS + 5;
        assert.ok(
          maxInWindow <= allowed,
          `${count}, ${limit}: ${maxInWindow} of ${allowed}`,
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
  it('end when a response sets none', () => {
    const fleet = createFleet(7);
    fleet.sendAllowed(5, 2);
    fleet.sendAllowed(5, undefined);
    assert.ok(fleet.entries.every(entry => entry.allowsRequest(ENDPOINT)));
    assert.ok(fleet.countSent(2).total > 100);
  });

  // When the entry with the share leaves, exactly one other must take it over.
  it('pass to another entry when the entry with the share leaves', () => {
    const fleet = createFleet(3);
    fleet.sendAllowed(5, 1);
    const holder = fleet.entries.findIndex(
      entry => entry.waitMs(ENDPOINT) !== undefined,
    );
    const remaining = [0, 1, 2]
      .filter(index => index !== holder)
      .map(index => `entry-${index}`);
    fleet.entries.forEach(entry => entry.setEntries(remaining));
    const holders = fleet.entries.filter(
      entry => entry.waitMs(ENDPOINT) !== undefined,
    );
    assert.equal(holders.length, 1);
    assert.notEqual(holders[0], fleet.entries[holder]);
  });

  it('follow the newest response at any entry', () => {
    const {clock, entries} = createFleet(2);
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

  // An entry that starts later must not receive a limit that was removed.
  it('are no longer gossiped by entries that received their removal', () => {
    const {clock, entries} = createFleet(3);
    const [first, second, late] = entries as [
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
    late.mergeReports(first.ownReports());
    late.mergeReports(second.ownReports());
    assert.ok(late.allowsRequest(ENDPOINT));
  });

  it('do not exist for endpoints that set none', () => {
    const {entries} = createFleet(1);
    entries[0]!.recordLimit(ENDPOINT, undefined);
    assert.deepEqual(entries[0]!.ownReports(), {});
    assert.ok(entries[0]!.allowsRequest(ENDPOINT));
  });
});
