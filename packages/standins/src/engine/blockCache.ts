/** Bounded LRU prefix cache of block hashes, and events about its changes. */
import type {Clock, Random} from '@skylarkfield/base';
import type {CacheEvent} from '@skylarkfield/endpoints';

export interface BlockCacheOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Maximum number of blocks. */
  readonly capacity: number;
  /** Delay from a cache change until its event can be fetched. */
  readonly eventDelayMs: number;
  /** Probability that an event is lost; a loss leaves a gap in the sequence. */
  readonly eventLossProbability: number;
}

export interface BlockCache {
  /** Returns the number of leading blocks of a prompt that are cached. */
  countCachedPrefixBlocks(blocks: readonly string[]): number;
  /** Adds blocks or marks them as used; evicts least recently used blocks. */
  store(blocks: readonly string[]): void;
  clear(): void;
  readonly size: number;
  /**
   * Returns the published events after a sequence number; -1 returns the full
   * contents of the cache as two events.
   */
  eventsAfter(afterSequence: number): readonly CacheEvent[];
}

/** Maximum number of retained events; a dropped event leaves a sequence gap. */
const MAX_RETAINED_EVENTS = 2000;

/** An event and the time from which it can be fetched. */
interface PublishedEvent {
  readonly fetchableFromMs: number;
  readonly event: CacheEvent;
}

/**
 * Creates an empty cache.
 *
 * @example
 * const options = {capacity: 500, eventDelayMs: 200, eventLossProbability: 0};
 * const cache = createBlockCache({clock, random, ...options});
 */
export function createBlockCache(options: BlockCacheOptions): BlockCache {
  const {clock, random, capacity, eventDelayMs, eventLossProbability} = options;
  /** Cached blocks, least recently used first. */
  const cachedBlocks = new Set<string>();
  const events: PublishedEvent[] = [];
  let lastSequence = 1;

  function publish(type: CacheEvent['type'], blocks: readonly string[]) {
    if (blocks.length === 0 && type !== 'cleared') {
      return;
    }
    lastSequence += 1;
    if (random.chance(eventLossProbability)) {
      return;
    }
    events.push({
      fetchableFromMs: clock.now() + eventDelayMs,
      event: {sequence: lastSequence, type, blocks},
    });
    if (events.length > MAX_RETAINED_EVENTS) {
      events.shift();
    }
  }

  function evictExcessBlocks(): string[] {
    const evictedBlocks: string[] = [];
    for (const block of cachedBlocks) {
      if (cachedBlocks.size <= capacity) {
        break;
      }
      cachedBlocks.delete(block);
      evictedBlocks.push(block);
    }
    return evictedBlocks;
  }

  return {
    countCachedPrefixBlocks(blocks) {
      const firstMissIndex = blocks.findIndex(
        block => !cachedBlocks.has(block),
      );
      return firstMissIndex < 0 ? blocks.length : firstMissIndex;
    },
    store(blocks) {
      const addedBlocks = blocks.filter(block => !cachedBlocks.has(block));
      // Marks the last block as used first: a block is useless without the
      // blocks before it, so the start of a prefix must be evicted last.
      for (let index = blocks.length - 1; index >= 0; index--) {
        const block = blocks[index]!;
        cachedBlocks.delete(block);
        cachedBlocks.add(block);
      }
      publish('stored', addedBlocks);
      publish('evicted', evictExcessBlocks());
    },
    clear() {
      cachedBlocks.clear();
      publish('cleared', []);
    },
    get size() {
      return cachedBlocks.size;
    },
    eventsAfter(afterSequence) {
      if (afterSequence < 0) {
        return [
          {sequence: lastSequence - 1, type: 'cleared', blocks: []},
          {sequence: lastSequence, type: 'stored', blocks: [...cachedBlocks]},
        ];
      }
      const nowMs = clock.now();
      return events
        .filter(
          ({event, fetchableFromMs}) =>
            event.sequence > afterSequence && fetchableFromMs <= nowMs,
        )
        .map(({event}) => event);
    },
  };
}
