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
import {createPromptBacklog} from './promptBacklog.js';

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
  /** The same as it is known without measured times and the endpoint. */
  readonly estimatedPromptMs: number;
  /** Whether the response has begun. */
  hasBegun: boolean;
}

export interface EndpointLoad {
  endpoint: SchedulableEndpoint;
  readonly running: ReadonlySet<RunningRequest>;
  /** Returns the slots that are taken, by requests of others as well. */
  takenSlots(): number;
  /** Whether the endpoint has failed or was full a moment ago. */
  isAvoided(): boolean;
  /** Whether a further request may be placed. */
  hasRoom(extraSlots: number): boolean;
  /**
   * Whether a request would get a slot of an engine whose slots are taken, since
   * it is more urgent than others there.
   */
  canPreempt(urgency: number): boolean;
  /** Returns the running requests that are more urgent. */
  moreUrgentCount(urgency: number): number;
  /** Returns how long work takes, relative to an endpoint of usual speed. */
  slowness(): number;
  /**
   * Returns the slowness of an engine. Its reports may include how fast it always
   * is, so without a recent one the mean of all counts.
   */
  engineSlowness(): number;
  /** Returns the part of the slowness that is learned and not reported. */
  learnedSlowness(): number;
  /** Returns the part of the slowness that passes within a second or so. */
  passingSlowness(): number;
  /** Returns the prompt work that is done before a new prompt, in ms. */
  promptWaitMs(urgency: number): number;
  /** Returns all prompt work, in milliseconds. */
  promptBacklogMs(): number;
  add(request: RunningRequest): void;
  remove(request: RunningRequest): void;
  /**
   * Records that a response has begun. Returns the work on prompts that was
   * expected to be done before this one, in milliseconds; undefined if it had no
   * prompt to read.
   */
  recordBegin(request: RunningRequest): number | undefined;
  /** Records the time to the first byte relative to the usual time. */
  recordSpeed(ratio: number): void;
  /**
   * Records the time to the first event of a prompt, and the time at an engine of
   * usual speed, both in milliseconds.
   */
  recordPromptSpeed(firstMs: number, usualMs: number, weight: number): void;
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

/** Weight of a report in the mean of the reported slowness. */
const MEAN_REPORT_WEIGHT = 0.03;

/** Bounds of slowness. */
const MIN_SLOWNESS = 0.25;
const MAX_SLOWNESS = 10;

/** Weight of a request in the learned speed, and the bounds of the speed. */
const SPEED_SAMPLE_WEIGHT = 0.05;
const MIN_SPEED = 0.4;
const MAX_SPEED = 3;
/** Weight of the usual speed, so that the speeds of all do not drift together. */
const USUAL_SPEED_WEIGHT = 0.002;

/**
 * Measured time that the usual speed of an engine counts for, and the fraction
 * of the weight that earlier prompts keep: a few prompts of common length show
 * the speed, and a long one counts more than a short one.
 */
const USUAL_PROMPT_MS = 60;
const KEPT_PROMPT_WEIGHT = 0.95;

/** Reports that must agree that others use an endpoint, and their lifetime. */
const REPORT_COUNT = 3;
const REPORT_TTL_MS = 1_000;

/** Requests per slot at an engine where a request preempts others. */
const MAX_FILL = 1.5;

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
  const countByUrgency = new Int32Array(URGENCY_COUNT);
  const backlog = createPromptBacklog(clock);
  const promptTimes = {firstMs: 0, usualMs: 0};
  /** Requests of others that the endpoint has reported, newest last. */
  let foreignCounts: {readonly count: number; readonly atMs: number}[] = [];
  let reportedSlowness = 1;
  let slownessReportedAt = -Infinity;
  let meanReportedSlowness = 1;
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

  /** Returns the reported slowness, which approaches its usual value again. */
  function slownessTowards(usual: number): number {
    const ageMs = clock.now() - slownessReportedAt;
    const recency = 2 ** (-ageMs / SLOWNESS_HALF_LIFE_MS);
    return usual + (reportedSlowness - usual) * recency;
  }

  const currentSlowness = () => slownessTowards(1);

  function recordSlowness(slowness: number): void {
    reportedSlowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
    slownessReportedAt = clock.now();
    meanReportedSlowness +=
      (reportedSlowness - meanReportedSlowness) * MEAN_REPORT_WEIGHT;
  }

  function countUpTo(urgency: number): number {
    let count = 0;
    for (let index = 0; index <= urgency; index++) {
      count += countByUrgency[index]!;
    }
    return count;
  }

  function remove(request: RunningRequest): void {
    if (running.delete(request)) {
      const {urgency} = request;
      countByUrgency[urgency] = countByUrgency[urgency]! - 1;
      backlog.remove(request);
    }
  }

  function setLearnedSlowness(learned: number): void {
    learnedSlowness = Math.min(MAX_SPEED, Math.max(MIN_SPEED, learned));
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
    engineSlowness: () =>
      learnedSlowness * slownessTowards(meanReportedSlowness),
    learnedSlowness: () => learnedSlowness,
    passingSlowness: currentSlowness,
    canPreempt: urgency =>
      countUpTo(urgency) + foreignCount() < load.endpoint.slots &&
      running.size < load.endpoint.slots * MAX_FILL,
    moreUrgentCount: urgency => countUpTo(urgency - 1),
    promptWaitMs: backlog.waitMs,
    promptBacklogMs: backlog.totalMs,
    add(request) {
      const {urgency, estimatedPromptMs, hasBegun} = request;
      countByUrgency[urgency] = countByUrgency[urgency]! + 1;
      running.add(request);
      if (estimatedPromptMs > 0 && !hasBegun) {
        backlog.add(request);
      }
    },
    remove,
    recordBegin(request) {
      request.hasBegun = true;
      return backlog.remove(request);
    },
    recordSpeed(ratio) {
      const sample = learnedSlowness * ratio;
      const learned =
        learnedSlowness +
        (sample - learnedSlowness) * SPEED_SAMPLE_WEIGHT +
        (1 - learnedSlowness) * USUAL_SPEED_WEIGHT;
      setLearnedSlowness(learned);
    },
    recordPromptSpeed(firstMs, usualMs, weight) {
      const kept = KEPT_PROMPT_WEIGHT ** weight;
      promptTimes.firstMs = promptTimes.firstMs * kept + firstMs * weight;
      promptTimes.usualMs = promptTimes.usualMs * kept + usualMs * weight;
      setLearnedSlowness(
        (promptTimes.firstMs + USUAL_PROMPT_MS) /
          (promptTimes.usualMs + USUAL_PROMPT_MS),
      );
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
        recordSlowness(slowness);
      }
    },
    avoid(spanMs) {
      avoidedUntil = Math.max(avoidedUntil, clock.now() + spanMs);
    },
    removeExpired() {
      const now = clock.now();
      const expired = [...running].filter(({expiresAt}) => expiresAt <= now);
      expired.forEach(remove);
      return expired;
    },
    dump: () => ({
      running: running.size,
      others: foreignCount(),
      slots: load.endpoint.slots,
      slowness: Number((learnedSlowness * currentSlowness()).toFixed(2)),
      promptBacklogMs: Math.round(backlog.totalMs()),
      avoidedMs: Math.max(0, Math.round(avoidedUntil - clock.now())),
    }),
  };
  return load;
}
