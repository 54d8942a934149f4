/**
 * Estimates the number of endpoints that a service needs for the slots in use.
 *
 * Each request holds a slot of its engine from its prompt to the end of its
 * answer. An engine with few slots is full long before its time is used up, and
 * further requests wait until a whole answer ends.
 */
import type {EngineEstimate, WorkRate} from '@skylarkfield/capacity';
import {promptMs} from './engineWork.js';

/** Slots that the arriving work of one service holds. */
export interface SlotDemand {
  /** Slots of one endpoint. */
  readonly slotsPerEndpoint: number;
  /** Mean number of endpoints that process a prompt at a time. */
  readonly busyEndpoints: number;
  /**
   * Mean number of slots in use if no request waited for the prompts of others.
   */
  readonly minSlotsInUse: number;
}

/**
 * Slots of an engine up to which the need counts slots in use. Engines with
 * more slots spend all their time on prompts and steps before their slots are
 * full, and the error of the step time would only add endpoints.
 */
const MAX_COUNTED_SLOTS = 12;

const SECOND_MS = 1_000;

/**
 * Returns the slots that the work arriving per second holds, by Little's law;
 * undefined if the slots do not limit the engines or the estimate is uncertain.
 *
 * @example
 * const slotDemand = estimateSlotDemand(workRate, estimate, engine.slots);
 */
export function estimateSlotDemand(
  work: WorkRate,
  estimate: EngineEstimate,
  slotsPerEndpoint: number | undefined,
): SlotDemand | undefined {
  if (
    !estimate.isSure ||
    slotsPerEndpoint === undefined ||
    slotsPerEndpoint > MAX_COUNTED_SLOTS
  ) {
    return undefined;
  }
  const busyEndpoints = promptMs(work, estimate) / SECOND_MS;
  const decodingSlots = (work.answerTokens * estimate.stepMs) / SECOND_MS;
  return {
    slotsPerEndpoint,
    busyEndpoints,
    minSlotsInUse: busyEndpoints + decodingSlots,
  };
}

/**
 * Returns the mean number of slots in use at a number of endpoints. While an
 * engine processes a prompt, its answers and other prompts wait, so requests
 * hold their slots 1 / (1 - u) times as long at a prompt utilization u.
 *
 * @example
 * const slots = countSlotsInUse(slotDemand, 8);
 */
export function countSlotsInUse(
  {busyEndpoints, minSlotsInUse}: SlotDemand,
  endpointCount: number,
): number {
  return busyEndpoints < endpointCount
    ? minSlotsInUse / (1 - busyEndpoints / endpointCount)
    : Infinity;
}

/**
 * Returns the number of endpoints at which the slots in use are at most a
 * fraction of all slots, 0 to 1.
 *
 * @example
 * const count = countEndpointsForSlots(slotDemand, 0.55);
 */
export function countEndpointsForSlots(
  {slotsPerEndpoint, busyEndpoints, minSlotsInUse}: SlotDemand,
  targetFill: number,
): number {
  // The smallest solution of `countSlotsInUse(demand, count) <=
  // targetFill * slotsPerEndpoint * count`.
  const count = busyEndpoints + minSlotsInUse / (targetFill * slotsPerEndpoint);
  return Math.max(1, Math.ceil(count));
}
