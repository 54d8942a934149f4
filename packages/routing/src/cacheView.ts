/** Expected content of one engine's prefix cache. */
import type {Clock} from '@skylarkfield/base';
import {TOKENS_PER_BLOCK, type CacheEvent} from '@skylarkfield/endpoints';

export interface CacheViewOptions {
  readonly clock: Clock;
  /** Maximum number of blocks held; the oldest are dropped first. */
  readonly maxBlocks?: number;
  /** Prompt tokens per block. */
  readonly blockTokens?: number;
}

export interface CacheView {
  /** Prompt tokens expected to be cached, scaled by confidence. */
  expectedCachedTokens(blocks: readonly string[]): number;
  /** Whether the block is expected to be cached. */
  has(block: string): boolean;
  /** Records that a request with these blocks was sent to the engine. */
  recordSent(blocks: readonly string[]): void;
  /** Records how many tokens of a request the engine found cached. */
  recordCachedTokens(blocks: readonly string[], cachedTokens: number): void;
  /** Applies events; returns the last sequence, -1 to request all content. */
  apply(events: readonly CacheEvent[]): number;
  dump(): unknown;
}

const DEFAULT_MAX_BLOCKS = 16_000;
/** Lifetime of unconfirmed blocks if the engine publishes events. */
const SENT_BLOCK_TTL_MS = 12_000;
/** Lifetime of unconfirmed blocks if the engine never published events. */
const SENT_BLOCK_TTL_WITHOUT_EVENTS_MS = 300_000;
/** Assumed event lag: evictions ignore blocks sent within this time. */
const ASSUMED_EVENT_LAG_MS = 1500;
/** Half-life of the confidence in the view after events were lost. */
const CONFIDENCE_HALF_LIFE_MS = 120_000;
/** Minimum interval between requests for the whole content. */
const MIN_RESYNC_INTERVAL_MS = 4000;
/** Consecutive mismatching responses tolerated before a resync. */
const MAX_MISMATCHES = 2;

/**
 * Creates an empty view.
 *
 * Lost events can hide evictions, so that tokens expected to be cached are
 * computed again. Therefore gaps in the sequence lower the confidence in the
 * view, and the whole content is requested at a bounded rate.
 *
 * @example
 * const view = createCacheView({clock});
 * const after = view.apply(await engine.cacheEvents(-1));
 */
export function createCacheView(options: CacheViewOptions): CacheView {
  const {clock, maxBlocks = DEFAULT_MAX_BLOCKS} = options;
  const blockTokens = options.blockTokens ?? TOKENS_PER_BLOCK;
  /** Blocks confirmed by events or responses, oldest first. */
  const confirmed = new Set<string>();
  /** Unconfirmed blocks of sent requests, with the time of sending. */
  const sent = new Map<string, number>();
  let lastSequence = -1;
  let hasEvents = false;
  let gapAtMs: number | undefined;
  let lastResyncMs = Number.NEGATIVE_INFINITY;
  let mismatches = 0;
  let gaps = 0;

  function sentBlockTtlMs(): number {
    return hasEvents ? SENT_BLOCK_TTL_MS : SENT_BLOCK_TTL_WITHOUT_EVENTS_MS;
  }

  function has(block: string): boolean {
    if (confirmed.has(block)) {
      return true;
    }
    const sentMs = sent.get(block);
    return sentMs !== undefined && clock.now() - sentMs < sentBlockTtlMs();
  }

  /** Binary search: an engine evicts the end of a prefix before its start. */
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
    confirmed.delete(block);
    confirmed.add(block);
    sent.delete(block);
  }

  function expireOldest() {
    for (const block of confirmed) {
      if (confirmed.size <= maxBlocks) {
        break;
      }
      confirmed.delete(block);
    }
    const oldestMs = clock.now() - sentBlockTtlMs();
    for (const [block, sentMs] of sent) {
      if (sentMs > oldestMs && sent.size <= maxBlocks) {
        break;
      }
      sent.delete(block);
    }
  }

  const handlers: Record<CacheEvent['type'], (event: CacheEvent) => void> = {
    stored: event => event.blocks.forEach(confirm),
    evicted(event) {
      const settledMs = clock.now() - ASSUMED_EVENT_LAG_MS;
      for (const block of event.blocks) {
        confirmed.delete(block);
        if ((sent.get(block) ?? 0) < settledMs) {
          sent.delete(block);
        }
      }
    },
    cleared: () => confirmed.clear(),
  };

  function trackSequence(sequence: number) {
    if (lastSequence >= 0 && sequence > lastSequence + 1) {
      gaps += 1;
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
    recordSent(blocks) {
      for (const block of blocks) {
        if (!confirmed.has(block)) {
          sent.delete(block);
          sent.set(block, clock.now());
        }
      }
      expireOldest();
    },
    recordCachedTokens(blocks, cachedTokens) {
      const foundBlockCount = Math.ceil(cachedTokens / blockTokens);
      const missingBlocks = blocks
        .slice(foundBlockCount)
        .filter(block => confirmed.has(block));
      mismatches = missingBlocks.length > 0 ? mismatches + 1 : 0;
      // The engine is computing the missing blocks and will soon have them.
      for (const block of missingBlocks) {
        confirmed.delete(block);
        sent.set(block, clock.now());
      }
      blocks.slice(0, foundBlockCount).forEach(confirm);
      expireOldest();
    },
    apply(events) {
      const isResync = lastSequence < 0;
      if (isResync && events.length > 0) {
        gapAtMs = undefined;
        mismatches = 0;
        lastResyncMs = clock.now();
      }
      for (const event of events) {
        if (event.sequence <= lastSequence) {
          continue;
        }
        hasEvents = true;
        trackSequence(event.sequence);
        handlers[event.type](event);
      }
      expireOldest();
      const isUnreliable = gapAtMs !== undefined || mismatches > MAX_MISMATCHES;
      if (isUnreliable && mayResync()) {
        lastSequence = -1;
      }
      return lastSequence;
    },
    dump: () => ({
      confirmed: confirmed.size,
      sent: sent.size,
      lastSequence,
      gaps,
      trust: confidence(),
    }),
  };
}
