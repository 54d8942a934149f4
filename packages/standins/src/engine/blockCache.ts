/** The limited prefix cache of an engine stand-in, with the events it publishes. */
import type {Clock, Random} from '@skylarkfield/base';
import type {CacheEvent} from '@skylarkfield/endpoints';

export interface BlockCacheOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Blocks that fit. */
  readonly capacity: number;
  /** Milliseconds after which an event can be fetched. */
  readonly eventDelayMs: number;
  /** Probability that an event is never published, which leaves a gap. */
  readonly eventLoss: number;
}

export interface BlockCache {
  /** Leading blocks of a prompt that are cached. */
  countPrefix(blocks: readonly string[]): number;
  /** Adds blocks or marks them as just used; the least recently used make room. */
  store(blocks: readonly string[]): void;
  clear(): void;
  readonly size: number;
  /** Events after the sequence that can be fetched by now; all content from -1. */
  eventsAfter(after: number): readonly CacheEvent[];
}

/** Events kept for fetching; older ones are gone, which leaves a gap. */
const KEPT_EVENTS = 2000;

interface PublishedEvent {
  readonly fromMs: number;
  readonly event: CacheEvent;
}

/**
 * Makes an empty cache.
 *
 * @example
 * const cache = createBlockCache({clock, random, capacity: 500, eventDelayMs: 200, eventLoss: 0});
 */
export function createBlockCache(options: BlockCacheOptions): BlockCache {
  const {clock, random, capacity, eventDelayMs, eventLoss} = options;
  /** Blocks, the least recently used first. */
  const cached = new Set<string>();
  const events: PublishedEvent[] = [];
  let lastSequence = 1;

  function publish(type: CacheEvent['type'], blocks: readonly string[]) {
    if (blocks.length === 0 && type !== 'cleared') {
      return;
    }
    lastSequence += 1;
    if (random.chance(eventLoss)) {
      return;
    }
    events.push({
      fromMs: clock.now() + eventDelayMs,
      event: {sequence: lastSequence, type, blocks},
    });
    if (events.length > KEPT_EVENTS) {
      events.shift();
    }
  }

  function evict(): string[] {
    const evicted: string[] = [];
    for (const block of cached) {
      if (cached.size <= capacity) {
        break;
      }
      cached.delete(block);
      evicted.push(block);
    }
    return evicted;
  }

  return {
    countPrefix(blocks) {
      const miss = blocks.findIndex(block => !cached.has(block));
      return miss < 0 ? blocks.length : miss;
    },
    store(blocks) {
      const added = blocks.filter(block => !cached.has(block));
      // From the end to the start: a block is of no use without those before
      // it, so the start of a prefix has to be evicted last.
      for (let index = blocks.length - 1; index >= 0; index--) {
        const block = blocks[index]!;
        cached.delete(block);
        cached.add(block);
      }
      publish('stored', added);
      publish('evicted', evict());
    },
    clear() {
      cached.clear();
      publish('cleared', []);
    },
    get size() {
      return cached.size;
    },
    eventsAfter(after) {
      if (after < 0) {
        return [
          {sequence: lastSequence - 1, type: 'cleared', blocks: []},
          {sequence: lastSequence, type: 'stored', blocks: [...cached]},
        ];
      }
      const nowMs = clock.now();
      return events
        .filter(({event, fromMs}) => event.sequence > after && fromMs <= nowMs)
        .map(({event}) => event);
    },
  };
}
