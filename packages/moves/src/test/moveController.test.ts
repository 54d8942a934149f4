import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Move} from '@skylarkfield/records';
import {createMoveController, type MoveState} from '../index.js';
import {HOUR_MS, move, START_MS, evidenceOfWindow} from './fakes.js';

const HEALTHY_STATS = {errors: 0, medianMs: 100};
const STEP_MS = 5000;

function createController() {
  const clock = createVirtualClock();
  const decisions = createDecisionLog(clock, createSilentLogger());
  return createMoveController({clock, decisions});
}

/**
 * Runs a move until it is finished or rolled back, adding the given evidence at
 * each step.
 */
function runMove(
  createEvidence: (state: MoveState, elapsedMs: number) => EvidenceSum[],
  record: Move = move,
) {
  const controller = createController();
  let state: MoveState | undefined;
  let endElapsedMs = 0;
  for (let elapsedMs = 0; elapsedMs <= HOUR_MS; elapsedMs += STEP_MS) {
    state = controller.advance(record, state, START_MS + elapsedMs);
    if (state.phase === 'finished' || state.phase === 'taken-back') {
      endElapsedMs = elapsedMs;
      break;
    }
    controller.addEvidence(record.name, createEvidence(state, elapsedMs));
  }
  return {state, endElapsedMs};
}

/**
 * Splits 100 requests between both versions; the incumbent fails at the given
 * error rate.
 */
function requestCounts(share: number, errorRate: number) {
  const candidateRequests = Math.max(1, Math.round(100 * share));
  const incumbentRequests = Math.max(4, 100 - candidateRequests);
  return {
    candidateRequests,
    incumbentRequests,
    incumbentErrors: Math.round(incumbentRequests * errorRate),
  };
}

const evaluationCases: readonly {
  readonly title: string;
  readonly candidate: Partial<typeof HEALTHY_STATS & {errorRate: number}>;
  readonly incumbentErrorRate: number;
  readonly onsetMs: number;
  readonly outcome: 'finished' | 'taken-back';
  /** Upper bound of the time from the fault's onset to the rollback. */
  readonly withinMs?: number;
}[] = [
  {
    title: 'a version that is as good as the old one',
    candidate: {},
    incumbentErrorRate: 0,
    onsetMs: 0,
    outcome: 'finished',
  },
  {
    title: 'a version that fails every request',
    candidate: {errorRate: 1},
    incumbentErrorRate: 0.01,
    onsetMs: 0,
    outcome: 'taken-back',
    withinMs: 60_000,
  },
  {
    title: 'a version that starts to fail in the middle of the soak',
    candidate: {errorRate: 0.3},
    incumbentErrorRate: 0.01,
    onsetMs: HOUR_MS / 2,
    outcome: 'taken-back',
    withinMs: 60_000,
  },
  {
    title: 'a version with 1.5 times the latency',
    candidate: {medianMs: 150},
    incumbentErrorRate: 0,
    onsetMs: 0,
    outcome: 'taken-back',
  },
  {
    title: 'a version with the same error rate as the old one',
    candidate: {errorRate: 0.2},
    incumbentErrorRate: 0.2,
    onsetMs: 0,
    outcome: 'finished',
  },
  {
    title: 'a version while both versions fail from a common cause',
    candidate: {errorRate: 0.5},
    incumbentErrorRate: 0.5,
    onsetMs: HOUR_MS / 3,
    outcome: 'finished',
  },
];

describe('move controller', () => {
  for (const testCase of evaluationCases) {
    const {title, candidate, incumbentErrorRate, onsetMs} = testCase;
    const {outcome, withinMs} = testCase;
    it(`ends with phase ${outcome} for ${title}`, () => {
      // Guards against two errors: all traffic goes to a bad version, or a good
      // version is rolled back, which costs the operator another move.
      const {state, endElapsedMs} = runMove(({share}, elapsedMs) => {
        const isAfterOnset = elapsedMs >= onsetMs;
        const counts = requestCounts(
          share,
          isAfterOnset ? incumbentErrorRate : 0,
        );
        const errors = isAfterOnset
          ? (candidate.errorRate ?? 0) * counts.candidateRequests
          : 0;
        return evidenceOfWindow(
          {
            ...HEALTHY_STATS,
            ...(isAfterOnset ? candidate : {}),
            requests: counts.candidateRequests,
            errors,
          },
          {
            ...HEALTHY_STATS,
            requests: counts.incumbentRequests,
            errors: counts.incumbentErrors,
          },
        );
      });
      assert.equal(state?.phase, outcome, state?.why);
      assert.ok(endElapsedMs < HOUR_MS);
      if (outcome === 'taken-back') {
        const rollbackDelayMs = endElapsedMs - onsetMs;
        assert.ok(
          rollbackDelayMs <= (withinMs ?? HOUR_MS / 4),
          `${rollbackDelayMs}`,
        );
      }
    });
  }

  it('rolls back a candidate without evidence before the deadline', () => {
    // If the move finished, all requests would go to an untested version.
    const {state, endElapsedMs} = runMove(() => []);
    assert.equal(state?.phase, 'taken-back');
    assert.ok(endElapsedMs < HOUR_MS - 20_000);
  });

  it('limits the share of an unproven candidate to the maximum in the record', () => {
    // A first step above 2 % would exceed the limit that the operator has set.
    const record = {...move, maxUnprovenShare: 0.02};
    const shares: number[] = [];
    runMove(state => {
      shares.push(state.share);
      return [];
    }, record);
    assert.equal(Math.max(...shares), 0.02);
  });

  it('moves non-idempotent routes only after idempotent routes are soaking', () => {
    // A duplicated or lost order costs far more than a retried lookup, so
    // orders wait for the evidence from idempotent routes.
    const firstElapsedMs: Partial<Record<'share' | 'orderShare', number>> = {};
    const {state} = runMove((currentState, elapsedMs) => {
      const orders = evidenceOfWindow(
        {...HEALTHY_STATS, requests: Math.round(100 * currentState.orderShare)},
        {...HEALTHY_STATS, requests: 100},
        'order',
      ).map(sum => ({...sum, isOrder: true}));
      if (currentState.share >= 0.25) {
        firstElapsedMs.share ??= elapsedMs;
      }
      if (currentState.orderShare > 0) {
        firstElapsedMs.orderShare ??= elapsedMs;
      }
      const {candidateRequests: requests, incumbentRequests} = requestCounts(
        currentState.share,
        0,
      );
      return [
        ...evidenceOfWindow(
          {...HEALTHY_STATS, requests},
          {...HEALTHY_STATS, requests: incumbentRequests},
        ),
        ...orders,
      ];
    });
    assert.equal(state?.phase, 'finished', state?.why);
    assert.ok(
      (firstElapsedMs.orderShare ?? 0) >= (firstElapsedMs.share ?? Infinity),
    );
  });

  const cutCases: readonly {
    readonly title: string;
    readonly phase: MoveState['phase'];
    readonly elapsedMs: number;
    readonly expectedPhase: MoveState['phase'];
  }[] = [
    {
      title: 'a running move',
      phase: 'soaking',
      elapsedMs: 0,
      expectedPhase: 'taken-back',
    },
    {
      title: 'a finished move before its deadline',
      phase: 'finished',
      elapsedMs: HOUR_MS - 1,
      expectedPhase: 'taken-back',
    },
    {
      title: 'a finished move after its deadline',
      phase: 'finished',
      elapsedMs: HOUR_MS,
      expectedPhase: 'finished',
    },
  ];
  for (const {title, phase, elapsedMs, expectedPhase} of cutCases) {
    it(`sets ${title} to ${expectedPhase} when an entry has cut the candidate`, () => {
      // An entry has cut a failing candidate. If the move continued, the other
      // entries would keep sending requests to the candidate.
      const controller = createController();
      controller.reportCut(move.name, 'errors');
      const state = createState(phase);
      assert.equal(
        controller.advance(move, state, START_MS + elapsedMs).phase,
        expectedPhase,
      );
    });
  }

  it('never restarts a rolled-back move for the same version', () => {
    // The operator extends the deadline of a rolled-back move. Restarting it
    // would send requests to the bad version again.
    const extendedMove = {...move, deadline: move.deadline + HOUR_MS};
    const state = createState('taken-back');
    assert.equal(
      createController().advance(extendedMove, state, START_MS),
      state,
    );
  });

  it('restarts a rolled-back move when its record names another candidate', () => {
    // The operator puts a fixed version into the same record. The cut and the
    // evidence of the old candidate must not affect the new one.
    const controller = createController();
    controller.reportCut(move.name, 'errors');
    const nextState = controller.advance(
      {...move, to: 'v3'},
      createState('taken-back'),
      START_MS,
    );
    assert.equal(nextState.phase, 'proving');
    assert.equal(nextState.to, 'v3');
  });
});

function createState(phase: MoveState['phase']): MoveState {
  return {
    move: move.name,
    phase,
    share: phase === 'finished' ? 1 : 0.1,
    orderShare: 0,
    why: '',
    confidence: 0,
    changedAt: START_MS,
    startedAt: START_MS,
    from: 'v1',
    to: 'v2',
  };
}
