/**
 * Chooses the engine of a model service for a request: the one that is expected
 * to send the first event soonest, among those where a slot is free.
 *
 * Engines queue requests by urgency and preempt less urgent ones, so prompt work
 * ahead never excludes an engine; it only makes its first event later. The
 * expected times are uncertain after a cold start. Then their order still spreads
 * requests by outstanding work, but nothing is rejected because of them.
 */
import type {PlacementRequest, Prompt} from './contracts.js';
import {usableEndpoints} from './endpointChoice.js';
import type {EndpointLoad} from './endpointLoad.js';
import type {PrefixLocations} from './prefixLocations.js';
import type {PromptEstimates} from './promptEstimates.js';
import type {RouteTimes} from './routeTimes.js';

/** Returns the time that an endpoint of usual speed takes to read a prompt. */
export type PromptTime = (prompt: Prompt, cachedTokens: number) => number;

/** An engine with the times that it is expected to take. */
export interface ChosenEngine {
  readonly load: EndpointLoad;
  /** Time to read the prompt, in milliseconds. */
  readonly promptMs: number;
  /** The same without measured times and the engine's slowness. */
  readonly estimatedPromptMs: number;
  /** Prompt work that is done before, in milliseconds. */
  readonly waitMs: number;
  /** Time to the first event, in milliseconds. */
  readonly firstMs: number;
}

export interface EngineChoice {
  /**
   * Returns the engine with the least cost of those that respond within
   * `withinMs`, or else the one that responds first; undefined if the slots of
   * all are taken. If it may preempt, slots of less urgent requests count as free
   * when there are no others.
   */
  choose(
    request: PlacementRequest,
    loads: Iterable<EndpointLoad>,
    withinMs: number,
    mayPreempt: boolean,
  ): ChosenEngine | undefined;
}

/** Weight of the prompt work of less urgent requests, which a prompt overtakes. */
const OVERTAKEN_WEIGHT = 0.25;

/** Weight of the delay that a prompt causes to more urgent requests. */
const INTERFERENCE_WEIGHT = 0.5;

/**
 * Weight of the time to read shared tokens that other engines may have cached,
 * besides the time itself: it is paid for, and delays other requests. A higher
 * weight gathers requests at fewer engines.
 */
const RECOMPUTE_WEIGHT = 3;

/** Weight of the fraction of slots that are taken. */
const FILL_WEIGHT = 0.08;

/** Cost of another failure domain, in milliseconds. */
const REMOTE_MS = 2;

/** Maximum random cost, so that equal engines are used equally, in ms. */
const JITTER_MS = 1;

/**
 * Creates the choice among the engines of one service.
 *
 * @example
 * const chosen = engineChoice.choose(request, loads, 800, true);
 */
export function createEngineChoice(options: {
  readonly routeTimes: RouteTimes;
  readonly prefixes: PrefixLocations;
  readonly estimates: PromptEstimates;
  readonly random: {next(): number};
  readonly promptTime: PromptTime;
}): EngineChoice {
  const {routeTimes, prefixes, estimates, random, promptTime} = options;

  /** Returns the estimated time of a prompt; peers send its token counts. */
  function estimatedMs(prompt: Prompt, cachedTokens: number): number {
    const timeMs = promptTime(prompt, cachedTokens);
    return Number.isFinite(timeMs) ? Math.max(0, timeMs) : 0;
  }

  function evaluate(
    load: EndpointLoad,
    urgency: number,
    prompt: Prompt,
  ): ChosenEngine {
    const cachedTokens = prefixes.cachedTokens(load.endpoint.id, prompt);
    const estimatedPromptMs = estimatedMs(prompt, cachedTokens);
    const slowness = load.engineSlowness();
    const waitMs = load.promptWaitMs(urgency);
    return {
      load,
      estimatedPromptMs,
      promptMs: estimates.promptMs(estimatedPromptMs) * slowness,
      waitMs,
      firstMs: waitMs + estimates.firstMs(estimatedPromptMs) * slowness,
    };
  }

  /** Returns the time to the first event and the cost of the side effects. */
  function costMs(
    {load, promptMs, waitMs, firstMs}: ChosenEngine,
    {urgency, route, failureDomain}: PlacementRequest,
    ownMs: number,
  ): number {
    const {slots} = load.endpoint;
    const slowness = load.engineSlowness();
    const overtakenMs = load.promptBacklogMs() - waitMs;
    const recomputedMs = Math.max(0, promptMs - ownMs * slowness);
    const fillMs =
      (load.running.size / slots) *
      routeTimes.estimateOf(route).holdMs *
      slowness;
    return (
      firstMs +
      overtakenMs * OVERTAKEN_WEIGHT +
      recomputedMs * RECOMPUTE_WEIGHT +
      promptMs * (load.moreUrgentCount(urgency) / slots) * INTERFERENCE_WEIGHT +
      fillMs * FILL_WEIGHT +
      (load.endpoint.failureDomain === failureDomain ? 0 : REMOTE_MS) +
      random.next() * JITTER_MS
    );
  }

  return {
    choose(request, loads, withinMs, mayPreempt) {
      const {prompt, urgency} = request;
      if (prompt === undefined) {
        return undefined;
      }
      const usable = usableEndpoints(loads);
      const free = usable.filter(load => load.hasRoom(0));
      const candidates =
        free.length > 0
          ? free
          : usable.filter(load => mayPreempt && load.canPreempt(urgency));
      const sharedTokens = prompt.promptTokens - prompt.ownTokens;
      const ownMs = estimates.promptMs(estimatedMs(prompt, sharedTokens));
      let cheapest: ChosenEngine | undefined;
      let first: ChosenEngine | undefined;
      let leastMs = Infinity;
      for (const load of candidates) {
        const evaluated = evaluate(load, urgency, prompt);
        if (first === undefined || evaluated.firstMs < first.firstMs) {
          first = evaluated;
        }
        if (evaluated.firstMs > withinMs) {
          continue;
        }
        const cost = costMs(evaluated, request, ownMs);
        if (cost < leastMs) {
          cheapest = evaluated;
          leastMs = cost;
        }
      }
      return cheapest ?? first;
    },
  };
}
