import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {decisionLog, silentLogger, virtualClock} from '@skylarkfield/base';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Move} from '@skylarkfield/records';
import {createMoveJudge, type MoveState} from '../index.js';
import {HOUR_MS, move, START_MS, window} from './fakes.js';

const good = {errors: 0, medianMs: 100};
const STEP_MS = 5000;

function judgeWith() {
  const clock = virtualClock();
  const decisions = decisionLog(clock, silentLogger());
  return createMoveJudge({clock, decisions});
}

/** Runs a move with the same evidence in each step until it ends. */
function runMove(
  evidence: (state: MoveState, passedMs: number) => EvidenceSum[],
  record: Move = move,
) {
  const judge = judgeWith();
  let state: MoveState | undefined;
  let endedMs = 0;
  for (let passedMs = 0; passedMs <= HOUR_MS; passedMs += STEP_MS) {
    state = judge.advance(record, state, START_MS + passedMs);
    if (state.phase === 'finished' || state.phase === 'taken-back') {
      endedMs = passedMs;
      break;
    }
    judge.addEvidence(record.name, evidence(state, passedMs));
  }
  return {state, endedMs};
}

/** A hundred requests a step, by the state's share, with the incumbent failing at the given rate. */
function split(share: number, errorRate: number) {
  const requests = Math.max(1, Math.round(100 * share));
  const incumbents = Math.max(4, 100 - requests);
  return {requests, incumbents, errors: Math.round(incumbents * errorRate)};
}

const faults: readonly {
  readonly title: string;
  readonly candidate: Partial<typeof good & {rate: number}>;
  readonly incumbentErrorRate: number;
  readonly fromMs: number;
  readonly outcome: 'finished' | 'taken-back';
  /** The longest that a fault may last until the version is taken back. */
  readonly withinMs?: number;
}[] = [
  {
    title: 'a version that is as good as the old one',
    candidate: {},
    incumbentErrorRate: 0,
    fromMs: 0,
    outcome: 'finished',
  },
  {
    title: 'a version that fails every request',
    candidate: {rate: 1},
    incumbentErrorRate: 0.01,
    fromMs: 0,
    outcome: 'taken-back',
    withinMs: 60_000,
  },
  {
    title: 'a version that fails from the middle of the soak on',
    candidate: {rate: 0.3},
    incumbentErrorRate: 0.01,
    fromMs: HOUR_MS / 2,
    outcome: 'taken-back',
    withinMs: 60_000,
  },
  {
    title: 'a version that is half as slow again',
    candidate: {medianMs: 150},
    incumbentErrorRate: 0,
    fromMs: 0,
    outcome: 'taken-back',
  },
  {
    title: 'a version beside an old one that is as ill',
    candidate: {rate: 0.2},
    incumbentErrorRate: 0.2,
    fromMs: 0,
    outcome: 'finished',
  },
  {
    title: 'a version while both fail because of something else',
    candidate: {rate: 0.5},
    incumbentErrorRate: 0.5,
    fromMs: HOUR_MS / 3,
    outcome: 'finished',
  },
];

describe('move judge', () => {
  for (const fault of faults) {
    const {title, candidate, incumbentErrorRate, fromMs} = fault;
    const {outcome, withinMs} = fault;
    it(`ends ${outcome} for ${title}`, () => {
      // The candidate's requests go as the table says. Callers would meet a bad
      // version's failures for good if it were let in, and a good version that
      // is taken back costs the operator another move.
      const {state, endedMs} = runMove(({share}, passedMs) => {
        const isOn = passedMs >= fromMs;
        const counts = split(share, isOn ? incumbentErrorRate : 0);
        const errors = isOn ? (candidate.rate ?? 0) * counts.requests : 0;
        return window(
          {
            ...good,
            ...(isOn ? candidate : {}),
            requests: counts.requests,
            errors,
          },
          {...good, requests: counts.incumbents, errors: counts.errors},
        );
      });
      assert.equal(state?.phase, outcome, state?.why);
      assert.ok(endedMs < HOUR_MS);
      if (outcome === 'taken-back') {
        const lastedMs = endedMs - fromMs;
        assert.ok(lastedMs <= (withinMs ?? HOUR_MS / 4), `${lastedMs}`);
      }
    });
  }

  it('takes back what nothing has proven, before the deadline', () => {
    // No request ever reached the candidate. Letting it in would hand all
    // callers to a version that nobody has seen working.
    const {state, endedMs} = runMove(() => []);
    assert.equal(state?.phase, 'taken-back');
    assert.ok(endedMs < HOUR_MS - 20_000);
  });

  it('keeps an unproven candidate within the record and below a tenth', () => {
    // The operator allows 2 %. A larger first step would show an unproven
    // version to more callers than the operator agreed to.
    const record = {...move, maxUnprovenShare: 0.02};
    const shares: number[] = [];
    runMove(state => {
      shares.push(state.share);
      return [];
    }, record);
    assert.equal(Math.max(...shares), 0.02);
  });

  it('moves idempotent routes first and orders last', () => {
    // A doubled or lost order costs far more than a lookup that is tried again,
    // so orders wait until the other routes have shown the version to be sound.
    const first: Partial<Record<'share' | 'orderShare', number>> = {};
    const {state} = runMove((now, passedMs) => {
      const orders = window(
        {...good, requests: Math.round(100 * now.orderShare)},
        {...good, requests: 100},
        'order',
      ).map(sum => ({...sum, isOrder: true}));
      if (now.share >= 0.25) {
        first.share ??= passedMs;
      }
      if (now.orderShare > 0) {
        first.orderShare ??= passedMs;
      }
      const {requests, incumbents} = split(now.share, 0);
      return [
        ...window({...good, requests}, {...good, requests: incumbents}),
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
    it(`turns ${title} to ${expected} when an entry has cut it`, () => {
      // An entry saw the candidate fail and cut it. Were the move to go on, the
      // other entries would go on sending callers to the bad version.
      const judge = judgeWith();
      judge.reportCut(move.name, 'errors');
      const state = stateOf(phase);
      assert.equal(judge.advance(move, state, START_MS + atMs).phase, expected);
    });
  }

  it('never gives a version that was taken back another try by the same move', () => {
    // The operator moves the deadline of a move that was taken back. The version
    // is as bad as before, and callers would meet it again.
    const later = {...move, deadline: move.deadline + HOUR_MS};
    const state = stateOf('taken-back');
    assert.equal(judgeWith().advance(later, state, START_MS), state);
  });

  it('starts anew when the operator names another candidate', () => {
    // The operator mends the version and writes it into the same record. What
    // was held against the old candidate says nothing about the new one.
    const judge = judgeWith();
    judge.reportCut(move.name, 'errors');
    const next = judge.advance(
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
