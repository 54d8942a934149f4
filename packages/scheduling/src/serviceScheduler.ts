/**
 * Scheduler of one service: decides for the requests of all entries which one
 * starts next, at which endpoint, and which are rejected.
 */
import type {Disposable} from '@skylarkfield/base';
import type {
  HeldPlacement,
  PlacementDecision,
  PlacementEnd,
  PlacementRequest,
  SchedulableEndpoint,
} from './contracts.js';
import {createDecisionDelivery} from './decisionDelivery.js';
import {createEndpointLoad} from './endpointLoad.js';
import {createPlacements, EXPIRY_MARGIN_MS} from './placements.js';
import {createRequestExpectations} from './requestExpectations.js';
import {createResponseRecords} from './responseRecords.js';
import type {
  ServiceScheduler,
  ServiceSchedulerOptions,
} from './schedulerContracts.js';
import {createSchedulerState} from './schedulerState.js';
import type {WaitingRequest} from './waitingRequests.js';

type DecidedOrQueued =
  | PlacementDecision
  | {readonly type: 'queued'; readonly decidedWithinMs: number};

/** Fraction of the slots from which on a service is contended. */
const CONTENDED_FRACTION = 0.8;

/** Time after its last shortage for which a service is contended, in ms. */
const CONTENDED_MS = 1_000;

/** Interval at which waiting requests are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** Maximum number of waiting requests; more are rejected. */
const MAX_WAITING = 4_000;

/**
 * Creates the scheduler of one service, without endpoints.
 *
 * @example
 * const scheduler = createServiceScheduler({clock, random, cacheTokens: 0, promptTime: () => 0});
 * scheduler.setEndpoints(endpoints);
 * const answer = scheduler.request('a1', request, onDidDecide);
 */
export function createServiceScheduler(
  options: ServiceSchedulerOptions,
): ServiceScheduler {
  const {clock} = options;
  const state = createSchedulerState(options);
  const {loads, running, waiting, demand, bookings, counts} = state;
  const expectations = createRequestExpectations(state);
  const placements = createPlacements(state);
  const records = createResponseRecords(state);
  const delivery = createDecisionDelivery();
  let lastShortageAt = -Infinity;
  let nextCheck: Disposable | undefined;

  function isContended(): boolean {
    let takenSlots = 0;
    for (const load of loads.values()) {
      takenSlots += load.takenSlots();
    }
    if (
      waiting.size > 0 ||
      takenSlots >= state.totalSlots() * CONTENDED_FRACTION
    ) {
      lastShortageAt = clock.now();
    }
    return clock.now() - lastShortageAt < CONTENDED_MS;
  }

  /**
   * Starts waiting requests while endpoints have room. One that cannot start does
   * not hold up those of other urgencies, which may need less.
   */
  function dispatch(): void {
    const blocked = new Set<number>();
    for (;;) {
      const next = waiting.next(blocked);
      if (next === undefined) {
        return;
      }
      // A slow endpoint helps once the others cannot serve all that wait.
      const waitMs = () =>
        Math.max(expectations.endGapMs(), waiting.timelyCost());
      const isLate = waiting.isLate(next);
      const decision = placements.place(next, waitMs, isLate);
      if (decision === undefined) {
        if (isLate) {
          return;
        }
        blocked.add(next.urgency);
        continue;
      }
      if (decision.type === 'placed') {
        waiting.start(next);
      } else {
        waiting.remove(next);
      }
      delivery.add(next, decision);
    }
  }

  function giveUp(entry: WaitingRequest): void {
    waiting.remove(entry);
    delivery.add(entry, placements.reject(entry, 'waited-in-vain'));
  }

  /** Rejects or demotes requests that can no longer be served as expected. */
  function checkWaiting(): void {
    for (const entry of waiting.timely()) {
      if (
        clock.now() < entry.heldUntil &&
        expectations.canMeetTarget(entry, 0)
      ) {
        continue;
      }
      if (mayWaitLate(entry)) {
        waiting.remove(entry);
        waiting.addLate(entry);
      } else {
        giveUp(entry);
      }
    }
    for (const entry of waiting.late()) {
      const {firstMs} = state.routeTimes.estimateOf(entry.request.route);
      if (clock.now() + firstMs > entry.heldUntil) {
        giveUp(entry);
      }
    }
  }

  /**
   * Whether a request that misses its target may wait; one to an engine may not.
   */
  function mayWaitLate(entry: WaitingRequest): boolean {
    return (
      entry.request.prompt === undefined && expectations.canMeetDeadline(entry)
    );
  }

  function check(): void {
    running.removeExpired(loads.values());
    checkWaiting();
    dispatch();
    if (waiting.size > 0) {
      scheduleCheck();
    }
  }

  /** Checks waiting requests for as long as there are any. */
  function scheduleCheck(): void {
    nextCheck ??= clock.after(CHECK_INTERVAL_MS, () => {
      nextCheck = undefined;
      delivery.run(check);
    });
  }

  /**
   * Returns the time until which a request may wait. The caller of a stream leaves
   * some targets after its request, and an engine queues requests by itself, so
   * one to an engine does not wait beyond its target.
   */
  function heldUntil({prompt, targetAt, deadlineAt}: PlacementRequest): number {
    return prompt === undefined ? deadlineAt : Math.min(targetAt, deadlineAt);
  }

  function toWaiting(
    asker: string,
    request: PlacementRequest,
    onDidDecide: WaitingRequest['onDidDecide'],
  ): WaitingRequest {
    const isReturning = bookings.redeem(request.fingerprint);
    counts.returning += isReturning ? 1 : 0;
    const {urgency, customer} = request;
    return {
      asker,
      request,
      customer,
      urgency,
      cost: expectations.costOf(request),
      isReturning,
      waitsSince: clock.now(),
      heldUntil: heldUntil(request),
      onDidDecide,
    };
  }

  /** Places a request that need not wait for others. */
  function placeAtOnce(entry: WaitingRequest): PlacementDecision | undefined {
    if (waiting.hasUpTo(entry.urgency)) {
      return undefined;
    }
    const decision = placements.place(entry, expectations.endGapMs, false);
    if (decision?.type === 'placed' && entry.request.prompt !== undefined) {
      waiting.countStart(entry.urgency);
    }
    return decision;
  }

  function decide(entry: WaitingRequest): DecidedOrQueued {
    demand.record(entry.urgency, entry.cost, entry.isReturning);
    const decision = placeAtOnce(entry);
    if (decision !== undefined) {
      return decision;
    }
    if (waiting.size >= MAX_WAITING) {
      return placements.reject(entry, 'no-room');
    }
    if (expectations.canMeetTarget(entry, expectations.waitMs(entry))) {
      waiting.add(entry);
    } else if (mayWaitLate(entry)) {
      waiting.addLate(entry);
    } else {
      return placements.reject(entry, 'no-room');
    }
    scheduleCheck();
    return {
      type: 'queued',
      decidedWithinMs: Math.max(0, entry.heldUntil - clock.now()),
    };
  }

  function setEndpoints(endpoints: readonly SchedulableEndpoint[]): void {
    const ids = new Set(endpoints.map(({id}) => id));
    for (const [id, load] of loads) {
      if (!ids.has(id)) {
        loads.delete(id);
        state.prefixes.removeEndpoint(id);
        running.removeEndpoint(load);
      }
    }
    for (const endpoint of endpoints) {
      const load = loads.get(endpoint.id);
      if (load === undefined) {
        loads.set(endpoint.id, createEndpointLoad(clock, endpoint));
      } else {
        load.endpoint = endpoint;
      }
    }
    dispatch();
  }

  function end(asker: string, ended: PlacementEnd): void {
    const placed = running.find(asker, ended.id);
    if (ended.began !== undefined && ended.endpoint !== undefined) {
      const {id, endpoint} = ended;
      records.begin(asker, {id, endpoint, ...ended.began});
    }
    if (placed !== undefined) {
      running.remove(asker, ended.id);
      records.end(placed, ended);
    } else {
      const entry = waiting.find(asker, ended.id);
      if (entry !== undefined) {
        waiting.remove(entry);
      }
    }
    dispatch();
  }

  function adopt(asker: string, held: readonly HeldPlacement[]): void {
    running.removeAsker(asker);
    const now = clock.now();
    for (const {endpoint, ageMs, remainingMs, ...fields} of held) {
      const load = loads.get(endpoint);
      if (load !== undefined) {
        running.add(load, {
          ...fields,
          asker,
          placedAt: now - ageMs,
          expiresAt: now + remainingMs + EXPIRY_MARGIN_MS,
          promptMs: 0,
          estimatedPromptMs: 0,
          hasBegun: true,
        });
      }
    }
  }

  function dropAsker(asker: string): void {
    running.removeAsker(asker);
    waiting.ofAsker(asker).forEach(waiting.remove);
    dispatch();
  }

  return {
    setEndpoints: endpoints => delivery.run(() => setEndpoints(endpoints)),
    hasEndpoints: () => loads.size > 0,
    request(asker, request, onDidDecide) {
      const entry = toWaiting(asker, request, onDidDecide);
      return {...decide(entry), isContended: isContended()};
    },
    begin: records.begin,
    end: (asker, ended) => delivery.run(() => end(asker, ended)),
    adopt,
    dropAsker: asker => delivery.run(() => dropAsker(asker)),
    dump: () => ({
      ...counts,
      bookings: bookings.size,
      recentDemand: Number(demand.recentTotal().toFixed(3)),
      usualDemand: Number(demand.usualTotal().toFixed(3)),
      queue: waiting.dump(),
      routes: state.routeTimes.dump(),
      prompts: state.estimates.dump(),
      endpoints: Object.fromEntries(
        [...loads].map(([id, load]) => [id, load.dump()]),
      ),
    }),
    dispose: () => nextCheck?.dispose(),
  };
}
