/**
 * Scheduler of one service: decides for the requests of all entries which one
 * starts next, at which endpoint, and which are rejected.
 */
import {
  scheduleRepeatedly,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import {createBookings} from './bookings.js';
import type {
  HeldPlacement,
  PlacementAnswer,
  PlacementBegin,
  PlacementDecision,
  PlacementEnd,
  PlacementRequest,
  RejectionReason,
  SchedulableEndpoint,
} from './contracts.js';
import {createDemandRates} from './demandRates.js';
import {createEndpointChoice, type PromptTime} from './endpointChoice.js';
import {
  createEndpointLoad,
  type EndpointLoad,
  type RunningRequest,
} from './endpointLoad.js';
import {createPrefixLocations} from './prefixLocations.js';
import {createRouteTimes} from './routeTimes.js';
import {
  createWaitingRequests,
  MIN_START_SHARE,
  type WaitingRequest,
} from './waitingRequests.js';

/** Decision on a request, as reported to metrics and logs. */
export interface ObservedDecision {
  readonly request: PlacementRequest;
  readonly outcome: 'placed' | RejectionReason;
  readonly waitedMs: number;
  /** Whether the request was placed after its latency target had become
   * unreachable. */
  readonly isLate: boolean;
  /** Whether its urgency got less than its minimum share of recent starts. */
  readonly isShort: boolean;
}

export interface ServiceScheduler extends Disposable {
  setEndpoints(endpoints: readonly SchedulableEndpoint[]): void;
  /** Whether the service has an endpoint. */
  hasEndpoints(): boolean;
  /**
   * Decides on a request of an entry. If it is queued, `onDidDecide` is called
   * later with the decision.
   */
  request(
    asker: string,
    request: PlacementRequest,
    onDidDecide: (decision: PlacementDecision) => void,
  ): PlacementAnswer;
  /** Applies the first byte or event of the response to a request. */
  begin(asker: string, begin: PlacementBegin): void;
  /** Applies the end of a request, whether it was placed or still waits. */
  end(asker: string, end: PlacementEnd): void;
  /** Replaces the requests in progress of an entry. */
  adopt(asker: string, held: readonly HeldPlacement[]): void;
  /** Drops all requests of an entry that is gone. */
  dropAsker(asker: string): void;
  dump(): unknown;
}

export interface ServiceSchedulerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Prompt tokens that an endpoint keeps cached; 0 for a plain service. */
  readonly cacheTokens: number;
  readonly promptTime: PromptTime;
  onDidDecide?(decision: ObservedDecision): void;
}

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

/** Time for which an endpoint that an entry did not use is avoided, in ms. */
const UNUSED_AVOIDANCE_MS = 200;

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
  const runningByKey = new Map<
    string,
    {readonly load: EndpointLoad; readonly request: RunningRequest}
  >();
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
  const counts = {placed: 0, late: 0, rejected: 0, returning: 0};

  function totalSlots(): number {
    let slots = 0;
    for (const {endpoint} of loads.values()) {
      slots += endpoint.slots;
    }
    return Math.max(1, slots);
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
    {request}: Pick<WaitingRequest, 'request'>,
    waitMs: number,
  ): boolean {
    const {firstMs} = routeTimes.timeOf(request.route);
    return clock.now() + waitMs + firstMs <= request.targetAt;
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
    addRunning(load, {
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

  function keyOf(asker: string, id: string): string {
    return `${asker}/${id}`;
  }

  function addRunning(load: EndpointLoad, request: RunningRequest): void {
    load.add(request);
    runningByKey.set(keyOf(request.asker, request.id), {load, request});
  }

  function removeRunning(key: string): void {
    const running = runningByKey.get(key);
    running?.load.running.delete(running.request);
    runningByKey.delete(key);
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
    for (const {request} of runningByKey.values()) {
      holdMs += routeTimes.timeOf(request.route).holdMs;
    }
    return holdMs / Math.max(1, runningByKey.size) ** 2;
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

  function removeExpired(): void {
    for (const load of loads.values()) {
      for (const {asker, id} of load.removeExpired()) {
        runningByKey.delete(keyOf(asker, id));
      }
    }
  }

  function check(): void {
    if (waiting.size > 0) {
      removeExpired();
      checkWaiting();
      dispatch();
    }
  }

  function dropAsker(asker: string): void {
    for (const [key, {request}] of runningByKey) {
      if (request.asker === asker) {
        removeRunning(key);
      }
    }
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
      load.avoid(UNUSED_AVOIDANCE_MS);
      loads.get(end.endpoint)?.recordOutcome(outcome);
      return;
    }
    if (outcome === 'ok') {
      routeTimes.record(request.route, 'holdMs', tookMs, load.slowness());
    }
    load.recordOutcome(outcome);
  }

  const checks = scheduleRepeatedly(clock, CHECK_INTERVAL_MS, check);
  return {
    setEndpoints(endpoints) {
      const ids = new Set(endpoints.map(({id}) => id));
      for (const [id, load] of loads) {
        if (!ids.has(id)) {
          loads.delete(id);
          prefixes.removeEndpoint(id);
          load.running.forEach(request =>
            runningByKey.delete(keyOf(request.asker, request.id)),
          );
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
      return {
        type: 'queued',
        decidedWithinMs: Math.max(0, request.deadlineAt - clock.now()),
      };
    },
    begin(asker, {id, endpoint, firstMs, load: reportedLoad}) {
      const load = loads.get(endpoint);
      const running = runningByKey.get(keyOf(asker, id));
      if (load !== undefined && running?.load === load) {
        const {route} = running.request;
        running.request.hasBegun = true;
        const usualMs = routeTimes.timeOf(route).firstMs * load.slowness();
        if (usualMs > 0) {
          load.recordSpeed(firstMs / usualMs);
        }
        routeTimes.record(route, 'firstMs', firstMs, load.slowness());
      }
      if (reportedLoad !== undefined) {
        load?.recordReport(reportedLoad);
      }
    },
    end(asker, end) {
      const key = keyOf(asker, end.id);
      const running = runningByKey.get(key);
      if (running !== undefined) {
        removeRunning(key);
        recordEnd(running.load, running.request, end);
      } else {
        const entry = waiting.find(asker, end.id);
        if (entry !== undefined) {
          waiting.remove(entry);
        }
      }
      dispatch();
    },
    adopt(asker, held) {
      dropAsker(asker);
      const now = clock.now();
      for (const {id, endpoint, route, urgency, ageMs, remainingMs} of held) {
        const load = loads.get(endpoint);
        if (load !== undefined) {
          addRunning(load, {
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
    dispose: () => checks.dispose(),
  };
}
