/** Sending and processing of heartbeats between neighbours. */
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {GossipQueue} from './gossip.js';
import type {MemberTable} from './memberTable.js';
import type {UpdateHandler} from './updateHandler.js';
import type {LocalMember} from './localMember.js';
import type {Reconciler} from './reconciler.js';
import type {FailureDetector} from './failureDetector.js';

/** Sends the heartbeats of one entry and processes received heartbeats. */
export interface Heartbeats {
  send(neighbourIds: readonly string[]): void;
  receive(from: string, body: Messages['heartbeat']): void;
}

/**
 * Creates the heartbeat handling of one entry.
 *
 * @example
 * const heartbeats = createHeartbeats({localMember, table, gossip, ...rest});
 * heartbeats.send(peerDirectory.neighbourIds());
 */
export function createHeartbeats(options: {
  readonly localMember: LocalMember;
  readonly table: MemberTable;
  readonly gossip: GossipQueue;
  readonly updateHandler: UpdateHandler;
  readonly failureDetector: FailureDetector;
  readonly reconciler: Reconciler;
  readonly network: PeerNetwork;
}): Heartbeats {
  const {
    localMember,
    table,
    gossip,
    updateHandler,
    failureDetector,
    reconciler,
    network,
  } = options;

  return {
    send(neighbourIds) {
      const {updates, changes} = gossip.dequeueBatch();
      const {incarnation, sequence, load} = localMember.currentUpdate();
      const digest = table.digestWith(localMember.baseUpdate());
      const body = {
        incarnation,
        sequence,
        load,
        news: updates,
        digest,
        ...(changes.length > 0 && {changes}),
      };
      network.broadcast('heartbeat', body, neighbourIds);
    },
    receive(from, body) {
      updateHandler.applyUpdates(body.news);
      body.changes?.forEach(updateHandler.applyChange);
      const knownMember = table.get(from);
      const isUpToDate =
        knownMember !== undefined &&
        knownMember.machine.state() !== 'gone' &&
        knownMember.update.incarnation === body.incarnation &&
        knownMember.update.sequence >= body.sequence;
      if (!isUpToDate) {
        // The probe response contains the sender's addresses and refutes an
        // outdated state of the sender.
        void failureDetector.probe(from);
        return;
      }
      knownMember.load = body.load;
      failureDetector.recordHeartbeat(from);
      reconciler.compareDigest(from, body.digest);
    },
  };
}
