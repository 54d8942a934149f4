import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createSilentLogger,
  createVirtualClock,
  ServingError,
} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import type {AttemptResult} from '../attemptResult.js';
import type {CallerReply} from '../../callers/callerReply.js';
import type {ForwardedCall} from '../../forwarding/forwardedCall.js';
import {
  createHedging,
  type Destination,
  type RacingAttempt,
} from '../hedging.js';
import {createProgress} from '../../forwarding/retryRules.js';

const STALL = {silentMs: 1_200, timeoutMs: 1_200};
const END = {framing: 'chunks', remainderBytes: 0} as const;

const STREAMED: AttemptResult = {type: 'streamed', end: END};
const CLOSED: AttemptResult = {
  type: 'failed',
  error: new ServingError('interrupted', 'closed', {run: 'may-have-run'}),
  loss: 'closed',
};

function answered(status: number): AttemptResult {
  return {
    type: 'answered',
    status,
    headers: {},
    body: Buffer.from(''),
    end: END,
  };
}

/** An attempt whose end the test controls. */
interface TestAttempt extends RacingAttempt {
  end(result: AttemptResult): void;
}

function destinationOf(endpoint: string): Destination {
  return {type: 'endpoint', target: {choice: {endpoint} as never}};
}

/** Runs a call at endpoint `a`, and at the endpoints of `hedges` if it stalls. */
function startCall(
  hedges: readonly string[],
  {
    isResponding = false,
    respondsAt = Infinity,
    first = destinationOf('a'),
  } = {},
) {
  const clock = createVirtualClock();
  const attempts: TestAttempt[] = [];
  const remainingHedges = [...hedges];
  const hedging = createHedging({
    runAttempt: (_call, _reply, _progress, _destination, racingAttempt) =>
      new Promise(resolve => {
        attempts.push({...racingAttempt, end: resolve});
      }),
    chooseHedge() {
      const endpoint = remainingHedges.shift();
      return endpoint === undefined ? undefined : destinationOf(endpoint);
    },
    isResponding: async () => isResponding || clock.now() >= respondsAt,
    clock,
    log: createSilentLogger(),
  });
  const end = hedging.run(
    {attemptId: 'r1', route: {kind: 'streaming'}} as ForwardedCall,
    {hasBegun: () => false} as CallerReply,
    createProgress(0),
    first,
  );
  return {
    clock,
    attempts,
    async settled() {
      const {destination, result} = await end;
      assert.ok(destination.type === 'endpoint');
      return {endpoint: destination.target.choice.endpoint, result};
    },
  };
}

describe('hedging', () => {
  it('returns the result of an attempt that never stalls', async () => {
    const {attempts, settled} = startCall(['b']);
    attempts[0]!.end(CLOSED);
    assert.deepEqual(await settled(), {endpoint: 'a', result: CLOSED});
    assert.equal(attempts.length, 1);
  });

  // Guards against streams that are lost because their silent endpoint was given up first.
  it('keeps the silent attempt, which may go on before the other one', async () => {
    const {attempts, settled} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    assert.ok(!attempts[0]!.race.isSuperseded());
    attempts[0]!.race.lead();
    assert.ok(attempts[1]!.race.isSuperseded());
    attempts[1]!.end(CLOSED);
    attempts[0]!.end(STREAMED);
    assert.deepEqual(await settled(), {endpoint: 'a', result: STREAMED});
  });

  it('supersedes the silent attempt when the other one responds', async () => {
    const {attempts, settled} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    attempts[1]!.race.lead();
    assert.ok(attempts[0]!.race.isSuperseded());
    attempts[0]!.end(CLOSED);
    attempts[1]!.end(STREAMED);
    assert.deepEqual(await settled(), {endpoint: 'b', result: STREAMED});
  });

  // Guards against events of two attempts in one stream.
  it('lets a superseded attempt not take the lead again', () => {
    const {attempts} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    attempts[1]!.race.lead();
    attempts[0]!.race.lead();
    assert.ok(!attempts[1]!.race.isSuperseded());
  });

  // Guards against ending a call whose endpoint goes on because its hedge failed.
  it('waits for the silent attempt if the other one fails', async () => {
    const {attempts, settled} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    attempts[1]!.end(CLOSED);
    await new Promise(resolve => setImmediate(resolve));
    attempts[0]!.end(STREAMED);
    assert.deepEqual(await settled(), {endpoint: 'a', result: STREAMED});
  });

  it('waits for the other attempt if the silent one fails', async () => {
    const {attempts, settled} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    attempts[0]!.end(CLOSED);
    await new Promise(resolve => setImmediate(resolve));
    attempts[1]!.end(STREAMED);
    assert.deepEqual(await settled(), {endpoint: 'b', result: STREAMED});
  });

  // Guards against replacing an endpoint's own error by one of this entry.
  it('returns the answer of an endpoint rather than a failure', async () => {
    const {attempts, settled} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    attempts[0]!.end(answered(500));
    attempts[1]!.end(CLOSED);
    assert.equal((await settled()).endpoint, 'a');
  });

  // Guards against two endpoints that work on one stream although both respond.
  it('supersedes a silent attempt at an endpoint that responds to others', async () => {
    const {attempts, clock} = startCall(['b'], {isResponding: true});
    attempts[0]!.onDidStall(STALL);
    await clock.advance(349);
    assert.ok(!attempts[0]!.race.isSuperseded());
    await clock.advance(1);
    assert.ok(attempts[0]!.race.isSuperseded());
    assert.ok(!attempts[1]!.race.isSuperseded());
  });

  // Guards against two endpoints that work on one stream after a silence of one of them.
  it('supersedes a silent attempt at an endpoint that responds again', async () => {
    const {attempts, clock} = startCall(['b'], {respondsAt: 1_000});
    attempts[0]!.onDidStall(STALL);
    await clock.advance(999);
    assert.ok(!attempts[0]!.race.isSuperseded());
    await clock.advance(400);
    assert.ok(attempts[0]!.race.isSuperseded());
    assert.ok(!attempts[1]!.race.isSuperseded());
  });

  // Guards against two entries whose endpoints work on one stream that was handed over to both.
  it('supersedes a silent attempt at another entry that responds', async () => {
    const {attempts, clock} = startCall(['b'], {
      isResponding: true,
      first: {type: 'peer', peer: {id: 'p1'} as Member},
    });
    attempts[0]!.onDidStall(STALL);
    await clock.advance(350);
    assert.ok(attempts[0]!.race.isSuperseded());
    assert.ok(!attempts[1]!.race.isSuperseded());
  });

  it('keeps a silent attempt at an endpoint that does not respond', async () => {
    const {attempts, clock} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    await clock.advance(2_000);
    assert.ok(!attempts[0]!.race.isSuperseded());
  });

  it('keeps a silent attempt if the other one has failed', async () => {
    const {attempts, clock, settled} = startCall(['b'], {isResponding: true});
    attempts[0]!.onDidStall(STALL);
    attempts[1]!.end(CLOSED);
    await clock.advance(2_000);
    assert.ok(!attempts[0]!.race.isSuperseded());
    attempts[0]!.end(STREAMED);
    assert.equal((await settled()).endpoint, 'a');
  });

  // Guards against an error that is held back until the deadline.
  it('returns an error of an endpoint if the other attempt stays silent', async () => {
    const {attempts, clock, settled} = startCall(['b']);
    attempts[0]!.onDidStall(STALL);
    attempts[1]!.end(answered(500));
    await clock.advance(299);
    assert.ok(!attempts[0]!.race.isSuperseded());
    await clock.advance(1);
    assert.ok(attempts[0]!.race.isSuperseded());
    attempts[0]!.end(CLOSED);
    assert.equal((await settled()).endpoint, 'b');
  });

  // Guards against attempts that nobody waits for.
  it('starts no attempt after the call has ended', async () => {
    const {attempts, settled} = startCall(['b']);
    attempts[0]!.end(CLOSED);
    await settled();
    attempts[0]!.onDidStall(STALL);
    assert.equal(attempts.length, 1);
  });

  // Guards against one stall that occupies the slots of many endpoints.
  it('runs at most two attempts at a time', async () => {
    const {attempts, settled} = startCall(['b', 'c']);
    attempts[0]!.onDidStall(STALL);
    attempts[0]!.onDidStall(STALL);
    attempts[1]!.onDidStall(STALL);
    assert.equal(attempts.length, 2);
    attempts[1]!.end(CLOSED);
    await new Promise(resolve => setImmediate(resolve));
    attempts[0]!.onDidStall(STALL);
    assert.equal(attempts.length, 3);
    attempts[2]!.race.lead();
    attempts[0]!.end(CLOSED);
    attempts[2]!.end(STREAMED);
    assert.equal((await settled()).endpoint, 'c');
  });
});
