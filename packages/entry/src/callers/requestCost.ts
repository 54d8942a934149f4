/**
 * What a model request will cost, relative to a typical one of its service.
 *
 * Fairness among customers is by cost. If every request cost the same, a
 * customer with long histories would be given many times the work of the
 * others, whose requests would wait behind it for as long as it sends.
 */

/** What is known of a request's work before it is admitted. */
export interface ExpectedWork {
  readonly promptTokens: number;
  /** Prompt tokens that some endpoint is believed to have in its cache. */
  readonly cachedTokens: number;
  /** Most tokens that the answer may have. */
  readonly maxTokens: number;
}

export interface RequestCosts {
  /** Cost of a request, 1 for a typical one of the service; counts it into what is typical. */
  costOf(service: string, work: ExpectedWork): number;
}

/**
 * Work of a generated token, in prompt tokens computed. Engines compute a
 * prompt in parallel but an answer token by token. A full batch makes it
 * nearer to ten; answers mostly end before their limit, which is what is known.
 */
const GENERATED_TOKEN_WORK = 4;

/**
 * Bounds of a cost. Without them one odd request could hold its customer back
 * for minutes, or make the expected wait of those behind it look hopeless.
 */
const LEAST_COST = 1 / 16;
const MOST_COST = 16;

/** Requests over which the mean is taken once that many have come. */
const MEAN_SPAN = 256;

/** Services remembered; the one unused for longest goes first. */
const MOST_SERVICES = 1_024;

interface Mean {
  value: number;
  count: number;
}

/**
 * Makes costs that know no service yet: its first request costs 1.
 *
 * @example
 * const costs = createRequestCosts();
 * costs.costOf('match', {tokenizePrompt: 900, cachedTokens: 0, maxTokens: 64});
 */
export function createRequestCosts(): RequestCosts {
  const means = new Map<string, Mean>();

  function meanOf(service: string): Mean {
    const mean = means.get(service) ?? {value: 0, count: 0};
    means.delete(service);
    means.set(service, mean);
    if (means.size > MOST_SERVICES) {
      const [oldest] = means.keys();
      means.delete(oldest!);
    }
    return mean;
  }

  return {
    costOf(service, work) {
      const own = workOf(work);
      const mean = meanOf(service);
      mean.count = Math.min(MEAN_SPAN, mean.count + 1);
      mean.value += (own - mean.value) / mean.count;
      return Math.min(MOST_COST, Math.max(LEAST_COST, own / mean.value));
    },
  };
}

/** At least 1, so that a mean is never 0. */
function workOf({promptTokens, cachedTokens, maxTokens}: ExpectedWork): number {
  const computed = Math.max(0, promptTokens - cachedTokens);
  return Math.max(1, computed + maxTokens * GENERATED_TOKEN_WORK);
}
