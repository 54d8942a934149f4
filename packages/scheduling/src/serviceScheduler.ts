/**
 * Scheduler of one service: decides for the requests of all entries which one
 * starts next, at which endpoint, and which are rejected.
 */
import type {Disposable} from '@skylarkfield/base';
import {createBookings} from './bookings.js';
import type {
  PlacementBegin,
  PlacementDecision,
  PlacementEnd,
  PlacementRequest,
  RejectionReason,
} from './contracts.js';
import {createDemandRates} from './demandRates.js';
import {createEndpointChoice} from './endpointChoice.js';
import {
  createEndpointLoad,
  type EndpointLoad,
  type RunningRequest,
} from './endpointLoad.js';
import {createPrefixLocations} from './prefixLocations.js';
import type {
  ServiceScheduler,
  ServiceSchedulerOptions,
} from './schedulerContracts.js';
import {createRouteTimes} from './routeTimes.js';
import {createRunningRequests} from './runningRequests.js';
import {
  createWaitingRequests,
  MIN_START_SHARE,
  type WaitingRequest,
} from './waitingRequests.js';

type DecidedOrQueued =
  | PlacementDecision
  | {readonly type: 'queued'; readonly decidedWithinMs: number};

/** Fraction of the slots from which on a service is contended. */
const CONTENDED_FRACTION = 0.8;

/** Time after its last shortage for which a service is contended, in ms. */
const CONTENDED_MS = 1_000;

/**
 * Fraction of the time until its latency target that a request must be expected
 * to have left: between entries, endpoints and callers messages are late where
 * processes are busy, and a response that just misses its target has cost
 * another one its place.
 */
const TARGET_MARGIN = 0.3;

/** Interval at which waiting requests are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** Time after its deadline at which a request is taken for ended, in ms. */
const EXPIRY_MARGIN_MS = 1_000;

/**
 * Fraction of the time until its deadline within which a late request must be
 * expected to start, since the response takes time as well.
 */
const LATE_WAIT_FRACTION = 0.6;

/** Fraction of the service that must be free for requests to wait that are late. */
const MIN_SPARE_FRACTION = 0.05;

/** Fraction of the service that all requests together may use in usual times. */
const BOOKABLE_FRACTION = 0.95;

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
  const {clock, random} = options;
  const loads = new Map<string, EndpointLoad>();
  const running = createRunningRequests();
  const waiting = createWaitingRequests();
  const demand = createDemandRates(clock);
  const bookings = createBookings(clock);
  const routeTimes = createRouteTimes();
  const prefixes = createPrefixLocations(options.cacheTokens);
  const choice = createEndpointChoice({
    random,
    routeTimes,
    prefixes,
    promptTime: options.promptTime,
  });
  let lastShortageAt = -Infinity;
  let nextCheck: Disposable | undefined;
  const counts = {placed: 0, late: 0, rejected: 0, returning: 0};

  function totalSlots(): number {
    let slots = 0;
    for (const {endpoint} of loads.values()) {
      slots += endpoint.slots;
    }
    return Math.max(1, slots);
  }

  function isContended(): boolean {
    let takenSlots = 0;
    for (const load of loads.values()) {
      takenSlots += load.takenSlots();
    }
    if (waiting.size > 0 || takenSlots >= totalSlots() * CONTENDED_FRACTION) {
      lastShortageAt = clock.now();
    }
    return clock.now() - lastShortageAt < CONTENDED_MS;
  }

  /** Returns the time of the whole service that a request takes, in ms. */
  function costOf({route, prompt}: PlacementRequest): number {
    const slotMs = routeTimes.timeOf(route).holdMs / totalSlots();
    const promptMs =
      prompt === undefined
        ? 0
        : options.promptTime(prompt, prompt.promptTokens - prompt.ownTokens) /
          Math.max(1, loads.size);
    return Math.max(slotMs, promptMs);
  }

  /**
   * Returns the time after which a waiting request is expected to start: what
   * more urgent requests leave, or the minimum share of its urgency.
   */
  function expectedWaitMs(incoming: WaitingRequest): number {
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
  }

  function canMeetTarget(
    {request, waitsSince}: WaitingRequest,
    waitMs: number,
  ): boolean {
    const {firstMs} = routeTimes.timeOf(request.route);
    const marginMs = (request.targetAt - waitsSince) * TARGET_MARGIN;
    return clock.now() + waitMs + firstMs <= request.targetAt - marginMs;
  }

  /** Whether a request that misses its target is expected to be served. */
  function canMeetDeadline({request, cost}: WaitingRequest): boolean {
    const spare = 1 - demand.recentTotal();
    if (spare < MIN_SPARE_FRACTION) {
      return false;
    }
    const waitMs = (waiting.lateCost() + cost) / spare;
    const remainingMs = request.deadlineAt - clock.now();
    return waitMs <= remainingMs * LATE_WAIT_FRACTION;
  }

  function place(
    entry: WaitingRequest,
    waitMs: number,
    isLate: boolean,
  ): PlacementDecision | undefined {
    const {asker, request} = entry;
    const chosen = choice.choose(request, loads.values(), waitMs);
    if (chosen === undefined) {
      return undefined;
    }
    const {load, promptMs} = chosen;
    const now = clock.now();
    running.add(load, {
      asker,
      id: request.id,
      route: request.route,
      urgency: request.urgency,
      placedAt: now,
      expiresAt: request.deadlineAt + EXPIRY_MARGIN_MS,
      promptMs,
      hasBegun: false,
    });
    if (request.prompt !== undefined) {
      prefixes.record(load.endpoint.id, request.prompt);
    }
    counts.placed += 1;
    counts.late += isLate ? 1 : 0;
    options.onDidDecide?.({
      request,
      outcome: 'placed',
      waitedMs: now - entry.waitsSince,
      isLate,
      isShort: false,
    });
    return {type: 'placed', endpoint: load.endpoint.id};
  }

  function reject(
    {request, cost, waitsSince}: WaitingRequest,
    reason: RejectionReason,
  ): PlacementDecision {
    const freeFraction = BOOKABLE_FRACTION - demand.usualTotal();
    const retryAfterMs = bookings.book(
      {costMs: cost, fingerprint: request.fingerprint},
      freeFraction,
    );
    counts.rejected += 1;
    options.onDidDecide?.({
      request,
      outcome: reason,
      waitedMs: clock.now() - waitsSince,
      isLate: false,
      isShort: waiting.isShort(request.urgency),
    });
    const {urgency, prompt, unasked = []} = request;
    if (reason !== 'no-room' || prompt !== undefined) {
      // Requests to models differ too much to be rejected alike.
      return {type: 'rejected', reason, retryAfterMs};
    }
    demand.record(urgency, cost * unasked.length, false);
    const closed = bookings.close(
      {urgency, costMs: cost, unasked},
      freeFraction,
    );
    return {type: 'rejected', reason, retryAfterMs, closed};
  }

  /** Starts waiting requests while endpoints have room. */
  function dispatch(): void {
    for (;;) {
      const next = waiting.next();
      if (next === undefined) {
        return;
      }
      // A slow endpoint helps once the others cannot serve all that wait.
      const waitMs = Math.max(expectedGapMs(), waiting.timelyCost());
      const decision = place(next, waitMs, waiting.isLate(next));
      if (decision === undefined) {
        return;
      }
      waiting.start(next);
      next.onDidDecide(decision);
    }
  }

  /** Returns the mean time between two ends of running requests, in ms. */
  function expectedGapMs(): number {
    let holdMs = 0;
    for (const {request} of running.values()) {
      holdMs += routeTimes.timeOf(request.route).holdMs;
    }
    return holdMs / Math.max(1, running.size) ** 2;
  }

  /** Rejects or demotes requests that can no longer be served as expected. */
  function checkWaiting(): void {
    for (const entry of waiting.timely()) {
      if (canMeetTarget(entry, 0)) {
        continue;
      }
      waiting.remove(entry);
      if (canMeetDeadline(entry)) {
        waiting.addLate(entry);
      } else {
        entry.onDidDecide(reject(entry, 'waited-in-vain'));
      }
    }
    for (const entry of waiting.late()) {
      const {firstMs} = routeTimes.timeOf(entry.request.route);
      if (clock.now() + firstMs > entry.request.deadlineAt) {
        waiting.remove(entry);
        entry.onDidDecide(reject(entry, 'waited-in-vain'));
      }
    }
  }

  function check(): void {
    running.removeExpired(loads.values());
    checkWaiting();
    dispatch();
    if (waiting.size > 0) {
      scheduleCheck();
    }
  }

  function dropAsker(asker: string): void {
    running.removeAsker(asker);
    for (const entry of [...waiting.timely(), ...waiting.late()]) {
      if (entry.asker === asker) {
        waiting.remove(entry);
      }
    }
  }

  function recordEnd(
    load: EndpointLoad,
    request: RunningRequest,
    end: PlacementEnd,
  ): void {
    const {outcome, tookMs} = end;
    if (end.endpoint !== undefined && end.endpoint !== load.endpoint.id) {
      loads.get(end.endpoint)?.recordOutcome(outcome);
      return;
    }
    if (outcome === 'ok') {
      routeTimes.record(request.route, 'holdMs', tookMs, load.slowness());
    }
    load.recordOutcome(outcome);
  }

  function decide(
    asker: string,
    request: PlacementRequest,
    onDidDecide: (decision: PlacementDecision) => void,
  ): DecidedOrQueued {
    const isReturning = bookings.redeem(request.fingerprint);
    counts.returning += isReturning ? 1 : 0;
    const {urgency, customer} = request;
    const entry: WaitingRequest = {
      asker,
      request,
      customer,
      urgency,
      cost: costOf(request),
      isReturning,
      waitsSince: clock.now(),
      onDidDecide,
    };
    demand.record(urgency, entry.cost, isReturning);
    if (!waiting.hasUpTo(urgency)) {
      const decision = place(entry, expectedGapMs(), false);
      if (decision !== undefined) {
        return decision;
      }
    }
    if (waiting.size >= MAX_WAITING) {
      return reject(entry, 'no-room');
    }
    if (canMeetTarget(entry, expectedWaitMs(entry))) {
      waiting.add(entry);
    } else if (canMeetDeadline(entry)) {
      waiting.addLate(entry);
    } else {
      return reject(entry, 'no-room');
    }
    scheduleCheck();
    return {
      type: 'queued',
      decidedWithinMs: Math.max(0, request.deadlineAt - clock.now()),
    };
  }

  function begin(
    asker: string,
    {id, endpoint, firstMs, load: reportedLoad}: PlacementBegin,
  ): void {
    const load = loads.get(endpoint);
    const placed = running.find(asker, id);
    if (load !== undefined && placed?.load === load) {
      const {route} = placed.request;
      placed.request.hasBegun = true;
      const usualMs = routeTimes.timeOf(route).firstMs * load.slowness();
      if (usualMs > 0) {
        load.recordSpeed(firstMs / usualMs);
      }
      routeTimes.record(route, 'firstMs', firstMs, load.slowness());
    }
    if (reportedLoad !== undefined) {
      load?.recordReport(reportedLoad);
    }
  }

  /** Checks waiting requests for as long as there are any. */
  function scheduleCheck(): void {
    nextCheck ??= clock.after(CHECK_INTERVAL_MS, () => {
      nextCheck = undefined;
      check();
    });
  }

  return {
    setEndpoints(endpoints) {
      const ids = new Set(endpoints.map(({id}) => id));
      for (const [id, load] of loads) {
        if (!ids.has(id)) {
          loads.delete(id);
          prefixes.removeEndpoint(id);
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
    },
    hasEndpoints: () => loads.size > 0,
    request(asker, request, onDidDecide) {
      const decided = decide(asker, request, onDidDecide);
      return {...decided, isContended: isContended()};
    },
    begin,
    end(asker, end) {
      const placed = running.find(asker, end.id);
      if (end.began !== undefined && end.endpoint !== undefined) {
        const {id, endpoint} = end;
        begin(asker, {id, endpoint, ...end.began});
      }
      if (placed !== undefined) {
        running.remove(asker, end.id);
        recordEnd(placed.load, placed.request, end);
      } else {
        const entry = waiting.find(asker, end.id);
        if (entry !== undefined) {
          waiting.remove(entry);
        }
      }
      dispatch();
    },
    adopt(asker, held) {
      running.removeAsker(asker);
      const now = clock.now();
      for (const {id, endpoint, route, urgency, ageMs, remainingMs} of held) {
        const load = loads.get(endpoint);
        if (load !== undefined) {
          running.add(load, {
            asker,
            id,
            route,
            urgency,
            placedAt: now - ageMs,
            expiresAt: now + remainingMs + EXPIRY_MARGIN_MS,
            promptMs: 0,
            hasBegun: true,
          });
        }
      }
    },
    dropAsker(asker) {
      dropAsker(asker);
      dispatch();
    },
    dump: () => ({
      ...counts,
      bookings: bookings.size,
      recentDemand: Number(demand.recentTotal().toFixed(3)),
      usualDemand: Number(demand.usualTotal().toFixed(3)),
      queue: waiting.dump(),
      routes: routeTimes.dump(),
      endpoints: Object.fromEntries(
        [...loads].map(([id, load]) => [id, load.dump()]),
      ),
    }),
    dispose: () => nextCheck?.dispose(),
  };
}
