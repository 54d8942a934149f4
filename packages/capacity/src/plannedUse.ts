/** Which part of an engine's time may be planned for, from what callers hope for. */
import type {EngineFigures, RouteAim} from './contracts.js';

/** Parts of an endpoint's time that may go to requests. */
export interface UsePlan {
  /** While all is well. */
  readonly usual: number;
  /** For seconds, while endpoints that were lost are replaced. */
  readonly brief: number;
}

/**
 * Work comes in clumps and waves, and an endpoint takes seconds to start: this
 * part of the bearable use is planned for.
 */
const HEADROOM = 0.65;

/** Nearer to what is bearable: it lasts for as long as an endpoint takes to start. */
const BRIEF_HEADROOM = 0.75;

/** Bounds of the bearable use: below, goals can't be met by more endpoints either; above, every clump makes a queue. */
const LEAST_USE = 0.3;
const MOST_USE = 0.85;

/** Nineteen of twenty waits are shorter than this multiple of the mean one. */
const LONG_WAIT_FACTOR = 3;

/** Arrivals in clumps wait this much longer than even ones. */
const CLUMP_FACTOR = 2;

/** A long prompt takes this multiple of the usual one. */
const LONG_PROMPT_FACTOR = 2;

const SECOND_MS = 1_000;

/**
 * The part of an endpoint's time that may go to reading prompts.
 *
 * Two things bound it. A prompt waits for those before it, and its first event
 * must come within the goal. And while a prompt is read every running answer
 * waits: a long one must still be whole before its caller leaves.
 *
 * @example
 * const {usual} = plannedUse(figures, [{goalMs: 800, timeoutMs: 10_000}]); // 0.4
 */
export function plannedUse(
  figures: EngineFigures,
  aims: readonly RouteAim[],
): UsePlan {
  const found = Math.min(useForGoals(figures, aims), useForPace(figures));
  const bearable = Math.min(MOST_USE, Math.max(LEAST_USE, found));
  return {usual: bearable * HEADROOM, brief: bearable * BRIEF_HEADROOM};
}

/** From the mean wait of a queue at this use, use / (1 - use) of the usual prompt's time. */
function useForGoals(
  {usualPromptMs}: EngineFigures,
  aims: readonly RouteAim[],
): number {
  const goals = aims.map(({goalMs}) => goalMs).filter(goal => goal > 0);
  if (goals.length === 0 || usualPromptMs <= 0) {
    return 1;
  }
  const waitMs = Math.min(...goals) - LONG_PROMPT_FACTOR * usualPromptMs;
  const waits = waitMs / (LONG_WAIT_FACTOR * CLUMP_FACTOR * usualPromptMs);
  return waits <= 0 ? 0 : waits / (1 + waits);
}

/** A step that takes so long at rest takes that over what the prompts leave. */
function useForPace({stepMs, neededPace}: EngineFigures): number {
  return neededPace <= 0 ? 1 : 1 - (stepMs * neededPace) / SECOND_MS;
}
