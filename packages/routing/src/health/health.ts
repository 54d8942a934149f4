/** Tracks an endpoint's attempt results, and its ejection and recovery. */
import type {Clock, Random} from '@skylarkfield/base';
import type {AttemptResult} from '@skylarkfield/endpoints';
import {createHealthStateMachine, type HealthState} from './healthMachine.js';

/** Health of one endpoint. */
export interface Health {
  readonly state: HealthState;
  /** Whether the endpoint may receive a request now. */
  allowsRequest(): boolean;
  /** Whether a request should be sent now to probe for recovery. */
  needsProbe(): boolean;
  /** Records that a request was sent to the endpoint. */
  recordRequestSent(): void;
  /**
   * Records the outcome of an attempt; the ratio is actual to expected latency.
   */
  recordOutcome(outcome: AttemptResult['outcome'], latencyRatio: number): void;
  /** Records that the endpoint answered a load poll. */
  recordReport(): void;
  eject(): void;
  /**
   * Requires a probe, because the endpoint's failure domain looks lost; one
   * successful request ends probing.
   */
  requireProbe(): void;
  /** Withdraws all failures and an ejection, since they are no evidence. */
  forgive(): void;
  markLeaving(): void;
  readonly stats: HealthStats;
}

/** Statistics that ejection decisions are based on. */
export interface HealthStats {
  /** Consecutive failed or unreachable attempts. */
  readonly failuresInRow: number;
  /** Consecutive attempts or load polls that could not reach the endpoint. */
  readonly unreachableInRow: number;
  /** Exponentially smoothed share of failed attempts. */
  readonly failureRate: number;
  /** Exponentially smoothed ratio of actual to expected latency. */
  readonly slowness: number;
  /** Attempts and failed load polls since the last ejection or recovery. */
  readonly samples: number;
}

/** Weight of the newest sample in the moving averages. */
const SMOOTHING_FACTOR = 0.1;
/**
 * Upper bound of a latency ratio, so that one late response cannot dominate.
 */
const MAX_LATENCY_RATIO_SAMPLE = 20;
/**
 * Duration of the first ejection; each consecutive ejection is twice as long,
 * up to `MAX_EJECTION_MS`.
 */
const BASE_EJECTION_MS = 1500;
const MAX_EJECTION_MS = 45_000;
/** Consecutive successes that end probing. */
const PROBE_SUCCESSES = 2;
/** Consecutive successes that reset the ejection backoff. */
const BACKOFF_RESET_SUCCESSES = 200;

/**
 * Creates the health state of an endpoint, initially live.
 *
 * @example
 * const health = createHealth({clock, random, recoversOnReport: false});
 * health.recordOutcome('failed', 1);
 */
export function createHealth(options: {
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Whether a load report ends probing, as for plain services, whose requests
   * must not be used as probes.
   */
  readonly recoversOnReport: boolean;
}): Health {
  const {clock, random, recoversOnReport} = options;
  const machine = createHealthStateMachine();
  let probesInFlight = 0;
  let successesInRow = 0;
  let consecutiveEjections = 0;
  let ejectedUntilMs = 0;
  let stats = initialStats();

  function initialStats(): {-readonly [K in keyof HealthStats]: number} {
    return {
      failuresInRow: 0,
      unreachableInRow: 0,
      failureRate: 0,
      slowness: 1,
      samples: 0,
    };
  }

  function endExpiredEjection() {
    if (machine.current === 'ejected' && clock.now() >= ejectedUntilMs) {
      machine.send('probe');
      probesInFlight = 0;
      successesInRow = 0;
    }
  }

  function eject() {
    if (machine.current === 'ejected' || machine.current === 'leaving') {
      return;
    }
    const durationMs = Math.min(
      MAX_EJECTION_MS,
      BASE_EJECTION_MS * 2 ** consecutiveEjections,
    );
    // Jitter, so that entries that eject the endpoint at the same time do not
    // probe it at the same time.
    ejectedUntilMs = clock.now() + durationMs * (0.75 + random.next() / 2);
    consecutiveEjections += 1;
    stats = initialStats();
    machine.send('eject');
  }

  function recover() {
    machine.send('recover');
    stats = initialStats();
  }

  function recordSuccess(latencyRatio: number) {
    successesInRow += 1;
    stats.failuresInRow = 0;
    stats.unreachableInRow = 0;
    stats.failureRate *= 1 - SMOOTHING_FACTOR;
    const sample = Math.min(latencyRatio, MAX_LATENCY_RATIO_SAMPLE);
    stats.slowness += (sample - stats.slowness) * SMOOTHING_FACTOR;
    if (successesInRow >= BACKOFF_RESET_SUCCESSES) {
      consecutiveEjections = 0;
    }
    if (machine.current === 'probing' && successesInRow >= PROBE_SUCCESSES) {
      recover();
    }
  }

  function recordFailure(isUnreachable: boolean) {
    successesInRow = 0;
    stats.failuresInRow += 1;
    stats.unreachableInRow = isUnreachable ? stats.unreachableInRow + 1 : 0;
    stats.failureRate += (1 - stats.failureRate) * SMOOTHING_FACTOR;
    if (machine.current === 'probing') {
      eject();
    }
  }

  const outcomeHandlers: Record<
    AttemptResult['outcome'],
    ((latencyRatio: number) => void) | undefined
  > = {
    ok: recordSuccess,
    failed: () => recordFailure(false),
    unreachable: () => recordFailure(true),
    overloaded: undefined,
    cancelled: undefined,
  };

  return {
    get state() {
      endExpiredEjection();
      return machine.current;
    },
    allowsRequest() {
      endExpiredEjection();
      if (machine.current === 'probing') {
        return probesInFlight === 0;
      }
      return machine.current === 'live';
    },
    needsProbe() {
      endExpiredEjection();
      return (
        machine.current === 'probing' &&
        probesInFlight === 0 &&
        !recoversOnReport
      );
    },
    recordRequestSent() {
      probesInFlight += 1;
    },
    recordOutcome(outcome, latencyRatio) {
      probesInFlight = Math.max(0, probesInFlight - 1);
      const handler = outcomeHandlers[outcome];
      if (handler !== undefined) {
        stats.samples += 1;
        handler(latencyRatio);
      }
    },
    recordReport() {
      endExpiredEjection();
      if (recoversOnReport && machine.current === 'probing') {
        recover();
      }
    },
    eject,
    requireProbe() {
      machine.send('requireProbe');
      successesInRow = PROBE_SUCCESSES - 1;
    },
    forgive() {
      machine.send('probe');
      recover();
      consecutiveEjections = 0;
    },
    markLeaving: () => machine.send('leave'),
    get stats() {
      return stats;
    },
  };
}
