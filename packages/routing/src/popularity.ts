/** Detects prefixes with too large a share of the traffic for one endpoint. */

export interface PrefixPopularity {
  /** Counts a request's prefixes. */
  recordRequest(blocks: readonly string[]): void;
  /**
   * Returns the number of leading blocks that are shared: their share of the
   * traffic exceeds the even share of one endpoint.
   */
  countSharedBlocks(blocks: readonly string[], endpointCount: number): number;
}

/** Requests per window; the previous window is counted as well. */
const WINDOW_REQUESTS = 256;
/** Counts only one block in this many, to keep decisions cheap. */
const BLOCK_STRIDE = 4;
/** Minimum number of requests with a prefix that counts as shared. */
const MIN_PREFIX_REQUESTS = 4;
/** Standard deviations subtracted from a count to exclude chance. */
const CONFIDENCE_DEVIATIONS = 1.5;
/** Multiple of an even traffic share above which a prefix is shared. */
const SHARED_FACTOR = 1;

/**
 * Creates a detector that has counted no requests.
 *
 * A system prompt starts every request: placing requests by it would send all
 * to one endpoint. Ignoring every shared prefix would scatter long histories
 * that several callers use and recompute them everywhere. The share of the
 * traffic distinguishes these cases.
 *
 * @example
 * const popularity = createPrefixPopularity();
 * popularity.recordRequest(routingRequest.blocks);
 */
export function createPrefixPopularity(): PrefixPopularity {
  let current = new Map<string, number>();
  let previous = new Map<string, number>();
  let currentTotal = 0;
  let previousTotal = 0;

  function trafficShare(block: string): number {
    const count = (current.get(block) ?? 0) + (previous.get(block) ?? 0);
    if (count < MIN_PREFIX_REQUESTS) {
      return 0;
    }
    // Uses a lower confidence bound, since small counts may be due to chance.
    const lowerBound = count - CONFIDENCE_DEVIATIONS * Math.sqrt(count);
    return lowerBound / (currentTotal + previousTotal);
  }

  return {
    recordRequest(blocks) {
      if (currentTotal >= WINDOW_REQUESTS) {
        previous = current;
        previousTotal = currentTotal;
        current = new Map();
        currentTotal = 0;
      }
      currentTotal += 1;
      for (let index = 0; index < blocks.length; index += BLOCK_STRIDE) {
        const block = blocks[index]!;
        current.set(block, (current.get(block) ?? 0) + 1);
      }
    },
    countSharedBlocks(blocks, endpointCount) {
      const shareLimit = SHARED_FACTOR / Math.max(1, endpointCount);
      let low = 0;
      let high = Math.ceil(blocks.length / BLOCK_STRIDE);
      // Binary search: the longer a prefix, the smaller its share of the
      // traffic.
      while (low < high) {
        const middle = (low + high) >> 1;
        if (trafficShare(blocks[middle * BLOCK_STRIDE]!) > shareLimit) {
          low = middle + 1;
        } else {
          high = middle;
        }
      }
      return Math.min(blocks.length, low * BLOCK_STRIDE);
    },
  };
}
