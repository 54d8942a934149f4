/** Bounded LRU prefix cache of an engine stand-in and its events. */
import type {Clock, Random} from '@skylarkfield/base';
import type {CacheEvent} from '@skylarkfield/endpoints';

export interface BlockCacheOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Maximum number of blocks. */
  readonly capacity: number;
  /** Delay until an event can be fetched, in milliseconds. */
  readonly eventDelayMs: number;
  /** Probability that an event is lost, which leaves a sequence gap. */
  readonly eventLoss: number;
}

export interface BlockCache {
  /** Returns the number of leading blocks of a prompt that are cached. */
  countCachedPrefix(blocks: readonly string[]): number;
  /** Adds blocks or marks them as used; evicts the least recently used ones. */
  store(blocks: readonly string[]): void;
  clear(): void;
  readonly size: number;
  /** Published events after a sequence number; -1 gives the full contents. */
  eventsAfter(afterSequence: number): readonly CacheEvent[];
}

/** Events retained for fetching; dropping older ones leaves a sequence gap. */
const MAX_RETAINED_EVENTS = 2000;

/** An event that can be fetched from `fromMs` on. */
interface PublishedEvent {
  readonly fromMs: number;
  readonly event: CacheEvent;
}

/**
 * Creates an empty cache.
 *
 * @example
 * const options = {capacity: 500, eventDelayMs: 200, eventLoss: 0};
 * const cache = createBlockCache({clock, random, ...options});
 */
export function createBlockCache(options: BlockCacheOptions): BlockCache {
  const {clock, random, capacity, eventDelayMs, eventLoss} = options;
  /** Cached blocks, least recently used first. */
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
    if (events.length > MAX_RETAINED_EVENTS) {
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
    countCachedPrefix(blocks) {
      const firstMiss = blocks.findIndex(block => !cached.has(block));
      return firstMiss < 0 ? blocks.length : firstMiss;
    },
    store(blocks) {
      const added = blocks.filter(block => !cached.has(block));
      // From end to start: a block is useless without the blocks before it,
      // so the start of a prefix must be evicted last.
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
    eventsAfter(afterSequence) {
      if (afterSequence < 0) {
        return [
          {sequence: lastSequence - 1, type: 'cleared', blocks: []},
          {sequence: lastSequence, type: 'stored', blocks: [...cached]},
        ];
      }
      const nowMs = clock.now();
      return events
        .filter(
          ({event, fromMs}) =>
            event.sequence > afterSequence && fromMs <= nowMs,
        )
        .map(({event}) => event);
    },
  };
}
