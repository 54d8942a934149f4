/** News that still has to ride on heartbeats. */
import type {MemberNews} from '@skylarkfield/protocol';

export interface Gossip {
  /** Queues news for the next heartbeats; later news of the same member replaces it. */
  add(news: MemberNews): void;
  /** The news of the next heartbeat, at most a bounded number of items. */
  take(): readonly MemberNews[];
  size(): number;
}

/** Bounds a heartbeat to about a kilobyte, however much happens at once. */
export const NEWS_PER_HEARTBEAT = 12;
/** Heartbeats that carry one item: the second covers a lost message. */
const REPEATS = 2;

/**
 * Makes an empty queue, first in first out.
 *
 * @example
 * gossip.add(news);
 * network.broadcast('heartbeat', {...head, news: gossip.take()});
 */
export function createGossip(): Gossip {
  const queue = new Map<string, {news: MemberNews; remaining: number}>();
  return {
    add(news) {
      queue.delete(news.id);
      queue.set(news.id, {news, remaining: REPEATS});
    },
    take() {
      const chosen = [...queue.values()].slice(0, NEWS_PER_HEARTBEAT);
      for (const item of chosen) {
        item.remaining -= 1;
        if (item.remaining === 0) {
          queue.delete(item.news.id);
        }
      }
      return chosen.map(item => item.news);
    },
    size: () => queue.size,
  };
}
