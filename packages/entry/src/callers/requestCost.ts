/**
 * Estimated cost of a model request, relative to the service's mean.
 *
 * Fair queuing among customers is by cost. With equal costs, a customer with
 * long prompts would get many times the compute of other customers, whose
 * requests would queue behind the long prompts.
 */

/** Expected work of a request, as known before admission. */
export interface ExpectedWork {
  readonly promptTokens: number;
  /** Prompt tokens expected to be in the cache of some endpoint. */
  readonly cachedTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maxTokens: number;
}

export interface RequestCosts {
  /** Returns the cost, 1 for an average request, and updates the mean. */
  costOf(service: string, work: ExpectedWork): number;
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

interface Mean {
  value: number;
  count: number;
}

/**
 * Creates an empty cost estimator; the first request of each service costs 1.
 *
 * @example
 * const costs = createRequestCosts();
 * costs.costOf('match', {promptTokens: 900, cachedTokens: 0, maxTokens: 64});
 */
export function createRequestCosts(): RequestCosts {
  const means = new Map<string, Mean>();

  function meanOf(service: string): Mean {
    const mean = means.get(service) ?? {value: 0, count: 0};
    means.delete(service);
    means.set(service, mean);
    if (means.size > MAX_SERVICES) {
      const [oldest] = means.keys();
      means.delete(oldest!);
    }
    return mean;
  }

  return {
    costOf(service, work) {
      const weightedTokens = estimateWork(work);
      const mean = meanOf(service);
      mean.count = Math.min(MEAN_WINDOW_REQUESTS, mean.count + 1);
      mean.value += (weightedTokens - mean.value) / mean.count;
      return Math.min(
        MAX_COST,
        Math.max(MIN_COST, weightedTokens / mean.value),
      );
    },
  };
}

/** Returns the work in prompt tokens; at least 1, so that a mean is never 0. */
function estimateWork({
  promptTokens,
  cachedTokens,
  maxTokens,
}: ExpectedWork): number {
  const uncachedPromptTokens = Math.max(0, promptTokens - cachedTokens);
  return Math.max(1, uncachedPromptTokens + maxTokens * GENERATED_TOKEN_WEIGHT);
}
