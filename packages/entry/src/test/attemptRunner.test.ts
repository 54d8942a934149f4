import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  ServingError,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createTrafficSplit} from '@skylarkfield/moves';
import type {Candidate, Choice, Router} from '@skylarkfield/routing';
import {createAttemptRunner} from '../callers/attemptRunner.js';
import type {ConnectedEndpoint} from '../servingContext.js';

type Behaviour = 'ok' | 'refuse' | 'fail';

const MOVE_MS = 600_000;
const CALL_INTERVAL_MS = 50;

/**
 * Creates an entry whose endpoints behave as given; half of the sessions are
 * assigned to `v2`.
 */
function createEntry(
  behaviours: readonly {version: string; behaviour: Behaviour}[],
) {
  const clock = createVirtualClock();
  const split = createTrafficSplit({
    clock,
    decisions: createDecisionLog(clock, createSilentLogger()),
  });
  const move = {
    name: 'to-v2',
    service: 'booking',
    from: 'v1',
    to: 'v2',
    deadline: clock.wall() + MOVE_MS,
    maxUnprovenShare: 0.5,
  };
  split.setMoves([move]);
  split.setStates([
    {
      move: move.name,
      phase: 'proving',
      share: 0.5,
      orderShare: 0.5,
      why: '',
      confidence: 0,
      changedAt: 0,
    },
  ]);
  const endpoints = new Map(
    behaviours.map(({version, behaviour}, index) => [
      `e${index}`,
      createEndpoint(`e${index}`, version, behaviour),
    ]),
  );
  const router: Pick<Router, 'choose' | 'rateLimitWaitMs'> = {
    rateLimitWaitMs: () => undefined,
    choose({version, excluded}) {
      const foundEndpoint = [...endpoints.values()].find(
        ({listedEndpoint}) =>
          listedEndpoint.version === version &&
          !excluded.has(listedEndpoint.id),
      );
      return foundEndpoint && createChoice(foundEndpoint.listedEndpoint.id);
    },
  };
  const serving = {
    router: router as Router,
    rests: {recordRest() {}, recordAnswer() {}},
    endpointPool: {
      get: (id: string) => endpoints.get(id),
      list: () => [...endpoints.values()],
    },
    trafficSplit: split,
    admission: {tryAcquireRetry: () => true, loadFraction: () => 0.1},
  };
  const attemptRunner = createAttemptRunner(serving as never, clock);
  const cutReasons: string[] = [];
  split.onDidCut((_move, why) => cutReasons.push(why));

  /**
   * Makes one call of a session and returns the version that responded; rejects
   * if the call fails.
   */
  async function call(session: string, isIdempotent = true) {
    const version = split.versionFor({
      service: 'booking',
      incumbent: 'v1',
      session,
      isIdempotent,
    });
    return callVersion(version, isIdempotent);
  }

  async function callVersion(version: string, isIdempotent = true) {
    const routedCall = {
      service: 'booking',
      version,
      incumbent: split.incumbentFor('booking', 'v1'),
      route: 'GET /x',
      call: {method: 'GET', path: '/x', headers: {}, body: new Uint8Array()},
      deadline: clock.now() + 1000,
    };
    const {signal} = new AbortController();
    const reply = isIdempotent
      ? await attemptRunner.runIdempotent(routedCall, signal)
      : await attemptRunner.runAtMostOnce(routedCall, signal, () => true);
    return Buffer.from(reply.body).toString();
  }

  /** Takes the collected evidence and returns its number of errors of `v2`. */
  function takeCandidateErrorCount(): number {
    return split
      .takeEvidence()
      .flatMap(({sums}) => sums)
      .filter(({version}) => version === 'v2')
      .reduce((sum, {errors}) => sum + errors, 0);
  }

  return {clock, call, callVersion, takeCandidateErrorCount, cutReasons};
}

function createChoice(endpoint: string): Choice {
  return {
    endpoint,
    cachedTokens: 0,
    loadBefore: {requests: 0, pendingTokens: 0, contextTokens: 0},
    slowness: () => 1,
    tokensAhead: 0,
    recordStart() {},
    recordFirstToken() {},
    finish() {},
  };
}

function createEndpoint(id: string, version: string, behaviour: Behaviour) {
  const listedEndpoint: Partial<Candidate> = {id, service: 'booking', version};
  const errors = {
    refuse: () =>
      new ServingError('endpoint-unavailable', 'refused', {run: 'not-run'}),
    fail: () =>
      new ServingError('endpoint-failed', 'broke', {run: 'may-have-run'}),
  };
  return {
    listedEndpoint,
    leavingSignal: new AbortController().signal,
    plainService: {
      async call() {
        if (behaviour !== 'ok') {
          throw errors[behaviour]();
        }
        return {status: 200, headers: {}, body: Buffer.from(version)};
      },
    },
  } as unknown as ConnectedEndpoint & {listedEndpoint: Candidate};
}

describe('attempts at a candidate version', () => {
  // The candidate's processes have crashed or never listened. Without fallback,
  // calls assigned to `v2` would be rejected until the deadline of the move of
  // traffic from `v1` to `v2`.
  it('falls back and cuts the share soon when all endpoints of the candidate refuse connections', async () => {
    const entry = createEntry([
      {version: 'v1', behaviour: 'ok'},
      {version: 'v2', behaviour: 'refuse'},
      {version: 'v2', behaviour: 'refuse'},
    ]);
    const startedAt = entry.clock.now();
    for (let index = 0; entry.cutReasons.length === 0; index++) {
      assert.equal(await entry.call(`s${index}`), 'v1');
      await entry.clock.advance(CALL_INTERVAL_MS);
      assert.ok(entry.clock.now() - startedAt < MOVE_MS / 20, 'share not cut');
    }
    assert.match(entry.cutReasons[0] ?? '', /error/);
  });

  const cases: readonly {
    name: string;
    candidateBehaviours: readonly Behaviour[];
    isIdempotent: boolean;
    expected: string;
    errorCount: number;
  }[] = [
    {
      name: 'an order known not to have run falls back',
      candidateBehaviours: ['refuse'],
      isIdempotent: false,
      expected: 'v1',
      errorCount: 1,
    },
    {
      name: 'an order that may have run is not retried',
      candidateBehaviours: ['fail', 'ok'],
      isIdempotent: false,
      expected: 'endpoint-failed may-have-run',
      errorCount: 1,
    },
    {
      name: 'an unreachable endpoint counts no error if another endpoint responds',
      candidateBehaviours: ['refuse', 'ok'],
      isIdempotent: true,
      expected: 'v2',
      errorCount: 0,
    },
    {
      name: 'a version without listed endpoints falls back without an error',
      candidateBehaviours: [],
      isIdempotent: true,
      expected: 'v1',
      errorCount: 0,
    },
    {
      name: 'a call that may have run is not reported as not run after an unreachable endpoint',
      candidateBehaviours: ['fail', 'refuse'],
      isIdempotent: true,
      expected: 'endpoint-unavailable may-have-run',
      errorCount: 1,
    },
  ];
  // Checks the response or run state for the caller, and the candidate's errors
  // in the evidence, when endpoints of the candidate are unreachable or fail.
  for (const {
    name,
    candidateBehaviours,
    isIdempotent,
    expected,
    errorCount,
  } of cases) {
    it(name, async () => {
      const entry = createEntry([
        {version: 'v1', behaviour: 'ok'},
        ...candidateBehaviours.map(behaviour => ({version: 'v2', behaviour})),
      ]);
      const actual = await entry
        .callVersion('v2', isIdempotent)
        .catch((error: ServingError) => `${error.kind} ${error.run}`);
      assert.equal(actual, expected);
      assert.equal(entry.takeCandidateErrorCount(), errorCount);
    });
  }

  it('rejects an order as not run when both versions are unreachable', async () => {
    // This entry has lost connectivity to all endpoints: the error must count
    // against both versions, not only against the candidate.
    const entry = createEntry([
      {version: 'v1', behaviour: 'refuse'},
      {version: 'v2', behaviour: 'refuse'},
    ]);
    await assert.rejects(entry.callVersion('v2', false), {
      kind: 'endpoint-unavailable',
      run: 'not-run',
    });
    assert.equal(entry.takeCandidateErrorCount(), 1);
  });
});
