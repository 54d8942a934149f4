/**
 * Load of one endpoint as its scheduler knows it: the requests that it has
 * placed there, what the endpoint reports, and how fast it works at present.
 */
import type {Clock} from '@skylarkfield/base';
import {URGENCY_COUNT} from '@skylarkfield/admission';
import type {
  PlacementOutcome,
  ReportedLoad,
  SchedulableEndpoint,
} from './contracts.js';

/** A request that runs at an endpoint. */
export interface RunningRequest {
  readonly asker: string;
  readonly id: string;
  readonly route: string;
  readonly urgency: number;
  /** Monotonic milliseconds. */
  readonly placedAt: number;
  /** Monotonic milliseconds after which the request cannot run any more. */
  readonly expiresAt: number;
  /** Expected time to read the prompt; 0 without a prompt, in milliseconds. */
  readonly promptMs: number;
  /** Whether the response has begun. */
  hasBegun: boolean;
}

export interface EndpointLoad {
  endpoint: SchedulableEndpoint;
  readonly running: Set<RunningRequest>;
  /** Returns the slots that are taken, by requests of others as well. */
  takenSlots(): number;
  /** Whether the endpoint has failed or was full a moment ago. */
  isAvoided(): boolean;
  /** Whether a further request may be placed. */
  hasRoom(extraSlots: number): boolean;
  /** Returns how long work takes, relative to an endpoint of usual speed. */
  slowness(): number;
  /** Returns the part of the slowness that passes within a second or so. */
  passingSlowness(): number;
  /** Returns the prompt work that is done before a new prompt, in ms. */
  promptWaitMs(urgency: number): number;
  /** Returns all prompt work, in milliseconds. */
  promptBacklogMs(): number;
  add(request: RunningRequest): void;
  /** Records the time to the first byte relative to the usual time. */
  recordSpeed(ratio: number): void;
  recordOutcome(outcome: PlacementOutcome): void;
  recordReport(load: ReportedLoad): void;
  /** Places no requests for a time, in milliseconds. */
  avoid(spanMs: number): void;
  /** Removes and returns the requests whose deadline has passed. */
  removeExpired(): readonly RunningRequest[];
  dump(): unknown;
}

/**
 * Half-life of a reported slowness, in milliseconds: hosts are slow for some
 * hundred milliseconds, and an endpoint that gets no requests reports nothing.
 */
const SLOWNESS_HALF_LIFE_MS = 400;

/** Bounds of slowness. */
const MIN_SLOWNESS = 0.25;
const MAX_SLOWNESS = 10;

/** Weight of a request in the learned speed, and the bounds of the speed. */
const SPEED_SAMPLE_WEIGHT = 0.05;
const MIN_SPEED = 0.4;
const MAX_SPEED = 3;
/** Weight of the usual speed, so that the speeds of all do not drift together. */
const USUAL_SPEED_WEIGHT = 0.002;

/** Reports that must agree that others use an endpoint, and their lifetime. */
const REPORT_COUNT = 3;
const REPORT_TTL_MS = 1_000;

/** Failures in a row after which an endpoint is avoided. */
const MAX_FAILURES = 2;
const FIRST_AVOIDANCE_MS = 300;
const MAX_AVOIDANCE_MS = 8_000;

/** Time for which an endpoint that was full is avoided, in milliseconds. */
const FULL_AVOIDANCE_MS = 50;

/**
 * Creates the load of an endpoint without requests.
 *
 * @example
 * const load = createEndpointLoad(clock, {id: 'i-1@7', slots: 6, failureDomain: 'a'});
 */
export function createEndpointLoad(
  clock: Clock,
  initialEndpoint: SchedulableEndpoint,
): EndpointLoad {
  const running = new Set<RunningRequest>();
  const promptMsByUrgency = new Float64Array(URGENCY_COUNT);
  let promptsDrainedAt = clock.now();
  /** Requests of others that the endpoint has reported, newest last. */
  let foreignCounts: {readonly count: number; readonly atMs: number}[] = [];
  let reportedSlowness = 1;
  let slownessReportedAt = -Infinity;
  let learnedSlowness = 1;
  let failures = 0;
  let avoidedUntil = -Infinity;

  function foreignCount(): number {
    const oldestAt = clock.now() - REPORT_TTL_MS;
    foreignCounts = foreignCounts.filter(({atMs}) => atMs >= oldestAt);
    if (foreignCounts.length < REPORT_COUNT) {
      return 0;
    }
    // The smallest of several, since a report counts requests that have ended
    // since. One slot is left whatever an endpoint reports.
    const smallest = Math.min(...foreignCounts.map(({count}) => count));
    return Math.min(smallest, load.endpoint.slots - 1);
  }

  function currentSlowness(): number {
    const ageMs = clock.now() - slownessReportedAt;
    return 1 + (reportedSlowness - 1) * 2 ** (-ageMs / SLOWNESS_HALF_LIFE_MS);
  }

  /** Subtracts the prompt work done since the last call, most urgent first. */
  function drainPrompts(): void {
    const now = clock.now();
    let doneMs = now - promptsDrainedAt;
    promptsDrainedAt = now;
    for (let urgency = 0; urgency < URGENCY_COUNT && doneMs > 0; urgency++) {
      const pendingMs = promptMsByUrgency[urgency]!;
      promptMsByUrgency[urgency] = Math.max(0, pendingMs - doneMs);
      doneMs -= pendingMs;
    }
  }

  /**
   * Returns the prompt work of the first urgencies: what is left if the endpoint
   * reads as fast as expected, but no more than what responses that have not
   * begun need, as it may be faster.
   */
  function promptSum(end: number): number {
    drainPrompts();
    let pendingMs = 0;
    for (let urgency = 0; urgency < end; urgency++) {
      pendingMs += promptMsByUrgency[urgency]!;
    }
    let unbegunMs = 0;
    for (const {hasBegun, urgency, promptMs} of running) {
      unbegunMs += hasBegun || urgency >= end ? 0 : promptMs;
    }
    return Math.min(pendingMs, unbegunMs);
  }

  function recordFailure(): void {
    failures += 1;
    if (failures < MAX_FAILURES) {
      return;
    }
    const spanMs = FIRST_AVOIDANCE_MS * 2 ** (failures - MAX_FAILURES);
    load.avoid(Math.min(MAX_AVOIDANCE_MS, spanMs));
  }

  const handleOutcome: Readonly<Record<PlacementOutcome, () => void>> = {
    ok: () => (failures = 0),
    failed: recordFailure,
    unreachable: recordFailure,
    overloaded: () => load.avoid(FULL_AVOIDANCE_MS),
    cancelled: () => {},
  };

  const load: EndpointLoad = {
    endpoint: initialEndpoint,
    running,
    takenSlots: () => running.size + foreignCount(),
    isAvoided: () => clock.now() < avoidedUntil,
    hasRoom: extraSlots => load.takenSlots() < load.endpoint.slots + extraSlots,
    slowness: () => learnedSlowness * currentSlowness(),
    passingSlowness: currentSlowness,
    promptWaitMs: urgency => promptSum(urgency + 1),
    promptBacklogMs: () => promptSum(URGENCY_COUNT),
    add(request) {
      drainPrompts();
      const {urgency, promptMs} = request;
      promptMsByUrgency[urgency] = promptMsByUrgency[urgency]! + promptMs;
      running.add(request);
    },
    recordSpeed(ratio) {
      const sample = learnedSlowness * ratio;
      const learned =
        learnedSlowness +
        (sample - learnedSlowness) * SPEED_SAMPLE_WEIGHT +
        (1 - learnedSlowness) * USUAL_SPEED_WEIGHT;
      learnedSlowness = Math.min(MAX_SPEED, Math.max(MIN_SPEED, learned));
    },
    recordOutcome: outcome => handleOutcome[outcome](),
    recordReport({running: reported, waiting, slowness}) {
      if (!Number.isFinite(reported + waiting)) {
        return;
      }
      // The report may still count the request whose response carries it.
      const count = Math.max(0, reported + waiting - running.size - 1);
      foreignCounts.push({count, atMs: clock.now()});
      foreignCounts.splice(0, foreignCounts.length - REPORT_COUNT);
      if (slowness !== undefined && Number.isFinite(slowness)) {
        reportedSlowness = Math.min(
          MAX_SLOWNESS,
          Math.max(MIN_SLOWNESS, slowness),
        );
        slownessReportedAt = clock.now();
      }
    },
    avoid(spanMs) {
      avoidedUntil = Math.max(avoidedUntil, clock.now() + spanMs);
    },
    removeExpired() {
      const now = clock.now();
      const expired = [...running].filter(({expiresAt}) => expiresAt <= now);
      expired.forEach(request => running.delete(request));
      return expired;
    },
    dump: () => ({
      running: running.size,
      others: foreignCount(),
      slots: load.endpoint.slots,
      slowness: Number((learnedSlowness * currentSlowness()).toFixed(2)),
      promptBacklogMs: Math.round(promptSum(URGENCY_COUNT)),
      avoidedMs: Math.max(0, Math.round(avoidedUntil - clock.now())),
    }),
  };
  return load;
}
