import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  ServingError,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import {createCrashSuspects} from '@skylarkfield/routing';
import type {RegisteredEndpoint} from '@skylarkfield/traffic';
import type {AttemptEnd, ConnectionLoss} from '../attempt.js';
import {createCrashGuard} from '../crashGuard.js';

const CALL = {fingerprint: () => 'f00d'};
const FIRST = {continuation: undefined};
const SERVED: AttemptEnd = {
  type: 'answered',
  status: 200,
  headers: {},
  body: Buffer.from(''),
};

function lost(loss: ConnectionLoss): AttemptEnd {
  const error = new ServingError('interrupted', 'other side closed');
  return {type: 'failed', error, loss};
}

/** Endpoints that have these states in the directory. */
function createWorld(states: Readonly<Record<string, 'ready' | 'draining'>>) {
  const clock = virtualClock();
  const suspects = createCrashSuspects({
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
  const suspicion = createCrashGuard({suspects, directory});
  return {
    clock,
    suspects,
    suspicion,
    lose(endpoints: readonly string[], loss: ConnectionLoss = 'closed') {
      for (const endpoint of endpoints) {
        suspicion.noteAttemptEnd(CALL, endpoint, lost(loss));
        clock.advanceSync(2_000);
      }
    },
  };
}

const READY = {e1: 'ready', e2: 'ready', e3: 'ready'} as const;

describe('suspicion of a request', () => {
  it('rejects it once three endpoints have crashed under it', () => {
    const {suspicion, lose} = createWorld(READY);
    lose(['e1', 'e2']);
    assert.equal(suspicion.checkSend(CALL, FIRST).type, 'suspected');
    assert.ok(suspicion.isSuspected(CALL));
    lose(['e3']);
    assert.equal(suspicion.checkSend(CALL, FIRST).type, 'quarantined');
    assert.ok(suspicion.isQuarantined(CALL));
  });

  it('ends with its whole answer', () => {
    const {suspicion, lose} = createWorld(READY);
    lose(['e1', 'e2', 'e3']);
    suspicion.noteAttemptEnd(CALL, 'e4', SERVED);
    assert.equal(suspicion.checkSend(CALL, FIRST).type, 'clear');
  });

  it('does not end with an answer by which an endpoint failed', () => {
    const {suspicion, lose} = createWorld(READY);
    lose(['e1', 'e2', 'e3']);
    suspicion.noteAttemptEnd(CALL, 'e4', {...SERVED, status: 500});
    assert.ok(suspicion.isQuarantined(CALL));
  });

  // Guards against taking the planned end of an endpoint for a crash.
  it('does not arise from endpoints that drain', () => {
    const {suspicion, lose} = createWorld({e1: 'draining'});
    lose(['e1']);
    lose(['e1'], 'silent');
    assert.equal(suspicion.checkSend(CALL, FIRST).type, 'clear');
  });

  it('arises from endpoints that are gone before their connections close', () => {
    const {suspicion, suspects, lose} = createWorld({});
    suspects.noteGone('e1');
    lose(['e1']);
    assert.equal(suspicion.checkSend(CALL, FIRST).type, 'suspected');
  });

  it('does not break off a stream that is being moved', () => {
    const {suspicion, lose} = createWorld(READY);
    lose(['e1', 'e2', 'e3']);
    const continuation = {} as never;
    assert.equal(suspicion.checkSend(CALL, {continuation}).type, 'clear');
  });

  it('allows a trial one send', () => {
    const {suspicion, suspects, clock} = createWorld(READY);
    for (const endpoint of ['e1', 'e2', 'e3']) {
      suspects.noteClosed({request: 'f00d', endpoint});
    }
    clock.advanceSync(10_000);
    assert.equal(suspicion.checkSend(CALL, FIRST).type, 'trial');
    assert.equal(suspicion.checkSend(CALL, FIRST).type, 'quarantined');
  });
});
