import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {TrialProcess} from '../processes/childProcess.js';
import {startServingFleet} from '../processes/servingFleet.js';
import {trialHeaders, trialRecords} from '../processes/trialCalls.js';
import type {TrialFleet} from '../processes/trialFleet.js';
import {waitUntil} from '../processes/waitUntilServing.js';

let running: TrialFleet | undefined;

afterEach(async () => {
  await running?.dispose();
  running = undefined;
});

interface Fault {
  readonly name: string;
  inject(holder: TrialProcess): Promise<void> | void;
  /** Ends the fault after another entry has taken over. */
  clear(holder: TrialProcess): void;
}

const faults: readonly Fault[] = [
  {name: 'killed', inject: holder => holder.kill(), clear: () => {}},
  {
    name: 'paused and resumes',
    inject: holder => holder.pause(),
    clear: holder => holder.resume(),
  },
];

/** Returns the entry that holds the lease of a duty. */
async function holderOf(
  fleet: TrialFleet,
  duty: string,
): Promise<TrialProcess> {
  const lease = await fleet.store.get<{holder: string}>('lease', duty);
  const id = lease?.value.holder.split('.')[0];
  const holder = fleet.entries.find(entry => entry.name === id);
  assert.ok(holder, `no entry holds ${duty}`);
  return holder;
}

/** Writes the booking record with an additional route. */
function putBooking(fleet: TrialFleet, prefix: string) {
  const record = trialRecords['booking'] as {routes: object[]};
  const route = {method: 'POST', pathPrefix: prefix, idempotent: true};
  const value = {...record, routes: [...record.routes, route]};
  return fleet.store.put('service', 'booking', value, {type: 'any'});
}

async function statusOf(fleet: TrialFleet) {
  const status = await fleet.store.get<{
    state: string;
    sourceVersion: number;
    acceptedVersion?: number;
  }>('status', 'service.booking');
  return status?.value;
}

/** Returns the version of the booking record in force at an entry. */
async function versionAt(entry: TrialProcess): Promise<number | undefined> {
  const response = await fetch(`${entry.ready['admin']}/dump`, {
    headers: {authorization: 'Bearer trial-admin-key'},
  });
  const {configuration} = (await response.json()) as {
    configuration: {
      versions: {kind: string; name: string; sourceVersion: number}[];
    };
  };
  return configuration.versions.find(
    ({kind, name}) => kind === 'service' && name === 'booking',
  )?.sourceVersion;
}

describe('records while their acceptor fails, as separate processes', () => {
  for (const {name, inject, clear} of faults) {
    // The entry that accepts records fails when an operator writes one. The
    // record would have no effect, or the resumed entry, acting on its stale
    // state, would put an older version in force again.
    it(`puts a record in force when its acceptor is ${name}`, async () => {
      const {fleet} = await startServingFleet();
      running = fleet;
      await waitUntil('the first record is in force', async () => {
        return (await statusOf(fleet))?.state === 'in-force';
      });
      const holder = await holderOf(fleet, 'acceptance');
      await inject(holder);
      const stored = await putBooking(fleet, '/drafts');
      const others = fleet.entries.filter(entry => entry !== holder);
      await waitUntil('the record is in force at the others', async () => {
        const versions = await Promise.all(others.map(versionAt));
        return versions.every(version => version === stored.version);
      });
      assert.notEqual(await holderOf(fleet, 'acceptance'), holder);
      clear(holder);
      const latest = await putBooking(fleet, '/later');
      const alive = fleet.entries.filter(entry => !entry.hasEnded());
      await waitUntil('the last record is reported in force', async () => {
        const status = await statusOf(fleet);
        return (
          status?.state === 'in-force' &&
          status.sourceVersion === latest.version
        );
      });
      const versions = await Promise.all(alive.map(versionAt));
      assert.deepEqual(new Set(versions), new Set([latest.version]));
      const reply = await fetch(
        `${alive[0]!.ready['callers']}/services/booking/availability`,
        {headers: trialHeaders},
      );
      assert.equal(reply.status, 200);
    });
  }
});
