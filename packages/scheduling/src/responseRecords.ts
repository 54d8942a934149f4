/** Learns from begins and ends of responses. */
import type {PlacementBegin, PlacementEnd} from './contracts.js';
import type {RunningRequest} from './endpointLoad.js';
import type {PlacedRequest} from './runningRequests.js';
import type {SchedulerState} from './schedulerState.js';

export interface ResponseRecords {
  begin(asker: string, begin: PlacementBegin): void;
  /** Applies the end of a request that was placed. */
  end(placed: PlacedRequest, end: PlacementEnd): void;
}

/**
 * Weight of a prompt in the speed of its engine if others were read before it, as
 * their times are expected ones. Without these prompts the speed of an engine
 * that is never idle would stay unknown.
 */
const QUEUED_WEIGHT = 0.3;

/**
 * Creates the records of one scheduler.
 *
 * @example
 * records.begin('a1', {id, endpoint, firstMs: 60});
 */
export function createResponseRecords({
  loads,
  running,
  routeTimes,
  estimates,
}: SchedulerState): ResponseRecords {
  function recordSpeed(
    {load, request: {route}}: PlacedRequest,
    firstMs: number,
  ): void {
    const usualMs = routeTimes.timeOf(route).firstMs * load.slowness();
    if (usualMs > 0) {
      load.recordSpeed(firstMs / usualMs);
    }
  }

  /** Learns from the time that an engine took to read a prompt. */
  function recordPrompt(
    {load, request}: PlacedRequest,
    {firstMs, load: reported}: PlacementBegin,
  ): void {
    const aheadMs = load.recordBegin(request);
    // The report tells how slow the host was while it read this prompt.
    const hostSlowness =
      reported?.slowness || load.engineSlowness() / load.learnedSlowness();
    const hostMs = firstMs / hostSlowness;
    if (aheadMs === undefined || !Number.isFinite(hostMs)) {
      return;
    }
    const {estimatedPromptMs} = request;
    if (aheadMs === 0) {
      estimates.record(estimatedPromptMs, hostMs / load.learnedSlowness());
    }
    load.recordPromptSpeed(
      hostMs,
      estimates.firstMs(estimatedPromptMs) + aheadMs / load.engineSlowness(),
      aheadMs === 0 ? 1 : QUEUED_WEIGHT,
    );
  }

  function recordBegin(placed: PlacedRequest, begin: PlacementBegin): void {
    const {load, request} = placed;
    if (isPrompt(request)) {
      recordPrompt(placed, begin);
    } else {
      request.hasBegun = true;
      recordSpeed(placed, begin.firstMs);
    }
    routeTimes.record(request.route, 'firstMs', begin.firstMs, load.slowness());
  }

  return {
    begin(asker, begin) {
      const {id, endpoint, load: reported} = begin;
      const load = loads.get(endpoint);
      const placed = running.find(asker, id);
      if (load !== undefined && placed?.load === load) {
        recordBegin(placed, begin);
      } else {
        // Another endpoint has answered, so this one has no prompt to read.
        placed?.load.recordBegin(placed.request);
      }
      if (reported !== undefined) {
        load?.recordReport(reported);
      }
    },
    end({load, request}, {outcome, tookMs, endpoint}) {
      if (endpoint !== undefined && endpoint !== load.endpoint.id) {
        loads.get(endpoint)?.recordOutcome(outcome);
        return;
      }
      if (outcome === 'ok') {
        routeTimes.record(request.route, 'holdMs', tookMs, load.slowness());
      }
      load.recordOutcome(outcome);
    },
  };
}

function isPrompt({estimatedPromptMs}: RunningRequest): boolean {
  return estimatedPromptMs > 0;
}
