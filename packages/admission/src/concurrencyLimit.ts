/**
 * Adaptive limits on requests at once, from measured latency.
 *
 * A service may carry less than its record allows: replicas are lost, slow or
 * cold. Requests above what it carries wait inside it, first come first served,
 * where importance no longer counts. A limit that follows the latency keeps the
 * waiting at the entry.
 */

/** What one finished request tells about the load it met. */
export interface LimitSample {
  readonly latencyMs: number;
  /** The service said or showed that it had too much. */
  readonly isOverload: boolean;
  /** The limit was in use when the request ended; else it proves nothing about more. */
  readonly isLimitUsed: boolean;
}

export interface ConcurrencyLimit {
  /** The limit now, a fraction; at least 1. */
  current(): number;
  observe(sample: LimitSample): void;
  /** The most it may be. */
  setCeiling(ceiling: number): void;
  setTarget(targetMs: number): void;
}

export type LimitPolicy = 'fixed' | 'aimd' | 'gradient';

export interface LimitOptions {
  readonly ceiling: number;
  /** Latency that users want for 95 in 100, in milliseconds. */
  readonly targetMs: number;
}

/** A limit below one would never let a request through to measure again. */
const LOWEST_LIMIT = 1;

const limitPolicies: Readonly<
  Record<LimitPolicy, (options: LimitOptions) => ConcurrencyLimit>
> = {
  fixed: createFixedLimit,
  aimd: createAimdLimit,
  gradient: createGradientLimit,
};

/**
 * Makes a limit of the given policy.
 *
 * @example
 * const limit = createConcurrencyLimit('aimd', {ceiling: 40, targetMs: 800});
 */
export function createConcurrencyLimit(
  policy: LimitPolicy,
  options: LimitOptions,
): ConcurrencyLimit {
  return limitPolicies[policy](options);
}

function clampLimit(value: number, ceiling: number): number {
  return Math.max(LOWEST_LIMIT, Math.min(value, ceiling));
}

function createFixedLimit(options: LimitOptions): ConcurrencyLimit {
  let ceiling = options.ceiling;
  return {
    current: () => clampLimit(ceiling, ceiling),
    observe() {},
    setCeiling: next => (ceiling = next),
    setTarget() {},
  };
}

/** Factor on the limit when a round of requests was too slow. */
const AIMD_DECREASE = 0.85;

/** Fraction of a round's requests above the target that means too much load; 1 in 20 may be. */
const AIMD_SLOW_FRACTION = 0.15;

/** Fewest requests in a round; fewer say too little about a fraction. */
const AIMD_LEAST_ROUND = 12;

/**
 * Additive increase, multiplicative decrease: once for each round of as many
 * requests as the limit, down when too many missed the target, else up by one.
 */
function createAimdLimit(options: LimitOptions): ConcurrencyLimit {
  let {ceiling, targetMs} = options;
  let limit = ceiling;
  let seen = 0;
  let slow = 0;
  let used = 0;
  function endRound() {
    if (slow > seen * AIMD_SLOW_FRACTION) {
      limit = clampLimit(limit * AIMD_DECREASE, ceiling);
    } else if (used > seen / 2) {
      limit = clampLimit(limit + 1, ceiling);
    }
    seen = 0;
    slow = 0;
    used = 0;
  }
  return {
    current: () => clampLimit(limit, ceiling),
    observe(sample) {
      seen += 1;
      used += sample.isLimitUsed ? 1 : 0;
      const isSlow = sample.isOverload || sample.latencyMs > targetMs;
      slow += isSlow ? 1 : 0;
      if (seen >= Math.max(limit, AIMD_LEAST_ROUND)) {
        endRound();
      }
    },
    setCeiling(next) {
      // What had no reason to be below the old ceiling starts from the new one.
      limit = limit >= ceiling ? next : Math.min(limit, next);
      ceiling = next;
    },
    setTarget: next => (targetMs = next),
  };
}

/** Weight of a new latency in the slow and the fast average. */
const GRADIENT_SLOW_WEIGHT = 1 / 600;
const GRADIENT_FAST_WEIGHT = 1 / 20;

/** The fast average may be this much above the slow one before the limit falls. */
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_SMOOTHING = 0.2;
const GRADIENT_STEEPEST = 0.5;

/** The ratio of the slow to the fast average of latency scales the limit; a square root of it probes for more. */
function createGradientLimit(options: LimitOptions): ConcurrencyLimit {
  let ceiling = options.ceiling;
  let limit = ceiling;
  let slowMs: number | undefined;
  let fastMs = 0;
  return {
    current: () => clampLimit(limit, ceiling),
    observe({latencyMs, isOverload, isLimitUsed}) {
      slowMs = slowMs === undefined ? latencyMs : slowMs;
      fastMs = fastMs === 0 ? latencyMs : fastMs;
      slowMs += (latencyMs - slowMs) * GRADIENT_SLOW_WEIGHT;
      fastMs += (latencyMs - fastMs) * GRADIENT_FAST_WEIGHT;
      if (!isLimitUsed && !isOverload) {
        return;
      }
      const ratio = (GRADIENT_TOLERANCE * slowMs) / Math.max(fastMs, 1e-6);
      const gradient = isOverload
        ? GRADIENT_STEEPEST
        : Math.max(GRADIENT_STEEPEST, Math.min(1, ratio));
      const wanted = limit * gradient + Math.sqrt(limit);
      const step = (wanted - limit) * (GRADIENT_SMOOTHING / limit);
      limit = clampLimit(limit + step, ceiling);
    },
    setCeiling(next) {
      limit = limit >= ceiling ? next : Math.min(limit, next);
      ceiling = next;
    },
    setTarget() {},
  };
}
