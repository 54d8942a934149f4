/** Limits on the requests that an entry sends to single endpoints. */

export interface EndpointLimits {
  /** Whether a request may be sent to the endpoint now. */
  allowsRequest(endpoint: string): boolean;
  /** Takes a token for a request that is sent to the endpoint. */
  consumeToken(endpoint: string): void;
  /**
   * Returns the milliseconds until this entry may send the endpoint a request:
   * 0 if requests are not limited, undefined if this entry has no share.
   */
  waitMs(endpoint: string): number | undefined;
}

/** Milliseconds to wait when this entry has no share of a limit. */
const NO_SHARE_RETRY_MS = 300;

/**
 * Returns the milliseconds until the first of the endpoints allows a request;
 * undefined unless all of them are limited now.
 *
 * @example
 * const waitMs = shortestWaitMs(limits, ['i-1', 'i-2']);
 */
export function shortestWaitMs(
  limits: EndpointLimits,
  endpoints: readonly string[],
): number | undefined {
  if (endpoints.length === 0 || endpoints.some(limits.allowsRequest)) {
    return undefined;
  }
  return Math.min(
    ...endpoints.map(id => limits.waitMs(id) ?? NO_SHARE_RETRY_MS),
  );
}

/**
 * Returns limits that allow a request if all of the given limits allow it.
 *
 * @example
 * const limits = combineLimits([rateLimits, warmUps]);
 */
export function combineLimits(
  limits: readonly EndpointLimits[],
): EndpointLimits {
  return {
    allowsRequest(endpoint) {
      // Runs for each endpoint at each choice, so it creates no closure.
      for (const limit of limits) {
        if (!limit.allowsRequest(endpoint)) {
          return false;
        }
      }
      return true;
    },
    consumeToken: endpoint =>
      limits.forEach(limit => limit.consumeToken(endpoint)),
    waitMs(endpoint) {
      const waits = limits.map(limit => limit.waitMs(endpoint));
      const knownWaits = waits.filter(wait => wait !== undefined);
      return knownWaits.length === waits.length
        ? Math.max(...knownWaits)
        : undefined;
    },
  };
}
