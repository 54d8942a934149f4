/** Queue of member updates to be gossiped with heartbeats. */
import type {MemberChange, MemberUpdate} from '@skylarkfield/protocol';

/** Updates carried by one heartbeat. */
export interface GossipBatch {
  readonly updates: readonly MemberUpdate[];
  readonly changes: readonly MemberChange[];
}

/** Queue of the updates that this entry still has to gossip. */
export interface GossipQueue {
  /** Queues an update; replaces a queued update of the same member. */
  add(update: MemberUpdate): void;
  /** Dequeues the updates for the next heartbeat, up to the size limit. */
  dequeueBatch(): GossipBatch;
  size(): number;
}

/**
 * Maximum estimated size of the updates in one heartbeat, in bytes. With six
 * neighbours this limit keeps an entry's traffic, sent and received, under 7 KB
 * a second, even during the loss of a failure domain.
 */
const MAX_GOSSIP_BYTES = 500;
/** Approximate encoded size of a full update, in bytes. */
const UPDATE_BYTES = 90;
/** Approximate encoded size of a state change without addresses, in bytes. */
const CHANGE_BYTES = 24;

/**
 * Creates an empty FIFO queue. Each update is sent once to every neighbour,
 * which in turn forwards it; updates in lost messages are recovered by
 * comparing digests.
 *
 * @example
 * gossip.add(update);
 * const {updates, changes} = gossip.dequeueBatch();
 * network.broadcast('heartbeat', {...head, news: updates, changes});
 */
export function createGossipQueue(): GossipQueue {
  const queue = new Map<string, MemberUpdate>();
  return {
    add(update) {
      queue.delete(update.id);
      queue.set(update.id, update);
    },
    dequeueBatch() {
      const updates: MemberUpdate[] = [];
      const changes: MemberChange[] = [];
      let bytes = 0;
      for (const item of queue.values()) {
        const change = toChange(item);
        bytes += change === undefined ? UPDATE_BYTES : CHANGE_BYTES;
        if (bytes > MAX_GOSSIP_BYTES) {
          break;
        }
        queue.delete(item.id);
        if (change === undefined) {
          updates.push(item);
        } else {
          changes.push(change);
        }
      }
      return {updates, changes};
    },
    size: () => queue.size,
  };
}

/** Returns the update as a state change, or undefined if it needs addresses. */
function toChange(update: MemberUpdate): MemberChange | undefined {
  const {id, incarnation, sequence, state} = update;
  if (state === 'leaving' || state === 'gone') {
    return {id, incarnation, sequence, state};
  }
  return undefined;
}
