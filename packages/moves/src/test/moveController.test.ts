import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {decisionLog, silentLogger, virtualClock} from '@skylarkfield/base';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Move} from '@skylarkfield/records';
import {createMoveController, type MoveState} from '../index.js';
import {HOUR_MS, move, START_MS, evidenceOfWindow} from './fakes.js';

const healthy = {errors: 0, medianMs: 100};
const STEP_MS = 5000;

function createController() {
  const clock = virtualClock();
  const decisions = decisionLog(clock, silentLogger());
  return createMoveController({clock, decisions});
}

/** Runs a move until it ends, adding the given evidence at each step. */
function runMove(
  evidence: (state: MoveState, elapsedMs: number) => EvidenceSum[],
  record: Move = move,
) {
  const controller = createController();
  let state: MoveState | undefined;
  let endedMs = 0;
  for (let elapsedMs = 0; elapsedMs <= HOUR_MS; elapsedMs += STEP_MS) {
    state = controller.advance(record, state, START_MS + elapsedMs);
    if (state.phase === 'finished' || state.phase === 'taken-back') {
      endedMs = elapsedMs;
      break;
    }
    controller.addEvidence(record.name, evidence(state, elapsedMs));
  }
  return {state, endedMs};
}

/** Splits 100 requests by share; the incumbent fails at the given rate. */
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
  readonly candidate: Partial<typeof healthy & {errorRate: number}>;
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
    title: 'a version with the same errors as the old one',
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
    it(`ends ${outcome} for ${title}`, () => {
      // Guards against both errors: a bad version that gets all traffic, and a
      // rollback of a good version, which costs the operator another move.
      const {state, endedMs} = runMove(({share}, elapsedMs) => {
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
            ...healthy,
            ...(isAfterOnset ? candidate : {}),
            requests: counts.candidateRequests,
            errors,
          },
          {
            ...healthy,
            requests: counts.incumbentRequests,
            errors: counts.incumbentErrors,
          },
        );
      });
      assert.equal(state?.phase, outcome, state?.why);
      assert.ok(endedMs < HOUR_MS);
      if (outcome === 'taken-back') {
        const lastedMs = endedMs - onsetMs;
        assert.ok(lastedMs <= (withinMs ?? HOUR_MS / 4), `${lastedMs}`);
      }
    });
  }

  it('rolls back a candidate without evidence before the deadline', () => {
    // Finishing the move would send all requests to an untested version.
    const {state, endedMs} = runMove(() => []);
    assert.equal(state?.phase, 'taken-back');
    assert.ok(endedMs < HOUR_MS - 20_000);
  });

  it('limits the share of an unproven candidate to the maximum in the record', () => {
    // A larger first step than 2 % would exceed the operator's limit.
    const record = {...move, maxUnprovenShare: 0.02};
    const shares: number[] = [];
    runMove(state => {
      shares.push(state.share);
      return [];
    }, record);
    assert.equal(Math.max(...shares), 0.02);
  });

  it('moves non-idempotent routes after idempotent ones', () => {
    // A duplicated or lost order costs far more than a retried lookup, so
    // orders wait for the evidence from idempotent routes.
    const first: Partial<Record<'share' | 'orderShare', number>> = {};
    const {state} = runMove((currentState, elapsedMs) => {
      const orders = evidenceOfWindow(
        {...healthy, requests: Math.round(100 * currentState.orderShare)},
        {...healthy, requests: 100},
        'order',
      ).map(sum => ({...sum, isOrder: true}));
      if (currentState.share >= 0.25) {
        first.share ??= elapsedMs;
      }
      if (currentState.orderShare > 0) {
        first.orderShare ??= elapsedMs;
      }
      const {candidateRequests: requests, incumbentRequests: incumbents} =
        requestCounts(currentState.share, 0);
      return [
        ...evidenceOfWindow(
          {...healthy, requests},
          {...healthy, requests: incumbents},
        ),
        ...orders,
      ];
    });
    assert.equal(state?.phase, 'finished', state?.why);
    assert.ok((first.orderShare ?? 0) >= (first.share ?? Infinity));
  });

  const cutCases: readonly {
    readonly title: string;
    readonly phase: MoveState['phase'];
    readonly atMs: number;
    readonly expected: MoveState['phase'];
  }[] = [
    {
      title: 'a running move',
      phase: 'soaking',
      atMs: 0,
      expected: 'taken-back',
    },
    {
      title: 'a finished move before its deadline',
      phase: 'finished',
      atMs: HOUR_MS - 1,
      expected: 'taken-back',
    },
    {
      title: 'a finished move after its deadline',
      phase: 'finished',
      atMs: HOUR_MS,
      expected: 'finished',
    },
  ];
  for (const {title, phase, atMs, expected} of cutCases) {
    it(`sets ${title} to ${expected} when an entry has cut it`, () => {
      // An entry has cut a failing candidate. If the move continued, the other
      // entries would keep sending requests to it.
      const controller = createController();
      controller.reportCut(move.name, 'errors');
      const state = stateOf(phase);
      assert.equal(
        controller.advance(move, state, START_MS + atMs).phase,
        expected,
      );
    });
  }

  it('never restarts a rolled-back move for the same version', () => {
    // The operator extends the deadline of a rolled-back move. Restarting it
    // would send requests to the bad version again.
    const later = {...move, deadline: move.deadline + HOUR_MS};
    const state = stateOf('taken-back');
    assert.equal(createController().advance(later, state, START_MS), state);
  });

  it('restarts when the operator names another candidate', () => {
    // The operator puts a fixed version into the same record. The cut and the
    // evidence of the old candidate must not affect the new one.
    const controller = createController();
    controller.reportCut(move.name, 'errors');
    const next = controller.advance(
      {...move, to: 'v3'},
      stateOf('taken-back'),
      START_MS,
    );
    assert.equal(next.phase, 'proving');
    assert.equal(next.to, 'v3');
  });
});

function stateOf(phase: MoveState['phase']): MoveState {
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
