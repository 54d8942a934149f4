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

/** Minimum length of a window; determines the window count of a move. */
const WINDOW_MS = 2000;

/** Interval at which the evidence is stored while the shares are unchanged. */
const PROOF_WRITE_INTERVAL_MS = 60_000;

/** Log-odds of a bad version from which a move is rolled back early. */
const REJECTION_LOG_ODDS = 7;

/** Evidence of one move and the state of its tests. */
interface MoveAnalysis {
  readonly incumbentVersion: string;
  readonly candidateVersion: string;
  readonly startedAt: number;
  readonly window: EvidenceWindow;
  readonly detector: FaultDetector;
  readonly nonInferiorityTest: NonInferiorityTest;
  detectedFault: DetectedFault | undefined;
  windowStartedAt: number;
  /** Traffic shares in effect in the current window, as text. */
  windowShares: string;
}

function isAnalysisOf(
  analysis: MoveAnalysis,
  move: Move,
  state: MoveState,
): boolean {
  const startedAt = state.startedAt ?? analysis.startedAt;
  return (
    analysis.incumbentVersion === move.from &&
    analysis.candidateVersion === move.to &&
    analysis.startedAt === startedAt
  );
}

function sharesKey({share, orderShare}: MoveState): string {
  return `${share}/${orderShare}`;
}

/** Fields of a state to change, with the reason for the change. */
type StateChange = Partial<Omit<MoveState, 'move'>> & {readonly why: string};

/**
 * Creates the controller of all moves. The controller runs on every entry, so a
 * new holder of the duty already has the evidence.
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
  const lastDecisionTexts = new Map<string, string>();

  function getOrCreateAnalysis(
    move: Move,
    state: MoveState,
    wallMs: number,
  ): MoveAnalysis {
    const existingAnalysis = analyses.get(move.name);
    if (
      existingAnalysis !== undefined &&
      isAnalysisOf(existingAnalysis, move, state)
    ) {
      return existingAnalysis;
    }
    const startedAt = state.startedAt ?? wallMs;
    const windowCount = Math.ceil((move.deadline - startedAt) / WINDOW_MS);
    const newAnalysis: MoveAnalysis = {
      incumbentVersion: move.from,
      candidateVersion: move.to,
      startedAt,
      window: createEvidenceWindow(move.from, move.to),
      detector: createFaultDetector({
        alpha: FALSE_ALARM_PROBABILITY,
        windowCount,
      }),
      nonInferiorityTest: createNonInferiorityTest(state.proof ?? []),
      detectedFault: undefined,
      windowStartedAt: wallMs,
      windowShares: sharesKey(state),
    };
    analyses.set(move.name, newAnalysis);
    return newAnalysis;
  }

  function endWindowWhenDue(
    analysis: MoveAnalysis,
    state: MoveState,
    wallMs: number,
  ) {
    if (analysis.windowShares !== sharesKey(state)) {
      analysis.windowShares = sharesKey(state);
      analysis.window.clear();
    }
    if (wallMs - analysis.windowStartedAt < WINDOW_MS) {
      return;
    }
    analysis.windowStartedAt = wallMs;
    const strata = analysis.window.takeComparableStrata();
    analysis.detectedFault ??= analysis.detector.add(strata);
    analysis.nonInferiorityTest.add(strata);
  }

  function applyChange(
    state: MoveState,
    wallMs: number,
    changes: StateChange,
  ): MoveState {
    const nextState = {...state, ...changes, changedAt: wallMs};
    const decisionText = `${nextState.phase} ${nextState.share} ${nextState.orderShare} ${nextState.why}`;
    // The change is logged once, although it is retried while the platform is
    // unavailable.
    if (lastDecisionTexts.get(state.move) === decisionText) {
      return nextState;
    }
    lastDecisionTexts.set(state.move, decisionText);
    decisions.recordDecision(
      'moves',
      state.move,
      nextState.phase,
      nextState.why,
      {
        share: nextState.share,
        orderShare: nextState.orderShare,
        confidence: nextState.confidence,
      },
    );
    return nextState;
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

  /**
   * Returns the log-odds that the candidate is good on the idempotent or on the
   * non-idempotent routes, whichever is lower. Ignores a class of routes
   * without traffic; returns minus infinity if neither class has traffic.
   */
  function overallLogOdds(nonInferiorityTest: NonInferiorityTest): number {
    const logOdds = [false, true]
      .filter(isOrder => nonInferiorityTest.hasTraffic(isOrder))
      .map(isOrder => nonInferiorityTest.logOdds('full', isOrder));
    return logOdds.length === 0 ? -Infinity : Math.min(...logOdds);
  }

  /**
   * Returns whether the evidence against the candidate suffices for a rollback.
   * A good version is rejected with a probability below e^-7.
   */
  function isRejected(nonInferiorityTest: NonInferiorityTest): boolean {
    return [false, true].some(
      isOrder =>
        nonInferiorityTest.hasTraffic(isOrder) &&
        nonInferiorityTest.logOdds('steady', isOrder) < -REJECTION_LOG_ODDS,
    );
  }

  function evaluate(move: Move, state: MoveState, wallMs: number): MoveState {
    const analysis = getOrCreateAnalysis(move, state, wallMs);
    endWindowWhenDue(analysis, state, wallMs);
    if (analysis.detectedFault !== undefined) {
      return rollBack(state, analysis.detectedFault.why, wallMs);
    }
    if (isRejected(analysis.nonInferiorityTest)) {
      return rollBack(
        state,
        analysis.nonInferiorityTest.describeWorstRoute(),
        wallMs,
      );
    }
    const progress = progressOf(move, analysis.startedAt, wallMs);
    const logOdds = overallLogOdds(analysis.nonInferiorityTest);
    const confidence = roundToThousandths(1 / (1 + Math.exp(-logOdds)));
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
      return addProofWhenDue(state, nonInferiorityTest, wallMs);
    }
    const why = isSoaking
      ? 'no gross fault found; soaking while the old version stays available'
      : 'collecting evidence at a small traffic share';
    return applyChange(state, wallMs, {
      phase: nextPhase(state.phase, isSoaking ? 'startSoak' : 'endSoak'),
      share,
      orderShare,
      why,
      proof: nonInferiorityTest.proofs(),
    });
  }

  function addProofWhenDue(
    state: MoveState,
    nonInferiorityTest: NonInferiorityTest,
    wallMs: number,
  ): MoveState {
    const lastState = lastStates.get(state.move);
    const isProofDue =
      wallMs - (lastState?.changedAt ?? 0) >= PROOF_WRITE_INTERVAL_MS;
    return isProofDue
      ? {...state, proof: nonInferiorityTest.proofs(), changedAt: wallMs}
      : state;
  }

  /**
   * Returns `state`, or a new waiting state if there is no state, the move was
   * withdrawn or its record now names other versions.
   */
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
    storedState: MoveState | undefined,
    wallMs: number,
  ): MoveState {
    const state = resumeOrReset(move, storedState, wallMs);
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
    addEvidence(moveName, sums) {
      analyses.get(moveName)?.window.add(sums);
    },
    reportCut(moveName, why) {
      if (!cutReasons.has(moveName)) {
        cutReasons.set(moveName, why);
      }
    },
    advance(move, state, wallMs) {
      const nextState = advance(move, state, wallMs);
      lastStates.set(move.name, nextState);
      return nextState;
    },
    track(move, state, wallMs) {
      if (isFinal(state.phase) || state.startedAt === undefined) {
        return;
      }
      endWindowWhenDue(getOrCreateAnalysis(move, state, wallMs), state, wallMs);
    },
    retainMoves(moveNames) {
      const retainedNames = new Set(moveNames);
      for (const map of [analyses, cutReasons, lastStates, lastDecisionTexts]) {
        for (const name of map.keys()) {
          if (!retainedNames.has(name)) {
            map.delete(name);
          }
        }
      }
    },
    dump: () =>
      [...analyses].map(
        ([name, {detector, nonInferiorityTest, detectedFault}]) => ({
          move: name,
          phase: lastStates.get(name)?.phase,
          faultEvidence: detector.logValue(),
          finding: detectedFault?.why,
          proof: nonInferiorityTest.proofs(),
        }),
      ),
  };
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1000) / 1000;
}
