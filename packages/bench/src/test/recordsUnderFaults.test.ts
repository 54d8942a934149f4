import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {TrialProcess} from '../processes/childProcess.js';
import {startServingFleet} from '../processes/servingFleet.js';
import {trialHeaders, trialRecords} from '../processes/trialCalls.js';
import type {TrialFleet} from '../processes/trialFleet.js';
import {waitUntil} from '../processes/waitUntilServing.js';

let currentFleet: TrialFleet | undefined;

afterEach(async () => {
  await currentFleet?.dispose();
  currentFleet = undefined;
});

interface Fault {
  readonly name: string;
  inject(holder: TrialProcess): Promise<void> | void;
  /** Called after another entry has taken over the duty, to end the fault. */
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

/** Returns the entry that has the lease of a duty. */
async function fetchHolder(
  fleet: TrialFleet,
  duty: string,
): Promise<TrialProcess> {
  const lease = await fleet.store.get<{holder: string}>('lease', duty);
  const entryId = lease?.value.holder.split('.')[0];
  const holder = fleet.entries.find(entry => entry.name === entryId);
  assert.ok(holder, `no entry has the lease of duty ${duty}`);
  return holder;
}

/** Writes the booking record with an additional route. */
function putBooking(fleet: TrialFleet, prefix: string) {
  const record = trialRecords['booking'] as {routes: object[]};
  const route = {method: 'POST', pathPrefix: prefix, idempotent: true};
  const value = {...record, routes: [...record.routes, route]};
  return fleet.store.put('service', 'booking', value, {type: 'any'});
}

async function fetchBookingStatus(fleet: TrialFleet) {
  const status = await fleet.store.get<{
    state: string;
    sourceVersion: number;
    acceptedVersion?: number;
  }>('status', 'service.booking');
  return status?.value;
}

/** Fetches the version of the booking record in force at an entry. */
async function fetchBookingVersion(
  entry: TrialProcess,
): Promise<number | undefined> {
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

describe('records while the entry that accepts them fails', () => {
  for (const {name, inject, clear} of faults) {
    // The entry that accepts records fails when an operator writes a record.
    // The record would have no effect, or the entry would resume with stale
    // state and put an older version in force again.
    it(`puts a record in force when the accepting entry is ${name}`, async () => {
      const {fleet} = await startServingFleet();
      currentFleet = fleet;
      await waitUntil('the first record is in force', async () => {
        return (await fetchBookingStatus(fleet))?.state === 'in-force';
      });
      const holder = await fetchHolder(fleet, 'acceptance');
      await inject(holder);
      const storedRecord = await putBooking(fleet, '/drafts');
      const otherEntries = fleet.entries.filter(entry => entry !== holder);
      await waitUntil(
        'the record is in force at the other entries',
        async () => {
          const versions = await Promise.all(
            otherEntries.map(fetchBookingVersion),
          );
          return versions.every(version => version === storedRecord.version);
        },
      );
      assert.notEqual(await fetchHolder(fleet, 'acceptance'), holder);
      clear(holder);
      const latestRecord = await putBooking(fleet, '/later');
      const runningEntries = fleet.entries.filter(entry => !entry.hasEnded());
      await waitUntil('the last record is reported in force', async () => {
        const status = await fetchBookingStatus(fleet);
        return (
          status?.state === 'in-force' &&
          status.sourceVersion === latestRecord.version
        );
      });
      const versions = await Promise.all(
        runningEntries.map(fetchBookingVersion),
      );
      assert.deepEqual(new Set(versions), new Set([latestRecord.version]));
      const reply = await fetch(
        `${runningEntries[0]!.ready['callers']}/services/booking/availability`,
        {headers: trialHeaders},
      );
      assert.equal(reply.status, 200);
    });
  }
});
