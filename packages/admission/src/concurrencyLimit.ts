/**
 * Adaptive concurrency limits based on measured latency.
 *
 * A service may sustain less load than its record allows: replicas are lost,
 * slow or cold. Excess requests then queue inside the service in FIFO order,
 * where urgency has no effect. A limit that follows the latency keeps excess
 * requests in the queue of the entry.
 */

/** Latency and load sample of one finished request. */
export interface LimitSample {
  readonly latencyMs: number;
  /** Whether the request failed because the service was overloaded. */
  readonly isOverload: boolean;
  /**
   * Whether the limit was reached when the request finished; only then may the
   * sample raise the limit.
   */
  readonly isLimitReached: boolean;
}

export interface ConcurrencyLimit {
  /** Returns the current limit, at least 1; not necessarily an integer. */
  currentLimit(): number;
  recordSample(sample: LimitSample): void;
  /** Sets the upper bound of the limit. */
  setCeiling(ceiling: number): void;
  setTarget(targetMs: number): void;
}

export type LimitPolicy = 'fixed' | 'aimd' | 'gradient';

export interface LimitOptions {
  readonly ceiling: number;
  /** 95th percentile latency target, in milliseconds. */
  readonly targetMs: number;
}

/** A limit below 1 would admit no request to measure latency with. */
const MIN_LIMIT = 1;

const limitPolicies: Readonly<
  Record<LimitPolicy, (options: LimitOptions) => ConcurrencyLimit>
> = {
  fixed: createFixedLimit,
  aimd: createAimdLimit,
  gradient: createGradientLimit,
};

/**
 * Creates a concurrency limit with the given policy.
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
  return Math.max(MIN_LIMIT, Math.min(value, ceiling));
}

function createFixedLimit(options: LimitOptions): ConcurrencyLimit {
  let ceiling = options.ceiling;
  return {
    currentLimit: () => clampLimit(ceiling, ceiling),
    recordSample() {},
    setCeiling: newCeiling => (ceiling = newCeiling),
    setTarget() {},
  };
}

/** Multiplier of the limit after a round with too many slow requests. */
const AIMD_DECREASE_FACTOR = 0.85;

/**
 * Fraction of slow requests in a round above which the limit is lowered; a
 * target for the 95th percentile allows 1 in 20.
 */
const AIMD_MAX_SLOW_FRACTION = 0.15;

/**
 * Minimum number of requests in a round; fewer requests give no reliable
 * fraction of slow requests.
 */
const AIMD_MIN_ROUND_SIZE = 12;

/**
 * Additive increase, multiplicative decrease. A round has as many requests as
 * the limit, but at least `AIMD_MIN_ROUND_SIZE`. After a round, the limit is
 * lowered if too many requests were slow; if not, it is raised by one if most
 * requests finished while the limit was reached.
 */
function createAimdLimit(options: LimitOptions): ConcurrencyLimit {
  let {ceiling, targetMs} = options;
  let limit = ceiling;
  let sampleCount = 0;
  let slowCount = 0;
  let limitReachedCount = 0;
  function endRound() {
    if (slowCount > sampleCount * AIMD_MAX_SLOW_FRACTION) {
      limit = clampLimit(limit * AIMD_DECREASE_FACTOR, ceiling);
    } else if (limitReachedCount > sampleCount / 2) {
      limit = clampLimit(limit + 1, ceiling);
    }
    sampleCount = 0;
    slowCount = 0;
    limitReachedCount = 0;
  }
  return {
    currentLimit: () => clampLimit(limit, ceiling),
    recordSample(sample) {
      sampleCount += 1;
      limitReachedCount += sample.isLimitReached ? 1 : 0;
      const isSlow = sample.isOverload || sample.latencyMs > targetMs;
      slowCount += isSlow ? 1 : 0;
      if (sampleCount >= Math.max(limit, AIMD_MIN_ROUND_SIZE)) {
        endRound();
      }
    },
    setCeiling(newCeiling) {
      // A limit at the old ceiling moves to the new ceiling.
      limit = limit >= ceiling ? newCeiling : Math.min(limit, newCeiling);
      ceiling = newCeiling;
    },
    setTarget: newTargetMs => (targetMs = newTargetMs),
  };
}

/** Weights of a sample in the long-term and the short-term moving average. */
const GRADIENT_LONG_TERM_WEIGHT = 1 / 600;
const GRADIENT_SHORT_TERM_WEIGHT = 1 / 20;

/**
 * Highest ratio of short-term to long-term latency that does not lower the
 * limit.
 */
const GRADIENT_TOLERANCE = 1.5;
/**
 * Fraction of the computed change applied over as many samples as the limit.
 */
const GRADIENT_SMOOTHING = 0.2;
/**
 * Lower bound of the gradient, also the gradient of a sample with an overload.
 */
const MIN_GRADIENT = 0.5;

/**
 * Scales the limit by the ratio of long-term to short-term latency, and adds
 * the square root of the limit to probe for spare capacity.
 */
function createGradientLimit(options: LimitOptions): ConcurrencyLimit {
  let ceiling = options.ceiling;
  let limit = ceiling;
  let longTermLatencyMs: number | undefined;
  let shortTermLatencyMs = 0;
  return {
    currentLimit: () => clampLimit(limit, ceiling),
    recordSample({latencyMs, isOverload, isLimitReached}) {
      longTermLatencyMs =
        longTermLatencyMs === undefined ? latencyMs : longTermLatencyMs;
      shortTermLatencyMs =
        shortTermLatencyMs === 0 ? latencyMs : shortTermLatencyMs;
      longTermLatencyMs +=
        (latencyMs - longTermLatencyMs) * GRADIENT_LONG_TERM_WEIGHT;
      shortTermLatencyMs +=
        (latencyMs - shortTermLatencyMs) * GRADIENT_SHORT_TERM_WEIGHT;
      if (!isLimitReached && !isOverload) {
        return;
      }
      const ratio =
        (GRADIENT_TOLERANCE * longTermLatencyMs) /
        Math.max(shortTermLatencyMs, 1e-6);
      const gradient = isOverload
        ? MIN_GRADIENT
        : Math.max(MIN_GRADIENT, Math.min(1, ratio));
      const targetLimit = limit * gradient + Math.sqrt(limit);
      const step = (targetLimit - limit) * (GRADIENT_SMOOTHING / limit);
      limit = clampLimit(limit + step, ceiling);
    },
    setCeiling(newCeiling) {
      limit = limit >= ceiling ? newCeiling : Math.min(limit, newCeiling);
      ceiling = newCeiling;
    },
    setTarget() {},
  };
}
