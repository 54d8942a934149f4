import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  ServingError,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createCrashQuarantine} from '@skylarkfield/routing';
import type {RegisteredEndpoint} from '@skylarkfield/traffic';
import type {AttemptResult, ConnectionLoss} from '../attempt.js';
import {createCrashGuard} from '../crashGuard.js';

const CALL = {fingerprint: () => 'f00d', suspectParts: []};
const FIRST_ATTEMPT = {continuation: undefined};
const SUCCESS = {
  type: 'answered',
  status: 200,
  headers: {},
  body: Buffer.from(''),
  end: {framing: 'length', remainderBytes: 0},
} as const satisfies AttemptResult;

function createLossResult(loss: ConnectionLoss): AttemptResult {
  const error = new ServingError('interrupted', 'other side closed');
  return {type: 'failed', error, loss};
}

/** Creates a crash guard and a directory with endpoints in the given states. */
function createGuard(states: Readonly<Record<string, 'ready' | 'draining'>>) {
  const clock = createVirtualClock();
  const crashQuarantine = createCrashQuarantine({
    clock,
    self: 'a1',
    decisions: createDecisionLog(clock, createSilentLogger()),
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
        guard.recordAttemptResult(CALL, endpoint, createLossResult(loss), 0);
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

  it('clears a quarantined request after a complete response', () => {
    const {guard, loseConnections} = createGuard(READY);
    loseConnections(['e1', 'e2', 'e3']);
    guard.recordAttemptResult(CALL, 'e4', SUCCESS, 0);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
  });

  it('keeps a request quarantined after a server error', () => {
    const {guard, loseConnections} = createGuard(READY);
    loseConnections(['e1', 'e2', 'e3']);
    guard.recordAttemptResult(CALL, 'e4', {...SUCCESS, status: 500}, 0);
    assert.ok(guard.isQuarantined(CALL));
  });

  // Guards against mistaking the planned termination of an endpoint for a
  // crash.
  it('ignores connections lost by draining endpoints', () => {
    const {guard, loseConnections} = createGuard({e1: 'draining'});
    loseConnections(['e1']);
    loseConnections(['e1'], 'silent');
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
  });

  it('suspects a request whose endpoint was deregistered before the connection closed', () => {
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

  it('permits a single send in a trial', () => {
    const {guard, crashQuarantine, clock} = createGuard(READY);
    for (const endpoint of ['e1', 'e2', 'e3']) {
      crashQuarantine.recordConnectionLost({request: 'f00d', endpoint});
    }
    clock.advanceSync(10_000);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'trial');
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'quarantined');
  });
});
