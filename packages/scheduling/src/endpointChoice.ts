/**
 * Chooses the endpoint for a request: the one that is expected to answer first,
 * among those with room.
 *
 * A long prompt delays every answer and every prompt that is read beside it, so
 * it costs more at an endpoint with more urgent requests. Long and short prompts
 * thereby gather at different endpoints while both kinds are frequent, and all
 * endpoints are shared while one kind is rare.
 */
import type {PlacementRequest, Prompt} from './contracts.js';
import type {EndpointLoad} from './endpointLoad.js';
import type {PrefixLocations} from './prefixLocations.js';
import type {RouteTimes} from './routeTimes.js';

/** Returns the time that an endpoint of usual speed takes to read a prompt. */
export type PromptTime = (prompt: Prompt, cachedTokens: number) => number;

/** An endpoint with the time that it is expected to take. */
export interface ChosenEndpoint {
  readonly load: EndpointLoad;
  /** Time to read the prompt; 0 without a prompt, in milliseconds. */
  readonly promptMs: number;
}

export interface EndpointChoice {
  /**
   * Returns the best endpoint with room; undefined if there is none, or if its
   * host is slow for the moment and another endpoint is expected to answer sooner
   * after a wait of `waitMs`.
   */
  choose(
    request: PlacementRequest,
    loads: Iterable<EndpointLoad>,
    waitMs: number,
  ): ChosenEndpoint | undefined;
}

/**
 * Prompt work beyond which an endpoint gets no further prompts, in milliseconds:
 * prompts that wait here, and not there, can be ordered and moved.
 */
const MAX_PROMPT_BACKLOG_MS = 120;

/** Slowness from which waiting for another endpoint may be better. */
const SLOW = 1.5;

/** Time between an end and the next start in a slot: two messages, in ms. */
const DISPATCH_GAP_MS = 8;

/** Weight of the prompt work of less urgent requests, which a prompt overtakes. */
const OVERTAKEN_WEIGHT = 0.25;

/** Weight of the delay that a prompt causes to more urgent requests. */
const INTERFERENCE_WEIGHT = 0.5;

/** Weight of prompt tokens that another endpoint has cached. */
const RECOMPUTE_WEIGHT = 1;

/** Weight of the fraction of slots that are taken. */
const FILL_WEIGHT = 0.08;

/** Cost of another failure domain, in milliseconds. */
const REMOTE_MS = 2;

/** Maximum random cost, so that equal endpoints are used equally, in ms. */
const JITTER_MS = 1;

/**
 * Creates the choice among the endpoints of one service.
 *
 * @example
 * const chosen = endpointChoice.choose(request, loads, 0);
 */
export function createEndpointChoice(options: {
  readonly routeTimes: RouteTimes;
  readonly prefixes: PrefixLocations;
  readonly random: {next(): number};
  readonly promptTime: PromptTime;
}): EndpointChoice {
  const {routeTimes, prefixes, random} = options;

  /**
   * Requests beyond the slots that hide the gap between an end and the next
   * start; none where requests take long.
   */
  function extraSlots({endpoint}: EndpointLoad, holdMs: number): number {
    return holdMs === 0
      ? 0
      : Math.min(
          endpoint.slots,
          Math.round((endpoint.slots * DISPATCH_GAP_MS) / holdMs),
        );
  }

  /** Returns the endpoints that are not avoided, or all if none is left. */
  function usable(loads: Iterable<EndpointLoad>): readonly EndpointLoad[] {
    const all = [...loads];
    const notAvoided = all.filter(load => !load.isAvoided());
    return notAvoided.length > 0 ? notAvoided : all;
  }

  function fractionMoreUrgent(load: EndpointLoad, urgency: number): number {
    let count = 0;
    for (const running of load.running) {
      count += running.urgency < urgency ? 1 : 0;
    }
    return count / load.endpoint.slots;
  }

  /** Returns the expected milliseconds to read the prompt, with its side costs. */
  function promptCosts(
    load: EndpointLoad,
    prompt: Prompt,
    urgency: number,
    slowness: number,
  ): {readonly promptMs: number; readonly waitMs: number; sideMs: number} {
    const cachedTokens = prefixes.cachedTokens(load.endpoint.id, prompt);
    const fullMs = options.promptTime(prompt, 0);
    const promptMs = options.promptTime(prompt, cachedTokens) * slowness;
    const aheadMs = load.promptWaitMs(urgency);
    const overtakenMs = load.promptBacklogMs() - aheadMs;
    const ownShare = prompt.ownTokens / Math.max(1, prompt.promptTokens);
    const recomputedMs = Math.max(0, promptMs - fullMs * ownShare * slowness);
    return {
      promptMs,
      waitMs: aheadMs + overtakenMs * OVERTAKEN_WEIGHT,
      sideMs:
        recomputedMs * RECOMPUTE_WEIGHT +
        promptMs * fractionMoreUrgent(load, urgency) * INTERFERENCE_WEIGHT,
    };
  }

  function evaluate(
    load: EndpointLoad,
    {route, urgency, prompt, failureDomain}: PlacementRequest,
  ): ChosenEndpoint & {readonly costMs: number} {
    const {firstMs, holdMs} = routeTimes.timeOf(route);
    const slowness = load.slowness();
    const fill = load.running.size / load.endpoint.slots;
    const commonMs =
      fill * holdMs * FILL_WEIGHT +
      (load.endpoint.failureDomain === failureDomain ? 0 : REMOTE_MS) +
      random.next() * JITTER_MS;
    if (prompt === undefined) {
      const expectedMs = firstMs * slowness;
      return {load, promptMs: 0, costMs: expectedMs + commonMs};
    }
    const {promptMs, waitMs, sideMs} = promptCosts(
      load,
      prompt,
      urgency,
      slowness,
    );
    return {
      load,
      promptMs,
      costMs: waitMs + promptMs + sideMs + commonMs * slowness,
    };
  }

  return {
    choose(request, loads, waitMs) {
      const {firstMs, holdMs} = routeTimes.timeOf(request.route);
      let best: ReturnType<typeof evaluate> | undefined;
      let fastest = Infinity;
      for (const load of usable(loads)) {
        fastest = Math.min(fastest, load.passingSlowness());
        if (
          !load.hasRoom(extraSlots(load, holdMs)) ||
          (request.prompt !== undefined &&
            load.promptBacklogMs() > MAX_PROMPT_BACKLOG_MS)
        ) {
          continue;
        }
        const evaluated = evaluate(load, request);
        if (best === undefined || evaluated.costMs < best.costMs) {
          best = evaluated;
        }
      }
      if (best === undefined) {
        return undefined;
      }
      const slowness = best.load.passingSlowness();
      const isWaitingBetter =
        slowness >= fastest * SLOW &&
        waitMs + firstMs * fastest < firstMs * slowness;
      return isWaitingBetter ? undefined : best;
    },
  };
}
