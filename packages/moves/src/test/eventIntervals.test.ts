import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {Move} from '@skylarkfield/records';
import {
  createMoveController,
  createTrafficSplit,
  type MoveState,
} from '../index.js';

const START_MS = 1_800_000_000_000;
const SECOND_MS = 1_000;
const PERIOD_MS = 15_000;
const REQUESTS_PER_SECOND = 30;
const FIRST_BYTE_MS = 100;
const INTERVAL_MS = 33;

const move: Move = {
  name: 'chat.v2',
  service: 'chat',
  from: 'v1',
  to: 'v2',
  deadline: START_MS + PERIOD_MS,
  maxUnprovenShare: 0.08,
};

/** Spread of the event intervals: hosts differ by a third. */
const HOST_FACTORS = [1, 1, 1.3];

/**
 * Runs a move whose candidate begins its streams as early as the incumbent and
 * sends their events `slowdown` times slower; returns all states.
 */
async function runMove(slowdown: number): Promise<readonly MoveState[]> {
  const clock = createVirtualClock(START_MS);
  const decisions = createDecisionLog(clock, createSilentLogger());
  const split = createTrafficSplit({clock, decisions});
  const controller = createMoveController({clock, decisions});
  const states: MoveState[] = [];
  split.setMoves([move]);
  split.onDidCut(controller.reportCut);

  function serveRequest(request: number) {
    const version = split.versionFor({
      service: 'chat',
      incumbent: 'v1',
      session: `s${request}`,
      isIdempotent: true,
    });
    const hostFactor = HOST_FACTORS[request % HOST_FACTORS.length]!;
    const sample = {
      service: 'chat',
      version,
      route: 'r',
      isError: false,
      loadFraction: 0,
    };
    split.recordSample({
      ...sample,
      latencyMs: FIRST_BYTE_MS * (0.6 + 0.2 * (request % 5)),
    });
    split.recordSample({
      ...sample,
      measure: 'eventInterval',
      latencyMs:
        INTERVAL_MS * hostFactor * (version === move.to ? slowdown : 1),
    });
  }

  for (let elapsedMs = 0; elapsedMs < PERIOD_MS; elapsedMs += SECOND_MS) {
    const state = controller.advance(move, states.at(-1), clock.wall());
    states.push(state);
    split.setStates([state]);
    for (let count = 0; count < REQUESTS_PER_SECOND; count++) {
      serveRequest((elapsedMs / SECOND_MS) * REQUESTS_PER_SECOND + count);
    }
    for (const {move: name, sums} of split.takeEvidence()) {
      controller.addEvidence(name, sums);
    }
    await clock.advance(SECOND_MS);
  }
  return states;
}

describe('event intervals as evidence', () => {
  for (const slowdown of [2.5, 10]) {
    // Guards against a version that begins its responses in time, and is kept although they take several times longer.
    it(`keeps a version ${slowdown} times slower from most traffic`, async () => {
      const states = await runMove(slowdown);
      assert.equal(states.at(-1)?.phase, 'taken-back');
      assert.ok(states.every(({share}) => share <= 0.08));
    });
  }

  // Guards against rolling back a version because some of its hosts are slower.
  it('completes the rollout of a version that is as fast', async () => {
    const states = await runMove(1);
    assert.equal(states.at(-1)?.phase, 'finished', states.at(-1)?.why);
  });
});
