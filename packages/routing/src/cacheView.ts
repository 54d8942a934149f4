/** What this entry believes to be in one engine's prefix cache. */
import type {Clock} from '@skylarkfield/base';
import {BLOCK_TOKENS, type CacheEvent} from '@skylarkfield/endpoints';

export interface CacheViewOptions {
  readonly clock: Clock;
  /** The most blocks kept; the oldest are forgotten first. */
  readonly maxBlocks?: number;
  /** Tokens that one block stands for. */
  readonly blockTokens?: number;
}

export interface CacheView {
  /** Tokens of a prompt that are expected to be found, after doubt. */
  expectedTokens(blocks: readonly string[]): number;
  /** True when the block is believed to be there. */
  has(block: string): boolean;
  /** A request with these blocks was sent there. */
  noteSent(blocks: readonly string[]): void;
  /** The engine said how many tokens of a request it found. */
  noteFound(blocks: readonly string[], cachedTokens: number): void;
  /** Takes events in; returns the sequence to ask from next, -1 for all content. */
  apply(events: readonly CacheEvent[]): number;
  dump(): unknown;
}

const DEFAULT_MAX_BLOCKS = 16_000;
/** How long a sent request stands for its blocks when the engine publishes events. */
const SENT_LIFE_MS = 12_000;
/** The same when the engine has never published any. */
const SENT_LIFE_WITHOUT_EVENTS_MS = 300_000;
/** Events come late: an eviction does not undo what was sent just now. */
const EVENT_LAG_MS = 1500;
/** Beliefs lose half their weight in this time after events were lost. */
const DOUBT_HALF_LIFE_MS = 120_000;
/** The whole content is asked for no more often than this. */
const MIN_RESYNC_INTERVAL_MS = 4000;
/** Answers in a row that contradict our belief before we ask for the whole content. */
const MAX_CONTRADICTIONS = 2;

/**
 * Makes a view that believes nothing.
 *
 * Events can be lost. Then a block may be gone without our knowing, which one
 * would notice as tokens computed again although they were expected to be
 * cached; so the sequence is watched, belief is doubted after a gap, and the
 * whole content is asked for at a bounded rate.
 *
 * @example
 * const view = createCacheView({clock});
 * const after = view.apply(await engine.cacheEvents(-1));
 */
export function createCacheView(options: CacheViewOptions): CacheView {
  const {clock, maxBlocks = DEFAULT_MAX_BLOCKS} = options;
  const blockTokens = options.blockTokens ?? BLOCK_TOKENS;
  /** Blocks confirmed by events or answers, oldest first. */
  const confirmed = new Set<string>();
  /** Blocks of requests sent there, with the time of sending. */
  const sent = new Map<string, number>();
  let lastSequence = -1;
  let hasEvents = false;
  let gapMs: number | undefined;
  let lastResyncMs = Number.NEGATIVE_INFINITY;
  let contradictions = 0;
  let gaps = 0;

  function sentLifeMs(): number {
    return hasEvents ? SENT_LIFE_MS : SENT_LIFE_WITHOUT_EVENTS_MS;
  }

  function has(block: string): boolean {
    if (confirmed.has(block)) {
      return true;
    }
    const sentMs = sent.get(block);
    return sentMs !== undefined && clock.now() - sentMs < sentLifeMs();
  }

  /** Bisects: an engine evicts the end of a prefix before its start. */
  function countPrefix(blocks: readonly string[]): number {
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

  function trust(): number {
    if (gapMs === undefined) {
      return 1;
    }
    return 0.5 ** ((clock.now() - gapMs) / DOUBT_HALF_LIFE_MS);
  }

  function confirm(block: string) {
    confirmed.delete(block);
    confirmed.add(block);
    sent.delete(block);
  }

  function forgetOldest() {
    for (const block of confirmed) {
      if (confirmed.size <= maxBlocks) {
        break;
      }
      confirmed.delete(block);
    }
    const oldestMs = clock.now() - sentLifeMs();
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
      const settledMs = clock.now() - EVENT_LAG_MS;
      for (const block of event.blocks) {
        confirmed.delete(block);
        if ((sent.get(block) ?? 0) < settledMs) {
          sent.delete(block);
        }
      }
    },
    cleared: () => confirmed.clear(),
  };

  function noteSequence(sequence: number) {
    if (lastSequence >= 0 && sequence > lastSequence + 1) {
      gaps += 1;
      gapMs ??= clock.now();
    }
    lastSequence = sequence;
  }

  function mayResync(): boolean {
    return clock.now() - lastResyncMs >= MIN_RESYNC_INTERVAL_MS;
  }

  return {
    expectedTokens: blocks => countPrefix(blocks) * blockTokens * trust(),
    has,
    noteSent(blocks) {
      for (const block of blocks) {
        if (!confirmed.has(block)) {
          sent.delete(block);
          sent.set(block, clock.now());
        }
      }
      forgetOldest();
    },
    noteFound(blocks, cachedTokens) {
      const found = Math.ceil(cachedTokens / blockTokens);
      const missing = blocks.slice(found).filter(block => confirmed.has(block));
      contradictions = missing.length > 0 ? contradictions + 1 : 0;
      // The engine is computing what it lacked: true again in a moment.
      for (const block of missing) {
        confirmed.delete(block);
        sent.set(block, clock.now());
      }
      blocks.slice(0, found).forEach(confirm);
      forgetOldest();
    },
    apply(events) {
      const isResync = lastSequence < 0;
      if (isResync && events.length > 0) {
        gapMs = undefined;
        contradictions = 0;
        lastResyncMs = clock.now();
      }
      for (const event of events) {
        if (event.sequence <= lastSequence) {
          continue;
        }
        hasEvents = true;
        noteSequence(event.sequence);
        handlers[event.type](event);
      }
      forgetOldest();
      const isDoubtful =
        gapMs !== undefined || contradictions > MAX_CONTRADICTIONS;
      if (isDoubtful && mayResync()) {
        lastSequence = -1;
      }
      return lastSequence;
    },
    dump: () => ({
      confirmed: confirmed.size,
      sent: sent.size,
      lastSequence,
      gaps,
      trust: trust(),
    }),
  };
}
