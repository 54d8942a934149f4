/**
 * Estimated cost of a model request, relative to the service's mean.
 *
 * Fair queuing divides capacity among customers by cost. With equal costs, a
 * customer with long prompts would get many times the compute of other
 * customers, whose requests would queue behind the long prompts.
 */

/** Expected work of a request, estimated before its admission. */
export interface ExpectedWork {
  readonly promptTokens: number;
  /** Prompt tokens expected to be in the cache of some endpoint. */
  readonly cachedTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maxTokens: number;
}

export interface RequestCostEstimator {
  /** Returns the cost, 1 for an average request; updates the service's mean. */
  estimateCost(service: string, work: ExpectedWork): number;
}

/**
 * Work of a generated token, in computed prompt tokens. Engines process a
 * prompt in parallel but generate token by token. With a full batch the ratio
 * is nearer to 10, but only `maxTokens` is known at admission, and most
 * responses end before that limit.
 */
const GENERATED_TOKEN_WEIGHT = 4;

/**
 * Bounds of a cost. Without them one unusual request could block its customer
 * for minutes, or inflate the expected wait of the requests queued behind it.
 */
const MIN_COST = 1 / 16;
const MAX_COST = 16;

/** Window of the moving mean, in requests. */
const MEAN_WINDOW_REQUESTS = 256;

/** Maximum number of tracked services; the least recently used is evicted. */
const MAX_SERVICES = 1_024;

/** Moving mean of the estimated work of a service's requests. */
interface MovingMean {
  /** Prompt tokens per request. */
  value: number;
  /** Requests in the mean, at most `MEAN_WINDOW_REQUESTS`. */
  count: number;
}

/**
 * Creates an empty cost estimator; the first request of each service costs 1.
 *
 * @example
 * const estimator = createRequestCostEstimator();
 * const work = {promptTokens: 900, cachedTokens: 0, maxTokens: 64};
 * estimator.estimateCost('match', work);
 */
export function createRequestCostEstimator(): RequestCostEstimator {
  const means = new Map<string, MovingMean>();

  function getOrCreateMean(service: string): MovingMean {
    const mean = means.get(service) ?? {value: 0, count: 0};
    means.delete(service);
    means.set(service, mean);
    if (means.size > MAX_SERVICES) {
      const [leastRecentlyUsed] = means.keys();
      means.delete(leastRecentlyUsed!);
    }
    return mean;
  }

  return {
    estimateCost(service, work) {
      const weightedTokens = estimateWork(work);
      const mean = getOrCreateMean(service);
      mean.count = Math.min(MEAN_WINDOW_REQUESTS, mean.count + 1);
      mean.value += (weightedTokens - mean.value) / mean.count;
      return Math.min(
        MAX_COST,
        Math.max(MIN_COST, weightedTokens / mean.value),
      );
    },
  };
}

/** Returns the work in prompt tokens; at least 1, so that no mean is ever 0. */
function estimateWork({
  promptTokens,
  cachedTokens,
  maxTokens,
}: ExpectedWork): number {
  const uncachedPromptTokens = Math.max(0, promptTokens - cachedTokens);
  return Math.max(1, uncachedPromptTokens + maxTokens * GENERATED_TOKEN_WEIGHT);
}
