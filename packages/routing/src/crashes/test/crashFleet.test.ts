import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCrashFleet, type CrashFleet} from './crashFleet.js';
import type {DeadlyLoad} from './crashFleetRequests.js';

/** Number of crashes from which on the time to reject the part is limited. */
const CRASH_COUNT = 5;
const CONTACT_MS = 3_000;
/** Maximum number of requests that endpoints receive after that time. */
const MAX_LATE_ARRIVALS = 3;

/** Part of sound requests that must be served once the part is rejected. */
const MIN_SERVED = 0.95;

const PART = 'dead';
const ONE_BY_ONE: DeadlyLoad = {part: PART, count: 1, intervalMs: 400};

const SMALL = {entryCount: 7, endpointCount: 9, soundRate: 60};
const LARGE = {entryCount: 58, endpointCount: 48, soundRate: 320};

function countLateArrivals(fleet: CrashFleet, part: string): number {
  const fifthCrashMs = fleet.crashTimes(part)[CRASH_COUNT - 1] ?? Infinity;
  return fleet.arrivalsSince(part, fifthCrashMs + CONTACT_MS);
}

function assertRejected(fleet: CrashFleet, part = PART): void {
  const lateArrivals = countLateArrivals(fleet, part);
  assert.ok(
    lateArrivals <= MAX_LATE_ARRIVALS,
    `${lateArrivals} late arrivals, ${fleet.crashTimes(part).length} crashes`,
  );
}

function assertSoundServed(fleet: CrashFleet): void {
  const {sent, served, quarantined} = fleet.soundTotals();
  assert.ok(
    served >= MIN_SERVED * sent,
    `${served} of ${sent} served, ${quarantined} quarantined`,
  );
}

interface Case {
  readonly name: string;
  readonly loads: readonly DeadlyLoad[];
}

const CASES: readonly Case[] = [
  {name: 'comes first', loads: [{...ONE_BY_ONE, position: 0}]},
  {name: 'is in the middle', loads: [{...ONE_BY_ONE, position: 1}]},
  {
    name: 'is sent by all customers, at any place',
    loads: [{...ONE_BY_ONE, ofAllCustomers: true}],
  },
  {name: 'is rare', loads: [{...ONE_BY_ONE, intervalMs: 2_500}]},
  {
    name: 'comes twenty times a second',
    loads: [{...ONE_BY_ONE, intervalMs: 50}],
  },
  {
    name: 'comes six times at one moment',
    loads: [{...ONE_BY_ONE, count: 6, intervalMs: 4_000}],
  },
  {
    name: 'is one of two',
    loads: [
      {...ONE_BY_ONE, intervalMs: 300},
      {part: 'dead too', count: 1, intervalMs: 300, position: 0},
    ],
  },
];

for (const size of [SMALL, LARGE]) {
  describe(`a part that crashes endpoints, ${size.entryCount} entries`, () => {
    // Guards against parts that go on to crash endpoints, and against sound
    // requests that are rejected with them.
    for (const {name, loads} of CASES) {
      it(`is rejected at every entry if it ${name}`, () => {
        for (const seed of [1, 2, 3]) {
          const fleet = createCrashFleet({...size, seed});
          fleet.run(12, loads);
          fleet.soundTotals();
          fleet.run(12, loads);
          loads.forEach(({part}) => assertRejected(fleet, part));
          assertSoundServed(fleet);
        }
      });
    }
  });
}

describe('a part that crashes endpoints', () => {
  // Guards against verdicts that are lost with the entries that reached them.
  it('stays rejected if all entries are replaced', () => {
    const fleet = createCrashFleet(SMALL);
    fleet.run(5, [ONE_BY_ONE]);
    for (let round = 0; round < 3; round++) {
      fleet.restart([0, 1, 2, 3, 4, 5, 6]);
      fleet.run(5, [ONE_BY_ONE]);
    }
    assertRejected(fleet);
  });

  // Guards against innocent parts that a new process rejects, since it has not
  // seen a response to them.
  it('takes no sound requests along if all entries are replaced', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const fleet = createCrashFleet({...SMALL, seed});
      fleet.run(4, [ONE_BY_ONE]);
      fleet.restart([0, 1, 2, 3, 4, 5, 6]);
      fleet.run(6, [ONE_BY_ONE]);
      fleet.soundTotals();
      fleet.run(6, [ONE_BY_ONE]);
      assertSoundServed(fleet);
    }
  });

  // Guards against verdicts that spread only over connections between entries.
  it('is rejected by entries that are cut from each other but not from the store', () => {
    const fleet = createCrashFleet(SMALL);
    fleet.cut([0, 1, 2]);
    fleet.run(20, [ONE_BY_ONE]);
    assertRejected(fleet);
  });

  // Guards against verdicts that spread only over the store.
  it('is rejected while the store is down', () => {
    const fleet = createCrashFleet(SMALL);
    fleet.setStoreDown(true);
    fleet.run(12, [ONE_BY_ONE]);
    fleet.setStoreDown(false);
    fleet.run(3, [ONE_BY_ONE]);
    fleet.restart([0, 1, 2, 3, 4, 5, 6]);
    fleet.run(6, [ONE_BY_ONE]);
    assertRejected(fleet);
  });

  // Guards against trials that crash an endpoint each.
  it('is tried at most three times in half an hour', () => {
    const fleet = createCrashFleet({...SMALL, soundRate: 10});
    fleet.run(1_800, [{...ONE_BY_ONE, intervalMs: 1_000}]);
    assertRejected(fleet);
  });
});

describe('crashes of endpoints that no request causes', () => {
  // Guards against rejecting popular parts, since they run on every endpoint
  // that crashes.
  it('make no entry reject a part of a prompt', () => {
    for (const seed of [1, 2, 3]) {
      const fleet = createCrashFleet({...SMALL, seed});
      for (let second = 0; second < 20; second++) {
        fleet.run(1);
        fleet.crashEndpoints(1);
      }
      assert.equal(fleet.soundTotals().quarantined, 0);
    }
  });

  it('make no entry reject a popular part if they come at once', () => {
    for (const seed of [1, 2, 3]) {
      const fleet = createCrashFleet({...SMALL, seed});
      for (let round = 0; round < 3; round++) {
        fleet.run(4);
        fleet.crashEndpoints(SMALL.endpointCount);
      }
      fleet.run(8);
      const {sent, quarantined} = fleet.soundTotals();
      assert.ok(quarantined <= sent / 100, `${quarantined} of ${sent}`);
    }
  });
});

describe('evidence of crashes', () => {
  // Guards against memory, digests and stored objects that grow with the parts
  // that callers name.
  it('is bounded if each request crashes an endpoint under another part', () => {
    const fleet = createCrashFleet(SMALL);
    fleet.run(15, [{...ONE_BY_ONE, isChanging: true}]);
    assert.ok(fleet.reportBytes().largestStored < 20_000);
  });
});
