/**
 * Decides the state of version moves: share steps, fault detection, deadline
 * and rollback.
 */
import type {Clock, DecisionLog} from '@skylarkfield/base';
import type {Move} from '@skylarkfield/records';
import type {MoveController, MoveState} from './contracts.js';
import {createEvidenceWindow, type EvidenceWindow} from './evidence.js';
import {
  createFaultDetector,
  type FaultDetector,
  type DetectedFault,
} from './faultDetector.js';
import {isFinal, nextPhase, type MoveEvent} from './moveMachine.js';
import {
  decisionTime,
  requiredLogOdds,
  orderShareFor,
  progressOf,
  shareFor,
  SOAK_SHARE,
  type RouteClassLogOdds,
} from './shareSchedule.js';
import {
  createNonInferiorityTest,
  type NonInferiorityTest,
} from './nonInferiorityTest.js';

export interface MoveControllerOptions {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/** Probability that the fault detector ever rolls back a good version. */
const FALSE_ALARM_PROBABILITY = 0.002;

/** Lower bound of a window's length; determines a move's window count. */
const WINDOW_MS = 2000;

/** Interval at which the evidence is stored while shares are unchanged. */
const PROOF_WRITE_INTERVAL_MS = 60_000;

/** Log-odds against a version that roll it back before the decision time. */
const REJECTION_LOG_ODDS = 7;

/** Evidence of one move and the state of its tests. */
interface MoveAnalysis {
  readonly from: string;
  readonly to: string;
  readonly startedAt: number;
  readonly window: EvidenceWindow;
  readonly detector: FaultDetector;
  readonly nonInferiorityTest: NonInferiorityTest;
  finding: DetectedFault | undefined;
  windowEndedAt: number;
  /** Shares in effect while the pending window was collected. */
  windowShares: string;
}

function isAnalysisOf(
  analysis: MoveAnalysis,
  move: Move,
  state: MoveState,
): boolean {
  const startedAt = state.startedAt ?? analysis.startedAt;
  return (
    analysis.from === move.from &&
    analysis.to === move.to &&
    analysis.startedAt === startedAt
  );
}

function sharesKey({share, orderShare}: MoveState): string {
  return `${share}/${orderShare}`;
}

/** Fields of a state to change, with the reason. */
type StateChange = Partial<Omit<MoveState, 'move'>> & {readonly why: string};

/**
 * Creates the controller of all moves. It runs on every entry, so a new holder
 * of the duty already has the evidence.
 *
 * @example
 * const controller = createMoveController({clock, decisions});
 * const next = controller.advance(move, state, clock.wall());
 */
export function createMoveController({
  decisions,
}: MoveControllerOptions): MoveController {
  const analyses = new Map<string, MoveAnalysis>();
  const cutReasons = new Map<string, string>();
  const lastStates = new Map<string, MoveState>();
  const lastNotes = new Map<string, string>();

  function analysisFor(
    move: Move,
    state: MoveState,
    wallMs: number,
  ): MoveAnalysis {
    const existing = analyses.get(move.name);
    if (existing !== undefined && isAnalysisOf(existing, move, state)) {
      return existing;
    }
    const startedAt = state.startedAt ?? wallMs;
    const windowCount = Math.ceil((move.deadline - startedAt) / WINDOW_MS);
    const created: MoveAnalysis = {
      from: move.from,
      to: move.to,
      startedAt,
      window: createEvidenceWindow(move.from, move.to),
      detector: createFaultDetector({
        alpha: FALSE_ALARM_PROBABILITY,
        windowCount,
      }),
      nonInferiorityTest: createNonInferiorityTest(state.proof ?? []),
      finding: undefined,
      windowEndedAt: wallMs,
      windowShares: sharesKey(state),
    };
    analyses.set(move.name, created);
    return created;
  }

  function endWindow(analysis: MoveAnalysis, state: MoveState, wallMs: number) {
    if (analysis.windowShares !== sharesKey(state)) {
      analysis.windowShares = sharesKey(state);
      analysis.window.clear();
    }
    if (wallMs - analysis.windowEndedAt < WINDOW_MS) {
      return;
    }
    analysis.windowEndedAt = wallMs;
    const strata = analysis.window.takeComparable();
    analysis.finding ??= analysis.detector.add(strata);
    analysis.nonInferiorityTest.add(strata);
  }

  function applyChange(
    state: MoveState,
    wallMs: number,
    changes: StateChange,
  ): MoveState {
    const next = {...state, ...changes, changedAt: wallMs};
    const note = `${next.phase} ${next.share} ${next.orderShare} ${next.why}`;
    // Logged once, though retried while the platform is unavailable.
    if (lastNotes.get(state.move) === note) {
      return next;
    }
    lastNotes.set(state.move, note);
    decisions.note('moves', state.move, next.phase, next.why, {
      share: next.share,
      orderShare: next.orderShare,
      confidence: next.confidence,
    });
    return next;
  }

  function applyEvent(
    state: MoveState,
    event: MoveEvent,
    wallMs: number,
    changes: StateChange,
  ): MoveState {
    const phase = nextPhase(state.phase, event);
    if (phase === state.phase) {
      return state;
    }
    return applyChange(state, wallMs, {...changes, phase});
  }

  function rollBack(state: MoveState, why: string, wallMs: number): MoveState {
    return applyEvent(state, 'rollBack', wallMs, {
      share: 0,
      orderShare: 0,
      why,
    });
  }

  function routeClassLogOdds(
    nonInferiorityTest: NonInferiorityTest,
    isOrder: boolean,
  ): RouteClassLogOdds {
    return {
      gross: nonInferiorityTest.logOdds('gross', isOrder),
      full: nonInferiorityTest.logOdds('full', isOrder),
    };
  }

  /** Returns the lower log-odds of the route classes that have traffic. */
  function overallLogOdds(nonInferiorityTest: NonInferiorityTest): number {
    const logOdds = [false, true]
      .filter(isOrder => nonInferiorityTest.hasTraffic(isOrder))
      .map(isOrder => nonInferiorityTest.logOdds('full', isOrder));
    return logOdds.length === 0 ? -Infinity : Math.min(...logOdds);
  }

  /** A good version is rejected with a probability below e^-7. */
  function isRejected(nonInferiorityTest: NonInferiorityTest): boolean {
    return [false, true].some(
      isOrder =>
        nonInferiorityTest.hasTraffic(isOrder) &&
        nonInferiorityTest.logOdds('steady', isOrder) < -REJECTION_LOG_ODDS,
    );
  }

  function evaluate(move: Move, state: MoveState, wallMs: number): MoveState {
    const analysis = analysisFor(move, state, wallMs);
    endWindow(analysis, state, wallMs);
    if (analysis.finding !== undefined) {
      return rollBack(state, analysis.finding.why, wallMs);
    }
    if (isRejected(analysis.nonInferiorityTest)) {
      return rollBack(
        state,
        analysis.nonInferiorityTest.worstRouteReason(),
        wallMs,
      );
    }
    const progress = progressOf(move, analysis.startedAt, wallMs);
    const logOdds = overallLogOdds(analysis.nonInferiorityTest);
    const confidence = round(1 / (1 + Math.exp(-logOdds)));
    if (progress >= 1) {
      return conclude(state, logOdds, confidence, wallMs);
    }
    return adjustShares(
      move,
      {...state, confidence},
      analysis,
      progress,
      wallMs,
    );
  }

  function conclude(
    state: MoveState,
    logOdds: number,
    confidence: number,
    wallMs: number,
  ): MoveState {
    const percent = Math.round(confidence * 100);
    if (state.phase !== 'soaking' || logOdds < requiredLogOdds(1)) {
      const why = `insufficient evidence before the deadline (${percent} % confidence)`;
      return rollBack({...state, confidence}, why, wallMs);
    }
    return applyEvent({...state, confidence}, 'finish', wallMs, {
      share: 1,
      orderShare: 1,
      why: `no regression found (${percent} % confidence)`,
    });
  }

  function adjustShares(
    move: Move,
    state: MoveState,
    {nonInferiorityTest}: MoveAnalysis,
    progress: number,
    wallMs: number,
  ): MoveState {
    const hasTraffic =
      nonInferiorityTest.hasTraffic(false) ||
      !nonInferiorityTest.hasTraffic(true);
    const share = shareFor(
      move,
      progress,
      routeClassLogOdds(nonInferiorityTest, false),
    );
    const orderShare = orderShareFor(
      move,
      progress,
      {share, hasTraffic},
      routeClassLogOdds(nonInferiorityTest, true),
    );
    const isSoaking = Math.max(share, orderShare) >= SOAK_SHARE;
    if (share === state.share && orderShare === state.orderShare) {
      return withProofWhenDue(state, nonInferiorityTest, wallMs);
    }
    const why = isSoaking
      ? 'no gross fault found; soaking while the old version stays available'
      : 'collecting evidence at a small traffic share';
    return applyChange(state, wallMs, {
      phase: nextPhase(state.phase, isSoaking ? 'startSoak' : 'endSoak'),
      share,
      orderShare,
      why,
      proof: nonInferiorityTest.routes(),
    });
  }

  function withProofWhenDue(
    state: MoveState,
    nonInferiorityTest: NonInferiorityTest,
    wallMs: number,
  ): MoveState {
    const last = lastStates.get(state.move);
    const isDue = wallMs - (last?.changedAt ?? 0) >= PROOF_WRITE_INTERVAL_MS;
    return isDue
      ? {...state, proof: nonInferiorityTest.routes(), changedAt: wallMs}
      : state;
  }

  /** Returns the state; a new one if withdrawn or if the versions changed. */
  function resumeOrReset(
    move: Move,
    state: MoveState | undefined,
    wallMs: number,
  ): MoveState {
    const isSameMove =
      state !== undefined &&
      (state.to ?? move.to) === move.to &&
      (state.from ?? move.from) === move.from;
    if (isSameMove && state.phase !== 'withdrawn') {
      return state;
    }
    analyses.delete(move.name);
    cutReasons.delete(move.name);
    return {
      move: move.name,
      phase: 'waiting',
      share: 0,
      orderShare: 0,
      why: 'not started',
      confidence: 0,
      changedAt: wallMs,
      from: move.from,
      to: move.to,
    };
  }

  function advance(
    move: Move,
    stored: MoveState | undefined,
    wallMs: number,
  ): MoveState {
    const state = resumeOrReset(move, stored, wallMs);
    const cutReason = cutReasons.get(move.name);
    if (
      cutReason !== undefined &&
      (state.phase !== 'finished' || wallMs < move.deadline)
    ) {
      return rollBack(state, cutReason, wallMs);
    }
    if (isFinal(state.phase)) {
      return state;
    }
    if (wallMs >= move.deadline) {
      return rollBack(state, 'insufficient evidence at the deadline', wallMs);
    }
    if (state.phase !== 'waiting') {
      return evaluate(move, state, wallMs);
    }
    if (wallMs >= decisionTime(move, wallMs)) {
      return rollBack(state, 'too little time before the deadline', wallMs);
    }
    return applyEvent(state, 'start', wallMs, {
      share: shareFor(move, 0, {gross: -Infinity, full: -Infinity}),
      startedAt: wallMs,
      why: 'started with a small traffic share',
    });
  }

  return {
    addEvidence(move, sums) {
      analyses.get(move)?.window.add(sums);
    },
    reportCut(move, why) {
      if (!cutReasons.has(move)) {
        cutReasons.set(move, why);
      }
    },
    advance(move, state, wallMs) {
      const next = advance(move, state, wallMs);
      lastStates.set(move.name, next);
      return next;
    },
    track(move, state, wallMs) {
      if (isFinal(state.phase) || state.startedAt === undefined) {
        return;
      }
      endWindow(analysisFor(move, state, wallMs), state, wallMs);
    },
    retainMoves(names) {
      const retained = new Set(names);
      for (const map of [analyses, cutReasons, lastStates, lastNotes]) {
        for (const name of map.keys()) {
          if (!retained.has(name)) {
            map.delete(name);
          }
        }
      }
    },
    dump: () =>
      [...analyses].map(([name, {detector, nonInferiorityTest, finding}]) => ({
        move: name,
        phase: lastStates.get(name)?.phase,
        faultEvidence: detector.logValue(),
        finding: finding?.why,
        proof: nonInferiorityTest.routes(),
      })),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
