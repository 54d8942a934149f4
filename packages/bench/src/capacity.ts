/**
 * `capacity`: convergence of the estimated speed of engines that have no
 * configured speed, and requests in time with as many engines as the estimate,
 * the true speed, or constants of another engine call for.
 */
import {targetUtilization, type EngineEstimate} from '@skylarkfield/capacity';
import {endpointsNeeded, workMs} from '@skylarkfield/traffic';
import {
  ENGINE_PROFILES,
  kindsFor,
  promptMs,
  type EngineProfile,
} from './engines/profiles.js';
import {replayEngines} from './engines/engineReplay.js';
import {SERVICE, type ReplayEntry} from './engines/replayEntry.js';
import type {MeasureOptions} from './measurements.js';

const DEFAULT_SECONDS = 40;
const ENGINES = 6;
const ENTRIES = 6;
const LOAD = 0.4;
const RATIO_TOLERANCE = 0.2;

/** Constants that applied to every engine before speed was estimated. */
const FIXED_ESTIMATE = {promptTokenMs: 1 / 140, pairsMs: 0.3, use: 0.34};

type PlanName = 'learned' | 'true' | 'fixed';

/**
 * Measures each engine profile.
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
    const learning = await measureLearning(options.seed, seconds, profile);
    rows.push(learning.row);
    curves.push(...learning.curve);
    for (const [plan, engines] of Object.entries(learning.enginesNeeded)) {
      const served = await measurePlan(options.seed, seconds, profile, engines);
      plans.push({profile: profile.name, plan, engines, ...served});
    }
  }
  return {engines: ENGINES, entries: ENTRIES, load: LOAD, rows, plans, curves};
}

async function measureLearning(
  seed: number,
  seconds: number,
  profile: EngineProfile,
) {
  const trueMs = usualPromptMs(profile);
  const ratios: number[] = [];
  let enginesNeeded: Record<PlanName, number> = {learned: 1, true: 1, fixed: 1};
  let usualUse = 0;
  await replayEngines({
    seed,
    seconds,
    profile,
    engines: ENGINES,
    entries: ENTRIES,
    loadAt: () => LOAD,
    refusesLate: true,
    onDidElapseSecond(_, entry) {
      const {engines} = entry;
      ratios.push(engines.estimateFor(SERVICE).usualPromptMs / trueMs);
      usualUse = engines.demandSignals(SERVICE).use.usual;
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

/** Returns the engines needed for the observed work by each speed estimate. */
function computeEnginesNeeded(
  {engines}: ReplayEntry,
  profile: EngineProfile,
): Record<PlanName, number> {
  const learned = engines.estimateFor(SERVICE);
  const signals = engines.demandSignals(SERVICE);
  const trueEstimate: EngineEstimate = {
    ...learned,
    promptTokenMs: profile.tokenMs,
    pairsMs: profile.pairsMs,
    requestStepMs: profile.requestStepMs,
    contextStepMs: profile.contextStepMs,
    usualPromptMs: usualPromptMs(profile),
  };
  const latencyTargets = kindsFor(profile).map(({goalMs, deadlineMs}) => ({
    goalMs,
    timeoutMs: deadlineMs,
  }));
  const work = engines.workRate(SERVICE);
  const fixedMs = workMs(work, {...learned, ...FIXED_ESTIMATE});
  return {
    learned: endpointsNeeded(signals.workRate, signals.use.usual),
    true: endpointsNeeded(
      workMs(work, trueEstimate),
      targetUtilization(trueEstimate, latencyTargets).usual,
    ),
    fixed: endpointsNeeded(fixedMs, FIXED_ESTIMATE.use),
  };
}

async function measurePlan(
  seed: number,
  seconds: number,
  profile: EngineProfile,
  engines: number,
) {
  const outcomes = await replayEngines({
    seed,
    seconds,
    profile,
    engines,
    referenceEngines: ENGINES,
    entries: ENTRIES,
    loadAt: () => LOAD,
    refusesLate: true,
  });
  const inTime = outcomes.filter(({result}) => result === 'in-time').length;
  return {inTime: inTime / Math.max(1, outcomes.length)};
}

/** Returns the second from which the ratio stays near one; -1 if none. */
function secondsUntilConverged(ratios: readonly number[]): number {
  const lastOutside = ratios.findLastIndex(
    ratio => Math.abs(ratio - 1) > RATIO_TOLERANCE,
  );
  return lastOutside === ratios.length - 1 ? -1 : lastOutside + 2;
}

function usualPromptMs(profile: EngineProfile): number {
  const kinds = kindsFor(profile);
  const weights = kinds.reduce((sum, {weight}) => sum + weight, 0);
  return kinds.reduce(
    (sum, kind) => sum + (kind.weight / weights) * promptMs(kind, profile),
    0,
  );
}
