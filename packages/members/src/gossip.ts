/** News that waits to be sent with heartbeats. */
import type {MemberChange, MemberNews} from '@skylarkfield/protocol';

/** What one heartbeat carries. */
export interface GossipLoad {
  readonly news: readonly MemberNews[];
  readonly changes: readonly MemberChange[];
}

export interface Gossip {
  /** Queues news for the next heartbeat; later news of the same member replaces it. */
  add(news: MemberNews): void;
  /** What the next heartbeat carries, within a bound. */
  take(): GossipLoad;
  size(): number;
}

/**
 * Bound on the news of one heartbeat, in bytes by the weights below: with six
 * neighbours it keeps an entry under 7 KB a second, sent and received, also
 * while a failure domain is lost.
 */
const HEARTBEAT_NEWS_BYTES = 500;
/** About the encoded bytes of a member with its addresses. */
const NEWS_BYTES = 90;
/** About the encoded bytes of a change of state alone. */
const CHANGE_BYTES = 24;

/**
 * Makes an empty queue, first in first out. Each item is sent once to every
 * neighbour, and each of them passes it on: what a lost message held is mended
 * by comparing digests.
 *
 * @example
 * gossip.add(news);
 * network.broadcast('heartbeat', {...head, ...gossip.take()});
 */
export function createGossip(): Gossip {
  const queue = new Map<string, MemberNews>();
  return {
    add(news) {
      queue.delete(news.id);
      queue.set(news.id, news);
    },
    take() {
      const news: MemberNews[] = [];
      const changes: MemberChange[] = [];
      let bytes = 0;
      for (const item of queue.values()) {
        const change = toChange(item);
        bytes += change === undefined ? NEWS_BYTES : CHANGE_BYTES;
        if (bytes > HEARTBEAT_NEWS_BYTES) {
          break;
        }
        queue.delete(item.id);
        if (change === undefined) {
          news.push(item);
        } else {
          changes.push(change);
        }
      }
      return {news, changes};
    },
    size: () => queue.size,
  };
}

function toChange(news: MemberNews): MemberChange | undefined {
  const {id, incarnation, sequence, state} = news;
  if (state === 'leaving' || state === 'gone') {
    return {id, incarnation, sequence, state};
  }
  return undefined;
}
