/** Expected content of one engine's prefix cache. */
import type {Clock} from '@skylarkfield/base';
import {TOKENS_PER_BLOCK, type CacheEvent} from '@skylarkfield/endpoints';

export interface CacheViewOptions {
  readonly clock: Clock;
  /** Maximum number of blocks in the view; the oldest are dropped first. */
  readonly maxBlocks?: number;
  /** Prompt tokens per block. */
  readonly blockTokens?: number;
}

/** Expected content of one engine's prefix cache. */
export interface CacheView {
  /**
   * Returns the number of leading prompt tokens expected to be cached,
   * multiplied by the confidence in the view.
   */
  expectedCachedTokens(blocks: readonly string[]): number;
  /** Returns whether the block is expected to be cached. */
  has(block: string): boolean;
  /** Records that a request with these blocks was sent to the engine. */
  recordSentBlocks(blocks: readonly string[]): void;
  /** Records how many tokens of a request the engine found cached. */
  recordCachedTokens(blocks: readonly string[], cachedTokens: number): void;
  /**
   * Applies cache events. Returns the sequence number of the last event; -1 if
   * the whole content should be requested, because events were lost or
   * responses contradicted the view.
   */
  applyEvents(events: readonly CacheEvent[]): number;
  dump(): unknown;
}

const DEFAULT_MAX_BLOCKS = 16_000;
/** Lifetime of blocks sent but not confirmed if the engine publishes events. */
const SENT_BLOCK_TTL_MS = 12_000;
/** Lifetime of blocks sent but not confirmed if it never published events. */
const SENT_BLOCK_TTL_WITHOUT_EVENTS_MS = 300_000;
/**
 * Assumed event lag: an eviction event does not apply to blocks sent within
 * this time before its arrival.
 */
const ASSUMED_EVENT_LAG_MS = 1500;
/** Half-life of the confidence in the view after an event was lost. */
const CONFIDENCE_HALF_LIFE_MS = 120_000;
/** Minimum interval between two requests for the whole content. */
const MIN_RESYNC_INTERVAL_MS = 4000;
/** Consecutive responses that may contradict the view before a resync. */
const MAX_MISMATCHES = 2;

/**
 * Creates an empty view.
 *
 * A lost event may have been an eviction, and tokens expected to be cached
 * would then be computed again. So a gap in the sequence numbers lowers the
 * confidence in the view, and the whole content is requested at a bounded rate.
 *
 * @example
 * const view = createCacheView({clock});
 * const lastSequence = view.applyEvents(await engine.readCacheEvents(-1));
 */
export function createCacheView(options: CacheViewOptions): CacheView {
  const {clock, maxBlocks = DEFAULT_MAX_BLOCKS} = options;
  const blockTokens = options.blockTokens ?? TOKENS_PER_BLOCK;
  /** Blocks confirmed by events or responses, oldest first. */
  const confirmedBlocks = new Set<string>();
  /** Monotonic ms at which unconfirmed blocks were sent, oldest first. */
  const sentBlockTimes = new Map<string, number>();
  let lastSequence = -1;
  let hasReceivedEvents = false;
  let gapAtMs: number | undefined;
  let lastResyncMs = Number.NEGATIVE_INFINITY;
  let consecutiveMismatches = 0;
  let gapCount = 0;

  function sentBlockTtlMs(): number {
    return hasReceivedEvents
      ? SENT_BLOCK_TTL_MS
      : SENT_BLOCK_TTL_WITHOUT_EVENTS_MS;
  }

  function has(block: string): boolean {
    if (confirmedBlocks.has(block)) {
      return true;
    }
    const sentMs = sentBlockTimes.get(block);
    return sentMs !== undefined && clock.now() - sentMs < sentBlockTtlMs();
  }

  /**
   * Returns the number of leading blocks expected to be cached, by binary
   * search: an engine evicts the end of a prefix before its start.
   */
  function countCachedPrefix(blocks: readonly string[]): number {
    let low = 0;
    let high = blocks.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (has(blocks[middle - 1]!)) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return low;
  }

  function confidence(): number {
    if (gapAtMs === undefined) {
      return 1;
    }
    return 0.5 ** ((clock.now() - gapAtMs) / CONFIDENCE_HALF_LIFE_MS);
  }

  function confirm(block: string) {
    confirmedBlocks.delete(block);
    confirmedBlocks.add(block);
    sentBlockTimes.delete(block);
  }

  function dropOldBlocks() {
    for (const block of confirmedBlocks) {
      if (confirmedBlocks.size <= maxBlocks) {
        break;
      }
      confirmedBlocks.delete(block);
    }
    const oldestMs = clock.now() - sentBlockTtlMs();
    for (const [block, sentMs] of sentBlockTimes) {
      if (sentMs > oldestMs && sentBlockTimes.size <= maxBlocks) {
        break;
      }
      sentBlockTimes.delete(block);
    }
  }

  const eventHandlers: Record<CacheEvent['type'], (event: CacheEvent) => void> =
    {
      stored: event => event.blocks.forEach(confirm),
      evicted(event) {
        const sentBeforeMs = clock.now() - ASSUMED_EVENT_LAG_MS;
        for (const block of event.blocks) {
          confirmedBlocks.delete(block);
          if ((sentBlockTimes.get(block) ?? 0) < sentBeforeMs) {
            sentBlockTimes.delete(block);
          }
        }
      },
      cleared: () => confirmedBlocks.clear(),
    };

  function trackSequence(sequence: number) {
    if (lastSequence >= 0 && sequence > lastSequence + 1) {
      gapCount += 1;
      gapAtMs ??= clock.now();
    }
    lastSequence = sequence;
  }

  function mayResync(): boolean {
    return clock.now() - lastResyncMs >= MIN_RESYNC_INTERVAL_MS;
  }

  return {
    expectedCachedTokens: blocks =>
      countCachedPrefix(blocks) * blockTokens * confidence(),
    has,
    recordSentBlocks(blocks) {
      for (const block of blocks) {
        if (!confirmedBlocks.has(block)) {
          sentBlockTimes.delete(block);
          sentBlockTimes.set(block, clock.now());
        }
      }
      dropOldBlocks();
    },
    recordCachedTokens(blocks, cachedTokens) {
      const foundBlockCount = Math.ceil(cachedTokens / blockTokens);
      const missingBlocks = blocks
        .slice(foundBlockCount)
        .filter(block => confirmedBlocks.has(block));
      consecutiveMismatches =
        missingBlocks.length > 0 ? consecutiveMismatches + 1 : 0;
      // The engine is computing the missing blocks, which will then be cached.
      for (const block of missingBlocks) {
        confirmedBlocks.delete(block);
        sentBlockTimes.set(block, clock.now());
      }
      blocks.slice(0, foundBlockCount).forEach(confirm);
      dropOldBlocks();
    },
    applyEvents(events) {
      const isResync = lastSequence < 0;
      if (isResync && events.length > 0) {
        gapAtMs = undefined;
        consecutiveMismatches = 0;
        lastResyncMs = clock.now();
      }
      for (const event of events) {
        if (event.sequence <= lastSequence) {
          continue;
        }
        hasReceivedEvents = true;
        trackSequence(event.sequence);
        eventHandlers[event.type](event);
      }
      dropOldBlocks();
      const isUnreliable =
        gapAtMs !== undefined || consecutiveMismatches > MAX_MISMATCHES;
      if (isUnreliable && mayResync()) {
        lastSequence = -1;
      }
      return lastSequence;
    },
    dump: () => ({
      confirmed: confirmedBlocks.size,
      sent: sentBlockTimes.size,
      lastSequence,
      gaps: gapCount,
      trust: confidence(),
    }),
  };
}
