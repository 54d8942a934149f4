/** What a request costs, and whether it is expected to be answered in time. */
import type {PlacementRequest, Prompt} from './contracts.js';
import type {SchedulerState} from './schedulerState.js';
import {MIN_START_SHARE, type WaitingRequest} from './waitingRequests.js';

export interface RequestExpectations {
  /** Returns the time of the whole service that a request takes, in ms. */
  costOf(request: PlacementRequest): number;
  /**
   * Returns the time after which a waiting request is expected to start: what
   * more urgent requests leave, or the minimum share of its urgency.
   */
  waitMs(incoming: WaitingRequest): number;
  /** Whether a request that starts after a wait can meet its target. */
  canMeetTarget(waiting: WaitingRequest, waitMs: number): boolean;
  /** Whether a request that misses its target is expected to be served. */
  canMeetDeadline(waiting: WaitingRequest): boolean;
  /** Returns the mean time between two ends of running requests, in ms. */
  endGapMs(): number;
}

/**
 * Fraction of the time until its latency target that a request must be expected
 * to have left: between entries, endpoints and callers messages are late where
 * processes are busy, and a response that just misses its target has cost
 * another one its place.
 */
const TARGET_MARGIN = 0.3;

/**
 * Fraction of the time until its deadline within which a late request must be
 * expected to start, since the response takes time as well.
 */
const LATE_WAIT_FRACTION = 0.6;

/** Fraction of the service that must be free for requests to wait that are late. */
const MIN_SPARE_FRACTION = 0.05;

/**
 * Creates the expectations of one scheduler.
 *
 * @example
 * const canWait = expectations.canMeetTarget(waiting, expectations.waitMs(waiting));
 */
export function createRequestExpectations(
  state: SchedulerState,
): RequestExpectations {
  const {waiting, demand, routeTimes, estimates, running} = state;
  const {clock, promptTime} = state.options;

  /** Returns the time of a prompt whose shared parts are cached, uncorrected. */
  function ownPromptMs(prompt: Prompt): number {
    const sharedTokens = prompt.promptTokens - prompt.ownTokens;
    const timeMs = promptTime(prompt, sharedTokens);
    return Number.isFinite(timeMs) ? Math.max(0, timeMs) : 0;
  }

  /** Returns the time to the first byte or event at an idle endpoint, in ms. */
  function firstMs({route, prompt}: PlacementRequest): number {
    if (prompt === undefined) {
      return routeTimes.estimateOf(route).firstMs;
    }
    // Times that are not sure must not keep a request from waiting for a slot.
    return estimates.isSure() ? estimates.firstMs(ownPromptMs(prompt)) : 0;
  }

  return {
    costOf({route, prompt}) {
      const slotMs = routeTimes.estimateOf(route).holdMs / state.totalSlots();
      const promptMs =
        prompt === undefined
          ? 0
          : estimates.promptMs(ownPromptMs(prompt)) /
            Math.max(1, state.loads.size);
      return Math.max(slotMs, promptMs);
    },
    waitMs(incoming) {
      const left = Math.max(
        MIN_START_SHARE,
        1 - demand.recentAbove(incoming.urgency),
      );
      const costWithShare =
        waiting.costBeforeAtSameUrgency(incoming) + incoming.cost;
      return Math.min(
        (waiting.costBefore(incoming) + incoming.cost) / left,
        costWithShare / MIN_START_SHARE,
      );
    },
    canMeetTarget({request, waitsSince}, waitMs) {
      const marginMs = (request.targetAt - waitsSince) * TARGET_MARGIN;
      return (
        clock.now() + waitMs + firstMs(request) <= request.targetAt - marginMs
      );
    },
    canMeetDeadline({request, cost}) {
      const spare = 1 - demand.recentTotal();
      if (spare < MIN_SPARE_FRACTION) {
        return false;
      }
      const waitMs = (waiting.lateCost() + cost) / spare;
      const remainingMs = request.deadlineAt - clock.now();
      return waitMs <= remainingMs * LATE_WAIT_FRACTION;
    },
    endGapMs() {
      let holdMs = 0;
      for (const {request} of running.values()) {
        holdMs += routeTimes.timeOf(request.route).holdMs;
      }
      return holdMs / Math.max(1, running.size) ** 2;
    },
  };
}
