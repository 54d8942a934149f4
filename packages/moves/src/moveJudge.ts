/** The part of version moves that decides: steps, judging, deadline, taking back. */
import type {Clock, DecisionLog} from '@skylarkfield/base';
import type {Move} from '@skylarkfield/records';
import type {MoveJudge, MoveState} from './contracts.js';
import {createEvidenceWindow, type EvidenceWindow} from './evidence.js';
import {
  createFaultDetector,
  type FaultDetector,
  type Finding,
} from './faultDetector.js';
import {isFinal, nextPhase, type MoveEvent} from './moveMachine.js';
import {
  decisionTime,
  oddsNeeded,
  orderShareFor,
  progressOf,
  shareFor,
  SOAK_SHARE,
  type TrackOdds,
} from './plan.js';
import {createProof, type Proof} from './proof.js';

export interface MoveJudgeOptions {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/** Chance that a good version is ever taken back by the fault detector. */
const FALSE_ALARM_CHANCE = 0.002;

/** How often a window of evidence ends at most; also how the windows of a move are counted. */
const WINDOW_MS = 2000;

/** A proof is written down again when this much time passed since the last change. */
const PROOF_INTERVAL_MS = 60_000;

/** Log-odds at which a version is taken back as worse, without waiting for the decision time. */
const PROVEN_BAD_ODDS = 7;

/** What is kept of one move. */
interface Case {
  readonly from: string;
  readonly to: string;
  readonly startedAt: number;
  readonly window: EvidenceWindow;
  readonly detector: FaultDetector;
  readonly proof: Proof;
  finding: Finding | undefined;
  windowEndedAt: number;
  /** Shares that the pending window was drawn with. */
  shares: string;
}

function isCaseOf(known: Case, move: Move, state: MoveState): boolean {
  const startedAt = state.startedAt ?? known.startedAt;
  return (
    known.from === move.from &&
    known.to === move.to &&
    known.startedAt === startedAt
  );
}

function sharesOf({share, orderShare}: MoveState): string {
  return `${share}/${orderShare}`;
}

/** Changes of a state. */
type Change = Partial<Omit<MoveState, 'move'>> & {readonly why: string};

/**
 * Makes the judge of all moves. It may run on every entry, so that whoever
 * takes the duty over already has the evidence.
 *
 * @example
 * const judge = createMoveJudge({clock, decisions});
 * const next = judge.advance(move, state, clock.wall());
 */
export function createMoveJudge({decisions}: MoveJudgeOptions): MoveJudge {
  const cases = new Map<string, Case>();
  const cuts = new Map<string, string>();
  const lastStates = new Map<string, MoveState>();
  const noted = new Map<string, string>();

  function openCase(move: Move, state: MoveState, wallMs: number): Case {
    const known = cases.get(move.name);
    if (known !== undefined && isCaseOf(known, move, state)) {
      return known;
    }
    const startedAt = state.startedAt ?? wallMs;
    const windows = Math.ceil((move.deadline - startedAt) / WINDOW_MS);
    const opened: Case = {
      from: move.from,
      to: move.to,
      startedAt,
      window: createEvidenceWindow(move.from, move.to),
      detector: createFaultDetector({alpha: FALSE_ALARM_CHANCE, windows}),
      proof: createProof(state.proof ?? []),
      finding: undefined,
      windowEndedAt: wallMs,
      shares: sharesOf(state),
    };
    cases.set(move.name, opened);
    return opened;
  }

  function endWindow(current: Case, state: MoveState, wallMs: number) {
    if (current.shares !== sharesOf(state)) {
      current.shares = sharesOf(state);
      current.window.clear();
    }
    if (wallMs - current.windowEndedAt < WINDOW_MS) {
      return;
    }
    current.windowEndedAt = wallMs;
    const cells = current.window.takeComparable();
    current.finding ??= current.detector.add(cells);
    current.proof.add(cells);
  }

  function change(
    state: MoveState,
    wallMs: number,
    changes: Change,
  ): MoveState {
    const next = {...state, ...changes, changedAt: wallMs};
    const note = `${next.phase} ${next.share} ${next.orderShare} ${next.why}`;
    // While the platform is down the same step is tried again and again; once is enough in the log.
    if (noted.get(state.move) === note) {
      return next;
    }
    noted.set(state.move, note);
    decisions.note('moves', state.move, next.phase, next.why, {
      share: next.share,
      orderShare: next.orderShare,
      confidence: next.confidence,
    });
    return next;
  }

  function send(
    state: MoveState,
    event: MoveEvent,
    wallMs: number,
    changes: Change,
  ): MoveState {
    const phase = nextPhase(state.phase, event);
    if (phase === state.phase) {
      return state;
    }
    return change(state, wallMs, {...changes, phase});
  }

  function takeBack(state: MoveState, why: string, wallMs: number): MoveState {
    return send(state, 'takeBack', wallMs, {share: 0, orderShare: 0, why});
  }

  function trackOdds(proof: Proof, isOrder: boolean): TrackOdds {
    return {
      gross: proof.logOdds('gross', isOrder),
      full: proof.logOdds('full', isOrder),
    };
  }

  /** Odds of the whole; a track that had no request at all is left out. */
  function overallOdds(proof: Proof): number {
    const odds = [false, true]
      .filter(isOrder => proof.hasTraffic(isOrder))
      .map(isOrder => proof.logOdds('full', isOrder));
    return odds.length === 0 ? -Infinity : Math.min(...odds);
  }

  /** Likelihood ratios that favour a bad version this much do so by chance less than once in e^7. */
  function isProvenBad(proof: Proof): boolean {
    return [false, true].some(
      isOrder =>
        proof.hasTraffic(isOrder) &&
        proof.logOdds('steady', isOrder) < -PROVEN_BAD_ODDS,
    );
  }

  function decide(move: Move, state: MoveState, wallMs: number): MoveState {
    const current = openCase(move, state, wallMs);
    endWindow(current, state, wallMs);
    if (current.finding !== undefined) {
      return takeBack(state, current.finding.why, wallMs);
    }
    if (isProvenBad(current.proof)) {
      return takeBack(state, current.proof.worst(), wallMs);
    }
    const progress = progressOf(move, current.startedAt, wallMs);
    const odds = overallOdds(current.proof);
    const confidence = round(1 / (1 + Math.exp(-odds)));
    if (progress >= 1) {
      return conclude(state, odds, confidence, wallMs);
    }
    return step(move, {...state, confidence}, current, progress, wallMs);
  }

  function conclude(
    state: MoveState,
    odds: number,
    confidence: number,
    wallMs: number,
  ): MoveState {
    const percent = Math.round(confidence * 100);
    if (state.phase !== 'soaking' || odds < oddsNeeded(1)) {
      const why = `not proven good before the deadline (${percent} % sure)`;
      return takeBack({...state, confidence}, why, wallMs);
    }
    return send({...state, confidence}, 'finish', wallMs, {
      share: 1,
      orderShare: 1,
      why: `proven good (${percent} % sure)`,
    });
  }

  function step(
    move: Move,
    state: MoveState,
    {proof}: Case,
    progress: number,
    wallMs: number,
  ): MoveState {
    const hasTraffic = proof.hasTraffic(false) || !proof.hasTraffic(true);
    const share = shareFor(move, progress, trackOdds(proof, false));
    const orderShare = orderShareFor(
      move,
      progress,
      {share, hasTraffic},
      trackOdds(proof, true),
    );
    const isProven = Math.max(share, orderShare) >= SOAK_SHARE;
    if (share === state.share && orderShare === state.orderShare) {
      return withProof(state, proof, wallMs);
    }
    const why = isProven
      ? 'no gross fault; soaking with the old version kept ready'
      : 'gathering evidence with a small share';
    return change(state, wallMs, {
      phase: nextPhase(state.phase, isProven ? 'prove' : 'doubt'),
      share,
      orderShare,
      why,
      proof: proof.routes(),
    });
  }

  function withProof(
    state: MoveState,
    proof: Proof,
    wallMs: number,
  ): MoveState {
    const last = lastStates.get(state.move);
    const isDue = wallMs - (last?.changedAt ?? 0) >= PROOF_INTERVAL_MS;
    return isDue ? {...state, proof: proof.routes(), changedAt: wallMs} : state;
  }

  /** The state to go on from: a new one when there is none or the move is another now. */
  function baseState(
    move: Move,
    state: MoveState | undefined,
    wallMs: number,
  ): MoveState {
    const isSame =
      state !== undefined &&
      (state.to ?? move.to) === move.to &&
      (state.from ?? move.from) === move.from;
    if (isSame && state.phase !== 'withdrawn') {
      return state;
    }
    cases.delete(move.name);
    cuts.delete(move.name);
    return {
      move: move.name,
      phase: 'waiting',
      share: 0,
      orderShare: 0,
      why: 'not started yet',
      confidence: 0,
      changedAt: wallMs,
      from: move.from,
      to: move.to,
    };
  }

  function advance(
    move: Move,
    given: MoveState | undefined,
    wallMs: number,
  ): MoveState {
    const state = baseState(move, given, wallMs);
    const cut = cuts.get(move.name);
    if (
      cut !== undefined &&
      (state.phase !== 'finished' || wallMs < move.deadline)
    ) {
      return takeBack(state, cut, wallMs);
    }
    if (isFinal(state.phase)) {
      return state;
    }
    if (wallMs >= move.deadline) {
      return takeBack(state, 'not proven good by the deadline', wallMs);
    }
    if (state.phase !== 'waiting') {
      return decide(move, state, wallMs);
    }
    if (wallMs >= decisionTime(move, wallMs)) {
      return takeBack(state, 'too little time before the deadline', wallMs);
    }
    return send(state, 'start', wallMs, {
      share: shareFor(move, 0, {gross: -Infinity, full: -Infinity}),
      startedAt: wallMs,
      why: 'started with a small share',
    });
  }

  return {
    addEvidence(move, sums) {
      cases.get(move)?.window.add(sums);
    },
    reportCut(move, why) {
      if (!cuts.has(move)) {
        cuts.set(move, why);
      }
    },
    advance(move, state, wallMs) {
      const next = advance(move, state, wallMs);
      lastStates.set(move.name, next);
      return next;
    },
    follow(move, state, wallMs) {
      if (isFinal(state.phase) || state.startedAt === undefined) {
        return;
      }
      endWindow(openCase(move, state, wallMs), state, wallMs);
    },
    keepOnly(names) {
      const kept = new Set(names);
      for (const map of [cases, cuts, lastStates, noted]) {
        for (const name of map.keys()) {
          if (!kept.has(name)) {
            map.delete(name);
          }
        }
      }
    },
    dump: () =>
      [...cases].map(([name, {detector, proof, finding}]) => ({
        move: name,
        phase: lastStates.get(name)?.phase,
        faultEvidence: detector.logValue(),
        finding: finding?.why,
        proof: proof.routes(),
      })),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
