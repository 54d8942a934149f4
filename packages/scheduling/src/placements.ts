/** Places requests at endpoints, or rejects them. */
import type {PlacementDecision, RejectionReason} from './contracts.js';
import {createEndpointChoice} from './endpointChoice.js';
import type {EndpointLoad} from './endpointLoad.js';
import {createEngineChoice, type ChosenEngine} from './engineChoice.js';
import type {SchedulerState} from './schedulerState.js';
import type {WaitingRequest} from './waitingRequests.js';

export interface Placements {
  /**
   * Decides on a request that may start now; undefined if it has to wait. A
   * faster endpoint is expected to be free after `waitMs()`, which is linear in
   * the running requests and seldom needed.
   */
  place(
    entry: WaitingRequest,
    waitMs: () => number,
    isLate: boolean,
  ): PlacementDecision | undefined;
  reject(entry: WaitingRequest, reason: RejectionReason): PlacementDecision;
}

/** Time after its deadline at which a request is taken for ended, in ms. */
export const EXPIRY_MARGIN_MS = 1_000;

/** Fraction of the service that all requests together may use in usual times. */
const BOOKABLE_FRACTION = 0.95;

/**
 * Fraction of the time until its target that a request to an engine must be
 * expected to have left, since other prompts may arrive.
 */
const ENGINE_TARGET_MARGIN = 0.1;

/**
 * Prompt work ahead, as a fraction of the time until the target, from which the
 * engines are overloaded for a request that cannot meet its target.
 */
const OVERLOADED_FRACTION = 0.5;

/**
 * Creates the placements of one scheduler.
 *
 * @example
 * const decision = placements.place(entry, () => 0, false);
 */
export function createPlacements(state: SchedulerState): Placements {
  const {options, loads, running, waiting, demand, bookings, counts} = state;
  const {clock} = options;
  const endpointChoice = createEndpointChoice({...state, ...options});
  const engineChoice = createEngineChoice({...state, ...options});

  function reject(
    {request, cost, waitsSince}: WaitingRequest,
    reason: RejectionReason,
  ): PlacementDecision {
    const retryAfterMs = bookings.book(
      {costMs: cost, fingerprint: request.fingerprint},
      BOOKABLE_FRACTION - demand.usualTotal(),
    );
    counts.rejected += 1;
    options.onDidDecide?.({
      request,
      outcome: reason,
      waitedMs: clock.now() - waitsSince,
      isLate: false,
      isShort: waiting.isShort(request.urgency),
    });
    return {type: 'rejected', reason, retryAfterMs};
  }

  function start(
    {asker, request, waitsSince}: WaitingRequest,
    load: EndpointLoad,
    isLate: boolean,
    prompt = {promptMs: 0, estimatedPromptMs: 0},
  ): PlacementDecision {
    const now = clock.now();
    const {id, route, urgency} = request;
    running.add(load, {
      asker,
      id,
      route,
      urgency,
      placedAt: now,
      expiresAt: request.deadlineAt + EXPIRY_MARGIN_MS,
      promptMs: prompt.promptMs,
      estimatedPromptMs: prompt.estimatedPromptMs,
      hasBegun: false,
    });
    counts.placed += 1;
    counts.late += isLate ? 1 : 0;
    options.onDidDecide?.({
      request,
      outcome: 'placed',
      waitedMs: now - waitsSince,
      isLate,
      isShort: false,
    });
    return {type: 'placed', endpoint: load.endpoint.id};
  }

  /** Whether a request at an engine would cost others their target. */
  function isOverloaded(
    {load, waitMs}: ChosenEngine,
    {request, waitsSince}: WaitingRequest,
  ): boolean {
    return (
      !load.hasRoom(0) ||
      waiting.size > 0 ||
      waitMs > (request.targetAt - waitsSince) * OVERLOADED_FRACTION
    );
  }

  function placeAtEngine(entry: WaitingRequest): PlacementDecision | undefined {
    const {request, urgency, waitsSince} = entry;
    // Preemption would take the share that less urgent requests wait for.
    const mayPreempt = !waiting.hasShortBelow(urgency);
    const marginMs = (request.targetAt - waitsSince) * ENGINE_TARGET_MARGIN;
    // Times that are not sure only order the engines.
    const withinMs = state.estimates.isSure()
      ? request.targetAt - marginMs - clock.now()
      : Infinity;
    const chosen = engineChoice.choose(
      request,
      loads.values(),
      withinMs,
      mayPreempt,
    );
    if (chosen === undefined) {
      return undefined;
    }
    const {load} = chosen;
    const isLate = chosen.firstMs > withinMs;
    if (isLate && isOverloaded(chosen, entry) && !waiting.isShort(urgency)) {
      return reject(entry, 'no-room');
    }
    if (request.prompt !== undefined) {
      state.prefixes.record(load.endpoint.id, request.prompt);
    }
    return start(entry, load, isLate, chosen);
  }

  return {
    place(entry, waitMs, isLate) {
      if (entry.request.prompt !== undefined) {
        return placeAtEngine(entry);
      }
      const load = endpointChoice.choose(entry.request, loads.values(), waitMs);
      return load && start(entry, load, isLate);
    },
    reject,
  };
}
