import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import type {MoveState} from '@skylarkfield/moves';
import {
  putTrialRecords,
  trialHeaders,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import type {TrialProcess} from '../processes/childProcess.js';
import {startTrialFleet, type TrialFleet} from '../processes/trialFleet.js';
import {waitUntil, waitUntilServing} from '../processes/waitUntilServing.js';

const MOVE_DURATION_MS = 600_000;

/** Sessions per check; enough that a share of 1 % includes some sessions. */
const SESSION_COUNT = 400;

describe('a version move over running entries', () => {
  let fleet: TrialFleet;
  let shouldCall = true;
  let continuousCalls: Promise<unknown>;

  before(async () => {
    fleet = await startTrialFleet({
      entryDomains: ['a', 'b', 'c'],
      endpoints: [
        trialServiceEndpoint('b1', 'a'),
        trialServiceEndpoint('b2', 'b'),
        {...trialServiceEndpoint('b3', 'c'), version: 'v2'},
        {...trialServiceEndpoint('b4', 'a'), version: 'v3'},
      ],
    });
    await putTrialRecords(fleet);
    await waitUntilServing(fleet, ['booking']);
    continuousCalls = Promise.all(fleet.entries.map(callContinuously));
  });

  after(async () => {
    shouldCall = false;
    await continuousCalls;
    await fleet.dispose();
  });

  /** Calls one entry until the test ends, with a new session per call. */
  async function callContinuously(entry: TrialProcess) {
    for (let call = 0; shouldCall; call++) {
      await callOnce(entry, `s${call}`);
    }
  }

  async function callOnce(entry: TrialProcess, session: string) {
    const headers = {...trialHeaders, 'x-session-id': session};
    const url = `${entry.ready['callers']}/services/booking/availability`;
    const reply = await fetch(url, {headers});
    await reply.arrayBuffer();
    return reply.status;
  }

  /** Calls one entry with many sessions; returns the number of failed calls. */
  async function countFailures(entry: TrialProcess): Promise<number> {
    let failures = 0;
    for (let call = 0; call < SESSION_COUNT; call++) {
      failures += (await callOnce(entry, `many-${call}`)) === 200 ? 0 : 1;
    }
    return failures;
  }

  async function fetchMoveState(move: string): Promise<MoveState | undefined> {
    return (await fleet.store.get<MoveState>('move-state', move))?.value;
  }

  async function startMove(name: string, to: string) {
    const deadline = Date.now() + MOVE_DURATION_MS;
    const record = {schema: 1, service: 'booking', from: 'v1', to, deadline};
    await fleet.store.put('move', name, record, {type: 'any'});
  }

  it('rolls back a failing version, and entries stop sending to it', async () => {
    // The new version fails every request. Without a rollback, callers would
    // get errors until an operator changes the record.
    const badEndpoint = fleet.endpoints.get('b3');
    assert.ok(badEndpoint);
    await fleet.control(badEndpoint, 'faults', {type: 'fail'});
    await startMove('to-v2', 'v2');
    await waitUntil('the move is rolled back', async () => {
      return (await fetchMoveState('to-v2'))?.phase === 'taken-back';
    });
    const moveState = await fetchMoveState('to-v2');
    assert.match(moveState?.why ?? '', /errors/);
    assert.equal(moveState?.share, 0);
    await waitUntil('no call fails at the bad version any more', async () => {
      const failures = await Promise.all(fleet.entries.map(countFailures));
      return failures.every(count => count === 0);
    });
  });

  it('rolls back a version whose endpoints refuse connections, and fails no call', async () => {
    // The process of the new version crashes while the host list still lists
    // it. Calls of sessions assigned to the new version would fail until the
    // deadline.
    const crashedEndpoint = fleet.endpoints.get('b4');
    assert.ok(crashedEndpoint);
    await crashedEndpoint.kill();
    // A service can have only one move: the earlier record is removed first.
    await fleet.store.remove('move', 'to-v2', {type: 'any'});
    await startMove('to-v3', 'v3');
    let failures = 0;
    await waitUntil('the move is rolled back', async () => {
      const counts = await Promise.all(fleet.entries.map(countFailures));
      failures += counts.reduce((sum, count) => sum + count, 0);
      return (await fetchMoveState('to-v3'))?.phase === 'taken-back';
    });
    assert.match((await fetchMoveState('to-v3'))?.why ?? '', /errors/);
    assert.equal(failures, 0);
  });
});
