import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  decisionLog,
  ServingError,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import {createTrafficSplit} from '@skylarkfield/moves';
import type {Candidate, Choice, Router} from '@skylarkfield/routing';
import {createAttempts} from '../callers/attempts.js';
import type {ConnectedEndpoint} from '../serving.js';

type Behaviour = 'ok' | 'refuse' | 'fail';

const MOVE_MS = 600_000;
const CALL_INTERVAL_MS = 50;

/** An entry whose endpoints behave as told; half the sessions go to `v2`. */
function entryWith(
  behaviours: readonly {version: string; behaviour: Behaviour}[],
) {
  const clock = virtualClock();
  const split = createTrafficSplit({
    clock,
    decisions: decisionLog(clock, silentLogger()),
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
      endpoint(`e${index}`, version, behaviour),
    ]),
  );
  const router: Pick<Router, 'choose'> = {
    choose({version, excluded}) {
      const found = [...endpoints.values()].find(
        ({listed}) => listed.version === version && !excluded.has(listed.id),
      );
      return found && choiceOf(found.listed.id);
    },
  };
  const serving = {
    router: router as Router,
    endpoints: {
      get: (id: string) => endpoints.get(id),
      list: () => [...endpoints.values()],
    },
    split,
    admission: {tryRetry: () => true, loadFraction: () => 0.1},
  };
  const attempts = createAttempts(serving as never, clock);
  const cuts: string[] = [];
  split.onDidCut((_move, why) => cuts.push(why));

  /** One call of a session; the version that answered, or the error. */
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
    const placed = {
      service: 'booking',
      version,
      incumbent: split.incumbentFor('booking', 'v1'),
      route: 'GET /x',
      call: {method: 'GET', path: '/x', headers: {}, body: new Uint8Array()},
      deadline: clock.now() + 1000,
    };
    const {signal} = new AbortController();
    const reply = isIdempotent
      ? await attempts.repeatable(placed, signal)
      : await attempts.atMostOnce(placed, signal, () => true);
    return Buffer.from(reply.body).toString();
  }

  /** Errors of `v2` that the next shared evidence shows. */
  function candidateErrors(): number {
    return split
      .takeEvidence()
      .flatMap(({sums}) => sums)
      .filter(({version}) => version === 'v2')
      .reduce((sum, {errors}) => sum + errors, 0);
  }

  return {clock, call, callVersion, candidateErrors, cuts};
}

function choiceOf(endpoint: string): Choice {
  return {
    endpoint,
    cachedTokens: 0,
    loadBefore: {requests: 0, pendingTokens: 0, contextTokens: 0},
    tokensAhead: 0,
    started() {},
    streaming() {},
    finish() {},
  };
}

function endpoint(id: string, version: string, behaviour: Behaviour) {
  const listed: Partial<Candidate> = {id, service: 'booking', version};
  const errors = {
    refuse: () =>
      new ServingError('endpoint-unavailable', 'refused', {run: 'not-run'}),
    fail: () =>
      new ServingError('endpoint-failed', 'broke', {run: 'may-have-run'}),
  };
  return {
    listed,
    leaving: new AbortController().signal,
    plain: {
      async call() {
        if (behaviour !== 'ok') {
          throw errors[behaviour]();
        }
        return {status: 200, headers: {}, body: Buffer.from(version)};
      },
    },
  } as unknown as ConnectedEndpoint & {listed: Candidate};
}

describe('attempts at a version under move', () => {
  // The new version's processes have died or never listened. Callers whose
  // sessions belong to it would be refused until the deadline of the move.
  it('goes to the incumbent when all endpoints refuse, and soon cuts', async () => {
    const entry = entryWith([
      {version: 'v1', behaviour: 'ok'},
      {version: 'v2', behaviour: 'refuse'},
      {version: 'v2', behaviour: 'refuse'},
    ]);
    const startedAt = entry.clock.now();
    for (let call = 0; entry.cuts.length === 0; call++) {
      assert.equal(await entry.call(`s${call}`), 'v1');
      await entry.clock.advance(CALL_INTERVAL_MS);
      assert.ok(entry.clock.now() - startedAt < MOVE_MS / 20, 'never cut');
    }
    assert.match(entry.cuts[0] ?? '', /error/);
  });

  const cases: readonly {
    name: string;
    candidates: readonly Behaviour[];
    isIdempotent: boolean;
    answer: string;
    errors: number;
  }[] = [
    {
      name: 'an order that certainly did not run falls back',
      candidates: ['refuse'],
      isIdempotent: false,
      answer: 'v1',
      errors: 1,
    },
    {
      name: 'an order that may have run goes nowhere else',
      candidates: ['fail', 'ok'],
      isIdempotent: false,
      answer: 'endpoint-failed may-have-run',
      errors: 1,
    },
    {
      name: 'an unreachable endpoint made up for by another is no error',
      candidates: ['refuse', 'ok'],
      isIdempotent: true,
      answer: 'v2',
      errors: 0,
    },
    {
      name: 'a version without listed endpoints falls back and is not at fault',
      candidates: [],
      isIdempotent: true,
      answer: 'v1',
      errors: 0,
    },
    {
      name: 'a call that ran at one endpoint is not refused as not run by the next',
      candidates: ['fail', 'refuse'],
      isIdempotent: true,
      answer: 'endpoint-unavailable may-have-run',
      errors: 1,
    },
  ];
  // What a caller gets, and what the move is told, when some endpoints of the
  // candidate cannot be reached or break: an answer, or a refusal that is true.
  for (const {name, candidates, isIdempotent, answer, errors} of cases) {
    it(name, async () => {
      const entry = entryWith([
        {version: 'v1', behaviour: 'ok'},
        ...candidates.map(behaviour => ({version: 'v2', behaviour})),
      ]);
      const got = await entry
        .callVersion('v2', isIdempotent)
        .catch((error: ServingError) => `${error.kind} ${error.run}`);
      assert.equal(got, answer);
      assert.equal(entry.candidateErrors(), errors);
    });
  }

  it('refuses as not run when the incumbent cannot be reached either', async () => {
    // This entry has lost its way to all endpoints: the candidate must not be
    // blamed alone, so both versions get the error.
    const entry = entryWith([
      {version: 'v1', behaviour: 'refuse'},
      {version: 'v2', behaviour: 'refuse'},
    ]);
    await assert.rejects(entry.callVersion('v2', false), {
      kind: 'endpoint-unavailable',
      run: 'not-run',
    });
    assert.equal(entry.candidateErrors(), 1);
  });
});
