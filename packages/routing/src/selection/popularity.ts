/** Detects prompt prefixes whose traffic is too much for one endpoint. */

/** Counts how many recent requests start with a prefix. */
export interface PrefixPopularity {
  /** Counts the prefixes of a request. */
  recordRequest(blocks: readonly string[]): void;
  /**
   * Returns the number of leading blocks that are shared. A prefix is shared if
   * its fraction of the requests exceeds 1 / `endpointCount`.
   */
  countSharedBlocks(blocks: readonly string[], endpointCount: number): number;
}

/** Requests per window; the current and the previous window are counted. */
const WINDOW_REQUESTS = 256;
/**
 * Number of counted blocks after which a window ends early, since callers declare
 * how many blocks their prompts have.
 */
const MAX_WINDOW_BLOCKS = 128 * 1024;
/** Only one of this many blocks is counted, to keep decisions cheap. */
const BLOCK_STRIDE = 4;
/** Minimum number of requests with a prefix that counts as shared. */
const MIN_PREFIX_REQUESTS = 4;
/** Standard deviations that are subtracted from a count as its error. */
const CONFIDENCE_DEVIATIONS = 1.5;
/**
 * Multiple of an endpoint's even traffic share above which a prefix is shared.
 */
const SHARED_FACTOR = 1;

/**
 * Creates a detector that has counted no requests.
 *
 * A system prompt starts every request: placing requests by its hash would send
 * them all to one endpoint. Ignoring every shared prefix would scatter requests
 * with a long common history, which each endpoint would then compute. A
 * prefix's share of the traffic distinguishes these cases.
 *
 * @example
 * const popularity = createPrefixPopularity();
 * popularity.recordRequest(routingRequest.blocks);
 */
export function createPrefixPopularity(): PrefixPopularity {
  let currentCounts = new Map<string, number>();
  let previousCounts = new Map<string, number>();
  let currentRequestCount = 0;
  let previousRequestCount = 0;

  function trafficShare(block: string): number {
    const count =
      (currentCounts.get(block) ?? 0) + (previousCounts.get(block) ?? 0);
    if (count < MIN_PREFIX_REQUESTS) {
      return 0;
    }
    // Uses a lower confidence bound, since a small count may be due to chance.
    const lowerBound = count - CONFIDENCE_DEVIATIONS * Math.sqrt(count);
    return lowerBound / (currentRequestCount + previousRequestCount);
  }

  function isWindowFull(): boolean {
    return (
      currentRequestCount >= WINDOW_REQUESTS ||
      currentCounts.size >= MAX_WINDOW_BLOCKS
    );
  }

  return {
    recordRequest(blocks) {
      if (isWindowFull()) {
        previousCounts = currentCounts;
        previousRequestCount = currentRequestCount;
        currentCounts = new Map();
        currentRequestCount = 0;
      }
      currentRequestCount += 1;
      for (let index = 0; index < blocks.length; index += BLOCK_STRIDE) {
        const block = blocks[index]!;
        currentCounts.set(block, (currentCounts.get(block) ?? 0) + 1);
      }
    },
    countSharedBlocks(blocks, endpointCount) {
      const shareLimit = SHARED_FACTOR / Math.max(1, endpointCount);
      let sharedStrides = 0;
      let high = Math.ceil(blocks.length / BLOCK_STRIDE);
      // Binary search: the longer a prefix, the smaller its share of the
      // traffic.
      while (sharedStrides < high) {
        const middle = (sharedStrides + high) >> 1;
        if (trafficShare(blocks[middle * BLOCK_STRIDE]!) > shareLimit) {
          sharedStrides = middle + 1;
        } else {
          high = middle;
        }
      }
      return Math.min(blocks.length, sharedStrides * BLOCK_STRIDE);
    },
  };
}
