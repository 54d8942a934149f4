import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createSlotShares, type SlotShares} from '../slotShares.js';

const SERVICE = 's';
const ENDPOINTS = ['i-1', 'i-2', 'i-3', 'i-4'];
const SLOTS = 6;
const TOLERANCE_PER_S = 4;

/** Entries that send as many requests as they may, without ending any. */
function createFleet(entryCount: number) {
  const clock = createVirtualClock();
  const ids = Array.from({length: entryCount}, (_, index) => `e${index}`);
  const requestCounts = ids.map(() => new Map<string, number>());
  const changes: string[] = [];
  const fleet: SlotShares[] = ids.map((self, index) =>
    createSlotShares({
      clock,
      self,
      decisions: createDecisionLog(clock, createSilentLogger()),
      endpoint: id => ({id, service: SERVICE, slots: SLOTS}),
      endpointIdsOf: () => ENDPOINTS,
      ownRequestsAt: id => requestCounts[index]!.get(id) ?? 0,
      onDidChange: service => changes.push(service),
    }),
  );
  fleet.forEach(shares => shares.setEntries(ids));

  function fill(index: number): number {
    const counts = requestCounts[index]!;
    let sent = 0;
    for (const id of ENDPOINTS) {
      while (sent < 1_000 && fleet[index]!.allowsRequest(id)) {
        counts.set(id, (counts.get(id) ?? 0) + 1);
        sent += 1;
      }
    }
    return sent;
  }

  return {
    clock,
    fleet,
    changes,
    fill,
    requestsAt: (id: string) =>
      requestCounts.reduce((sum, counts) => sum + (counts.get(id) ?? 0), 0),
    announce: (perSecond: number | undefined) =>
      fleet.forEach(shares => shares.recordTolerance('i-1', perSecond)),
  };
}

describe('slots of brittle endpoints', () => {
  for (const entryCount of [1, 3, 6]) {
    // Guards against endpoints that fail because entries fill them at the same time.
    it(`are not exceeded by ${entryCount} entries together`, () => {
      const {fleet, fill, requestsAt, announce} = createFleet(entryCount);
      announce(TOLERANCE_PER_S);
      fleet.forEach((_, index) => fill(index));
      for (const id of ENDPOINTS) {
        assert.equal(requestsAt(id), SLOTS);
      }
    });
  }

  for (const entryCount of [7, 58, 195]) {
    // Guards against entries that serve nobody since there are fewer slots than entries.
    it(`leave each of ${entryCount} entries at least one`, () => {
      const {fleet, fill, announce} = createFleet(entryCount);
      announce(TOLERANCE_PER_S);
      fleet.forEach((_, index) => assert.ok(fill(index) >= 1));
    });
  }

  // Guards against rejections that go on at the rate of the requests.
  it('cause at most the tolerated rejections once they are full', async () => {
    const {clock, fleet, announce} = createFleet(58);
    announce(TOLERANCE_PER_S);
    const rejectionTimes: number[] = [];
    for (let stepMs = 0; stepMs < 30_000; stepMs += 50) {
      await clock.advance(50);
      for (const shares of fleet) {
        if (shares.allowsRequest('i-1')) {
          rejectionTimes.push(clock.now());
          shares.recordRejection('i-1');
        }
      }
    }
    const firstPauseEnd = 10_000;
    const later = rejectionTimes.filter(time => time > firstPauseEnd);
    assert.ok(later.length / 20 <= TOLERANCE_PER_S, String(later.length));
  });

  it('are not split before and after the endpoints are brittle', () => {
    const {fill, announce, changes} = createFleet(3);
    assert.equal(fill(0), 1_000);
    announce(TOLERANCE_PER_S);
    assert.equal(fill(1), (SLOTS / 3) * ENDPOINTS.length);
    announce(undefined);
    assert.equal(fill(2), 1_000);
    assert.equal(changes.length, 6);
  });
});
