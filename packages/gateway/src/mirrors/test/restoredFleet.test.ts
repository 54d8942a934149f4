import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEndpoint, createPolicy} from './mirroredValues.js';
import {startRestoredFleet, type RestoredFleet} from './restoredFleet.js';

/** Fleets with a full mesh and with relays. */
const ENTRY_COUNTS = [7, 25];
/** Time within which a version has to be in force at all entries, in ms. */
const APPLY_MS = 2_000;
/** Time for which the store is away, and until the operator writes again, in ms. */
const AWAY_MS = 600;
const REWRITE_MS = 1_500;
/** Versions that the operator writes in the lost seconds. */
const LOST_VERSIONS = 12;
/** Store calls of a small fleet in the five seconds after a return. */
const MAX_CALLS = 100;

/** What else happens around the return, by the name of the case. */
const CASES: Readonly<
  Record<string, (fleet: RestoredFleet) => Promise<void> | void>
> = {
  nothing() {},
  'a second return'({store}) {
    store.restore(store.history());
  },
  async 'an entry that restarts'({start, clock}) {
    start('e1');
    await clock.advance(400);
  },
  async 'an entry cut from the store'({entries, clock}) {
    const entry = entries.get('e2')!;
    entry.isCutFromStore = true;
    await clock.advance(1_000);
    entry.isCutFromStore = false;
  },
  async 'a reader that was paused'({network, planOf, clock}) {
    const [reader] = planOf('e0').coordinatorIds;
    network.pause(reader!);
    await clock.advance(1_000);
    network.resume(reader!);
  },
  async 'an entry cut from its peers'({network, isolate, clock}) {
    isolate('e3');
    await clock.advance(1_000);
    network.healAll();
  },
};

/** Loses versions, a departure and a removal, and returns the last version. */
async function returnFromCopy({store, clock}: RestoredFleet): Promise<number> {
  const copy = store.history();
  for (let version = 2; version <= LOST_VERSIONS; version++) {
    store.write('policy', 'main', createPolicy(version));
    await clock.advance(100);
  }
  store.write('endpoints', 'i-0', createEndpoint('i-0', 'draining'));
  store.write('endpoints', 'i-1', undefined);
  await clock.advance(700);
  store.setDown(true);
  await clock.advance(AWAY_MS);
  store.restore(copy);
  store.setDown(false);
  return LOST_VERSIONS;
}

function checkViews(fleet: RestoredFleet, version: number): void {
  for (const [id, {view}] of fleet.entries) {
    assert.equal(view.policy.get('main')?.version, version, id);
    assert.equal(view.endpoints.get('i-0')?.state, 'draining', id);
    assert.equal(view.endpoints.get('i-1'), undefined, id);
    assert.equal(view.endpoints.items().length, 9, id);
  }
}

describe('entries over a restored store', () => {
  for (const entryCount of ENTRY_COUNTS) {
    for (const [name, disturb] of Object.entries(CASES)) {
      // Guards against entries that follow the copy, or no longer the store.
      it(`agree on what is in force: ${name}, ${entryCount} entries`, async () => {
        const fleet = await startRestoredFleet(entryCount, 1);
        const version = await returnFromCopy(fleet);
        await disturb(fleet);
        await fleet.clock.advance(REWRITE_MS);
        checkViews(fleet, version);
        fleet.store.write('policy', 'main', createPolicy(version));
        fleet.store.write('policy', 'main', createPolicy(version + 1));
        await fleet.clock.advance(APPLY_MS);
        checkViews(fleet, version + 1);
      });
    }

    // Guards against calls that grow with the number of entries, or never end.
    it(`read the store at a bounded rate: ${entryCount} entries`, async () => {
      const fleet = await startRestoredFleet(entryCount, 1);
      await returnFromCopy(fleet);
      const callsBefore = fleet.store.callCount();
      await fleet.clock.advance(5_000);
      const calls = fleet.store.callCount() - callsBefore;
      assert.ok(calls <= MAX_CALLS, `${calls} calls`);
    });
  }
});
