import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  ServingError,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import {createCrashQuarantine} from '@skylarkfield/routing';
import type {RegisteredEndpoint} from '@skylarkfield/traffic';
import type {AttemptEnd, ConnectionLoss} from '../attempt.js';
import {createCrashGuard} from '../crashGuard.js';

const CALL = {fingerprint: () => 'f00d'};
const FIRST_ATTEMPT = {continuation: undefined};
const SUCCESS: AttemptEnd = {
  type: 'answered',
  status: 200,
  headers: {},
  body: Buffer.from(''),
};

function connectionLost(loss: ConnectionLoss): AttemptEnd {
  const error = new ServingError('interrupted', 'other side closed');
  return {type: 'failed', error, loss};
}

/** Creates a guard over endpoints with these states in the directory. */
function createGuard(states: Readonly<Record<string, 'ready' | 'draining'>>) {
  const clock = virtualClock();
  const crashQuarantine = createCrashQuarantine({
    clock,
    self: 'a1',
    decisions: decisionLog(clock, silentLogger()),
    wallMs: () => clock.wall(),
  });
  const directory = {
    get: (id: string) =>
      states[id] === undefined
        ? undefined
        : ({id, state: states[id]} as RegisteredEndpoint),
  };
  const guard = createCrashGuard({crashQuarantine, directory});
  return {
    clock,
    crashQuarantine,
    guard,
    loseConnections(
      endpoints: readonly string[],
      loss: ConnectionLoss = 'closed',
    ) {
      for (const endpoint of endpoints) {
        guard.recordAttemptEnd(CALL, endpoint, connectionLost(loss));
        clock.advanceSync(2_000);
      }
    },
  };
}

const READY = {e1: 'ready', e2: 'ready', e3: 'ready'} as const;

describe('crash guard', () => {
  it('quarantines a request after three crashes', () => {
    const {guard, loseConnections} = createGuard(READY);
    loseConnections(['e1', 'e2']);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'suspected');
    assert.ok(guard.isSuspected(CALL));
    loseConnections(['e3']);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'quarantined');
    assert.ok(guard.isQuarantined(CALL));
  });

  it('clears a request after a complete response', () => {
    const {guard, loseConnections} = createGuard(READY);
    loseConnections(['e1', 'e2', 'e3']);
    guard.recordAttemptEnd(CALL, 'e4', SUCCESS);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
  });

  it('does not clear a request after a server error', () => {
    const {guard, loseConnections} = createGuard(READY);
    loseConnections(['e1', 'e2', 'e3']);
    guard.recordAttemptEnd(CALL, 'e4', {...SUCCESS, status: 500});
    assert.ok(guard.isQuarantined(CALL));
  });

  // Guards against taking the planned termination of an endpoint for a crash.
  it('ignores connections lost by draining endpoints', () => {
    const {guard, loseConnections} = createGuard({e1: 'draining'});
    loseConnections(['e1']);
    loseConnections(['e1'], 'silent');
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
  });

  it('suspects a request whose endpoint was removed before the connection closed', () => {
    const {guard, crashQuarantine, loseConnections} = createGuard({});
    crashQuarantine.recordDeregistered('e1');
    loseConnections(['e1']);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'suspected');
  });

  it('does not abort a stream that is being migrated', () => {
    const {guard, loseConnections} = createGuard(READY);
    loseConnections(['e1', 'e2', 'e3']);
    const continuation = {} as never;
    assert.equal(guard.checkSend(CALL, {continuation}).type, 'clear');
  });

  it('permits one send in a trial', () => {
    const {guard, crashQuarantine, clock} = createGuard(READY);
    for (const endpoint of ['e1', 'e2', 'e3']) {
      crashQuarantine.recordConnectionLost({request: 'f00d', endpoint});
    }
    clock.advanceSync(10_000);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'trial');
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'quarantined');
  });
});
