/** Which prefixes carry so much of the traffic that one endpoint can't serve them alone. */

export interface Popularity {
  /** Counts a request. */
  note(blocks: readonly string[]): void;
  /**
   * Number of leading blocks that are shared: they carry more than an
   * endpoint's part of the traffic, when so many endpoints serve it.
   */
  sharedBlocks(blocks: readonly string[], endpoints: number): number;
}

/** Requests in one window; the window before counts too. */
const WINDOW_REQUESTS = 256;
/** Only every so many blocks is counted, to keep a decision cheap. */
const STRIDE = 4;
/** Requests with a prefix before it can be called shared. */
const MIN_COUNT = 4;
/** Standard deviations by which a count may be too high by chance. */
const DEVIATIONS = 1.5;
/** A prefix is shared from this multiple of an even part of the traffic on. */
const PART_FACTOR = 1;

/**
 * Makes an empty count.
 *
 * A system prompt is the start of every request. Were requests placed by it,
 * all would go to one endpoint; were it ignored as a whole, long histories that
 * several callers ask about would be scattered and computed again everywhere.
 * What tells the two apart is their part of the traffic.
 *
 * @example
 * const popularity = createPopularity();
 * popularity.note(routingRequest.blocks);
 */
export function createPopularity(): Popularity {
  let current = new Map<string, number>();
  let previous = new Map<string, number>();
  let currentTotal = 0;
  let previousTotal = 0;

  function share(block: string): number {
    const count = (current.get(block) ?? 0) + (previous.get(block) ?? 0);
    if (count < MIN_COUNT) {
      return 0;
    }
    // Few requests say little: what may be chance is not held for popularity.
    const certain = count - DEVIATIONS * Math.sqrt(count);
    return certain / (currentTotal + previousTotal);
  }

  return {
    note(blocks) {
      if (currentTotal >= WINDOW_REQUESTS) {
        previous = current;
        previousTotal = currentTotal;
        current = new Map();
        currentTotal = 0;
      }
      currentTotal += 1;
      for (let index = 0; index < blocks.length; index += STRIDE) {
        const block = blocks[index]!;
        current.set(block, (current.get(block) ?? 0) + 1);
      }
    },
    sharedBlocks(blocks, endpoints) {
      const limit = PART_FACTOR / Math.max(1, endpoints);
      let low = 0;
      let high = Math.ceil(blocks.length / STRIDE);
      // Bisects: the longer a prefix, the smaller its part of the traffic.
      while (low < high) {
        const middle = (low + high) >> 1;
        if (share(blocks[middle * STRIDE]!) > limit) {
          low = middle + 1;
        } else {
          high = middle;
        }
      }
      return Math.min(blocks.length, low * STRIDE);
    },
  };
}
