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
import type {
  AttemptResult,
  ConnectionLoss,
} from '../../attempts/attemptResult.js';
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

  describe('after a response with an unmarked end', () => {
    const UNMARKED = {
      ...SUCCESS,
      end: {framing: 'close', remainderBytes: 0},
    } as const satisfies AttemptResult;
    const REFUSED = {
      type: 'failed',
      error: new ServingError('endpoint-unavailable', 'ECONNREFUSED'),
    } as const satisfies AttemptResult;
    const OTHER_CALL = {fingerprint: () => 'beef', suspectParts: []};

    // Guards against clearing a request by the begin of a response that ended
    // with its endpoint.
    it('suspects the request if the endpoint refuses connections', () => {
      const {guard} = createGuard(READY);
      guard.recordAttemptResult(CALL, 'e1', UNMARKED, 60);
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
      guard.recordAttemptResult(OTHER_CALL, 'e1', REFUSED, 0);
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'suspected');
    });

    it('suspects the request if another one loses the endpoint', () => {
      const {guard, clock} = createGuard(READY);
      guard.recordAttemptResult(CALL, 'e1', UNMARKED, 60);
      guard.recordAttemptResult(
        OTHER_CALL,
        'e1',
        createLossResult('closed'),
        0,
      );
      clock.advanceSync(1_000);
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'suspected');
    });

    it('suspects the request if the endpoint is deregistered', () => {
      const {guard, crashQuarantine} = createGuard(READY);
      guard.recordAttemptResult(CALL, 'e1', UNMARKED, 60);
      crashQuarantine.recordDeregistered('e1');
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'suspected');
    });

    it('clears the request once the endpoint answers a later one', () => {
      const {guard, crashQuarantine, clock, loseConnections} =
        createGuard(READY);
      loseConnections(['e1', 'e2']);
      guard.recordAttemptResult(CALL, 'e3', UNMARKED, 60);
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'suspected');
      clock.advanceSync(1);
      crashQuarantine.recordResponse('e3', clock.now());
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
      crashQuarantine.recordDeregistered('e3');
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
    });

    // Guards against clearing a request by the process that restarted after it.
    it('clears the request only by a response that comes soon', () => {
      const {guard, crashQuarantine, clock, loseConnections} =
        createGuard(READY);
      loseConnections(['e1', 'e2']);
      guard.recordAttemptResult(CALL, 'e3', UNMARKED, 60);
      clock.advanceSync(1_000);
      crashQuarantine.recordResponse('e3', clock.now());
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'suspected');
    });

    it('ignores endpoints that drain', () => {
      const {guard, crashQuarantine} = createGuard({e1: 'draining'});
      guard.recordAttemptResult(CALL, 'e1', UNMARKED, 60);
      crashQuarantine.recordDeregistered('e1');
      assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'clear');
    });
  });

  // Guards against suspecting the prompts of long responses that any crash
  // breaks off.
  it('suspects no prompt part of a response that has gone on for a second', () => {
    const {guard} = createGuard(READY);
    const parts = {suspectParts: ['part m/a']};
    const call = {fingerprint: () => 'f1', ...parts};
    const sameParts = {fingerprint: () => 'f2', ...parts};
    guard.recordAttemptResult(call, 'e1', createLossResult('closed'), 1_000);
    assert.equal(guard.checkSend(sameParts, FIRST_ATTEMPT).type, 'clear');
    assert.equal(guard.checkSend(call, FIRST_ATTEMPT).type, 'suspected');
    guard.recordAttemptResult(call, 'e2', createLossResult('closed'), 999);
    assert.equal(guard.checkSend(sameParts, FIRST_ATTEMPT).type, 'suspected');
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
    const verdict = guard.checkSend(CALL, FIRST_ATTEMPT);
    assert.equal(verdict.type, 'trial');
    guard.recordSend(CALL, verdict);
    assert.equal(guard.checkSend(CALL, FIRST_ATTEMPT).type, 'quarantined');
  });
});
