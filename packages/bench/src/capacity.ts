/**
 * `capacity`: convergence of the estimated speed of engines that have no
 * configured speed, and the fraction of requests in time when the number of
 * engines is planned from the estimate, the true speed, or constants of another
 * engine.
 */
import {targetUtilization, type EngineEstimate} from '@skylarkfield/capacity';
import {
  countEndpointsNeeded,
  estimateSlotDemand,
  needForDemand,
  workMs,
} from '@skylarkfield/traffic';
import {
  ENGINE_PROFILES,
  requestKindsFor,
  computePromptMs,
  type EngineProfile,
} from './engines/profiles.js';
import {replayEngines} from './engines/engineReplay.js';
import {SERVICE, type ReplayEntry} from './engines/replayEntry.js';
import type {MeasureOptions} from './measurements.js';

const DEFAULT_SECONDS = 40;
const ENGINE_COUNT = 6;
const ENTRY_COUNT = 6;
/** Offered load relative to the prompt capacity of the engines. */
const LOAD = 0.4;
/** Allowed deviation from 1 of the ratio of estimated to true prompt time. */
const RATIO_TOLERANCE = 0.2;

/** Constants that were used for every engine before entries estimated speed. */
const FIXED_ESTIMATE = {
  promptTokenMs: 1 / 140,
  pairsMs: 0.3,
  utilization: 0.34,
};

type PlanName = 'learned' | 'true' | 'fixed';

/**
 * Measures the estimates and the plans for each engine profile.
 *
 * @example
 * const report = await measureCapacity({seed: 1000});
 */
export async function measureCapacity(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const rows = [];
  const plans = [];
  const curves: object[] = [];
  for (const profile of ENGINE_PROFILES) {
    const convergence = await measureConvergence(
      options.seed,
      seconds,
      profile,
    );
    rows.push(convergence.row);
    curves.push(...convergence.curve);
    for (const [plan, engines] of Object.entries(convergence.enginesNeeded)) {
      const planResult = await measurePlan(
        options.seed,
        seconds,
        profile,
        engines,
      );
      plans.push({profile: profile.name, plan, engines, ...planResult});
    }
  }
  return {
    engines: ENGINE_COUNT,
    entries: ENTRY_COUNT,
    load: LOAD,
    rows,
    plans,
    curves,
  };
}

async function measureConvergence(
  seed: number,
  seconds: number,
  profile: EngineProfile,
) {
  const trueMs = meanPromptMs(profile);
  const ratios: number[] = [];
  let enginesNeeded: Record<PlanName, number> = {learned: 1, true: 1, fixed: 1};
  let usualUse = 0;
  await replayEngines({
    seed,
    seconds,
    profile,
    engineCount: ENGINE_COUNT,
    entryCount: ENTRY_COUNT,
    loadAt: () => LOAD,
    shouldRefuseLate: true,
    onDidElapseSecond(_, entry) {
      const {estimates} = entry;
      ratios.push(estimates.estimateFor(SERVICE).usualPromptMs / trueMs);
      usualUse = estimates.demandSignals(SERVICE).use.usual;
      enginesNeeded = computeEnginesNeeded(entry, profile);
    },
  });
  return {
    enginesNeeded,
    curve: ratios.map((ratio, index) => ({
      profile: profile.name,
      second: index + 1,
      ratio,
    })),
    row: {
      profile: profile.name,
      trueMs,
      ratioAtEnd: ratios.at(-1),
      secondsUntilNear: secondsUntilConverged(ratios),
      usualUse,
    },
  };
}

/** Computes the number of engines that each plan has for the observed work. */
function computeEnginesNeeded(
  {estimates}: ReplayEntry,
  profile: EngineProfile,
): Record<PlanName, number> {
  const estimate = estimates.estimateFor(SERVICE);
  const signals = estimates.demandSignals(SERVICE);
  const trueEstimate: EngineEstimate = {
    ...estimate,
    promptTokenMs: profile.promptTokenMs,
    pairsMs: profile.pairsMs,
    requestStepMs: profile.requestStepMs,
    contextStepMs: profile.contextStepMs,
    usualPromptMs: meanPromptMs(profile),
  };
  const latencyTargets = requestKindsFor(profile).map(
    ({goalMs, deadlineMs}) => ({
      goalMs,
      timeoutMs: deadlineMs,
    }),
  );
  const work = estimates.workRate(SERVICE);
  const fixedWorkMs = workMs(work, {...estimate, ...FIXED_ESTIMATE});
  return {
    learned: needForDemand(signals).usual,
    true: needForDemand({
      workRate: workMs(work, trueEstimate),
      use: targetUtilization(trueEstimate, latencyTargets),
      slotDemand: estimateSlotDemand(work, trueEstimate, profile.slots),
    }).usual,
    fixed: countEndpointsNeeded(fixedWorkMs, FIXED_ESTIMATE.utilization),
  };
}

async function measurePlan(
  seed: number,
  seconds: number,
  profile: EngineProfile,
  engineCount: number,
) {
  const outcomes = await replayEngines({
    seed,
    seconds,
    profile,
    engineCount,
    referenceEngineCount: ENGINE_COUNT,
    entryCount: ENTRY_COUNT,
    loadAt: () => LOAD,
    shouldRefuseLate: true,
  });
  const inTime = outcomes.filter(({result}) => result === 'in-time').length;
  return {inTime: inTime / Math.max(1, outcomes.length)};
}

/** Returns the second from which all ratios are near 1; -1 if none. */
function secondsUntilConverged(ratios: readonly number[]): number {
  const lastOutsideIndex = ratios.findLastIndex(
    ratio => Math.abs(ratio - 1) > RATIO_TOLERANCE,
  );
  return lastOutsideIndex === ratios.length - 1 ? -1 : lastOutsideIndex + 2;
}

function meanPromptMs(profile: EngineProfile): number {
  const kinds = requestKindsFor(profile);
  const totalWeight = kinds.reduce((sum, {weight}) => sum + weight, 0);
  return kinds.reduce(
    (sum, kind) =>
      sum + (kind.weight / totalWeight) * computePromptMs(kind, profile),
    0,
  );
}
