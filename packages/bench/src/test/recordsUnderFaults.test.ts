import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {TrialProcess} from '../processes/childProcess.js';
import {startServingFleet} from '../processes/servingFleet.js';
import {trialHeaders, trialRecords} from '../processes/trialCalls.js';
import type {TrialFleet} from '../processes/trialFleet.js';
import {until} from '../processes/untilServing.js';

let running: TrialFleet | undefined;

afterEach(async () => {
  await running?.dispose();
  running = undefined;
});

interface Fault {
  readonly name: string;
  inject(holder: TrialProcess): Promise<void> | void;
  /** What happens once others have taken over. */
  clear(holder: TrialProcess): void;
}

const faults: readonly Fault[] = [
  {name: 'killed', inject: holder => holder.kill(), clear: () => {}},
  {
    name: 'paused, and wakes',
    inject: holder => holder.pause(),
    clear: holder => holder.resume(),
  },
];

/** The entry that holds a duty, by the lease's holder. */
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

/** Writes the booking record with one more route; the route's prefix tells versions apart. */
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

/** Version of the booking record that an entry has in force. */
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
  for (const {name, inject: strike, clear: mend} of faults) {
    // The entry that validates records fails just as an operator writes one.
    // The record would stay without effect, or, when the entry wakes and goes on
    // with what it last saw, an older version would come back into force.
    it(`puts a record in force when its acceptor is ${name}`, async () => {
      const {fleet} = await startServingFleet();
      running = fleet;
      await until('the first record is in force', async () => {
        return (await statusOf(fleet))?.state === 'in-force';
      });
      const holder = await holderOf(fleet, 'acceptance');
      await strike(holder);
      const stored = await putBooking(fleet, '/drafts');
      const others = fleet.entries.filter(entry => entry !== holder);
      await until('the record is in force at the others', async () => {
        const versions = await Promise.all(others.map(versionAt));
        return versions.every(version => version === stored.version);
      });
      assert.notEqual(await holderOf(fleet, 'acceptance'), holder);
      mend(holder);
      const latest = await putBooking(fleet, '/later');
      const alive = fleet.entries.filter(entry => !entry.hasEnded());
      await until('the last record is reported in force', async () => {
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
