import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import type {MoveState} from '@skylarkfield/moves';
import {
  putTrialRecords,
  trialHeaders,
  trialPlain,
} from '../processes/trialCalls.js';
import type {TrialProcess} from '../processes/childProcess.js';
import {startTrialFleet, type TrialFleet} from '../processes/trialFleet.js';
import {until, untilServing} from '../processes/untilServing.js';

const MOVE_MS = 600_000;

/** Sessions enough that a share of a hundredth would reach some of them. */
const MANY_SESSIONS = 400;

describe('a version move over running entries', () => {
  let fleet: TrialFleet;
  let isCalling = true;
  let calling: Promise<unknown>;

  before(async () => {
    fleet = await startTrialFleet({
      entryDomains: ['a', 'b', 'c'],
      endpoints: [
        trialPlain('b1', 'a'),
        trialPlain('b2', 'b'),
        {...trialPlain('b3', 'c'), version: 'v2'},
        {...trialPlain('b4', 'a'), version: 'v3'},
      ],
    });
    await putTrialRecords(fleet);
    await untilServing(fleet, ['booking']);
    calling = Promise.all(fleet.entries.map(callOnAndOn));
  });

  after(async () => {
    isCalling = false;
    await calling;
    await fleet.dispose();
  });

  /** Look-ups at one entry until the test ends, each of its own session. */
  async function callOnAndOn(entry: TrialProcess) {
    for (let call = 0; isCalling; call++) {
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

  /** Calls of many sessions at one entry that got no good answer. */
  async function countFailures(entry: TrialProcess): Promise<number> {
    let failures = 0;
    for (let call = 0; call < MANY_SESSIONS; call++) {
      failures += (await callOnce(entry, `many-${call}`)) === 200 ? 0 : 1;
    }
    return failures;
  }

  async function stateOf(move: string): Promise<MoveState | undefined> {
    return (await fleet.store.get<MoveState>('move-state', move))?.value;
  }

  async function startMove(name: string, to: string) {
    const deadline = Date.now() + MOVE_MS;
    const record = {schema: 1, service: 'booking', from: 'v1', to, deadline};
    await fleet.store.put('move', name, record, {type: 'any'});
  }

  it('takes a failing version back, and entries stop sending to it', async () => {
    // The new version fails every request. Callers at each entry would meet its
    // failures until somebody noticed and changed the record by hand.
    const bad = fleet.endpoints.get('b3');
    assert.ok(bad);
    await fleet.control(bad, 'faults', {type: 'fail'});
    await startMove('to-v2', 'v2');
    await until('taken back', async () => {
      return (await stateOf('to-v2'))?.phase === 'taken-back';
    });
    const state = await stateOf('to-v2');
    assert.match(state?.why ?? '', /errors/);
    assert.equal(state?.share, 0);
    await until('no more requests at the bad version', async () => {
      const failures = await Promise.all(fleet.entries.map(countFailures));
      return failures.every(count => count === 0);
    });
  });

  it('takes a version back whose endpoints refuse connections, and fails no call', async () => {
    // The process of the new version dies while the host list goes on naming it.
    // Callers whose sessions belong to it would be refused until the deadline.
    const dead = fleet.endpoints.get('b4');
    assert.ok(dead);
    await dead.kill();
    // One move of a service at a time: the earlier record has to go first.
    await fleet.store.remove('move', 'to-v2', {type: 'any'});
    await startMove('to-v3', 'v3');
    let failures = 0;
    await until('taken back', async () => {
      const counts = await Promise.all(fleet.entries.map(countFailures));
      failures += counts.reduce((sum, count) => sum + count, 0);
      return (await stateOf('to-v3'))?.phase === 'taken-back';
    });
    assert.match((await stateOf('to-v3'))?.why ?? '', /errors/);
    assert.equal(failures, 0);
  });
});
