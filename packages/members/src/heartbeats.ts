/** Heartbeats between neighbours: sending them, and what is done with each one received. */
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {Gossip} from './gossip.js';
import type {MemberTable} from './memberTable.js';
import type {NewsIntake} from './newsIntake.js';
import type {OwnEntry} from './ownEntry.js';
import type {Reconciler} from './reconciler.js';
import type {SilenceDetector} from './silence.js';

export interface Heartbeats {
  send(neighbours: readonly string[]): void;
  receive(from: string, body: Messages['heartbeat']): void;
}

/**
 * Makes the heartbeats of one entry.
 *
 * @example
 * const heartbeats = createHeartbeats({own, table, gossip, ...rest});
 * heartbeats.send(book.neighbours());
 */
export function createHeartbeats(options: {
  readonly own: OwnEntry;
  readonly table: MemberTable;
  readonly gossip: Gossip;
  readonly intake: NewsIntake;
  readonly silence: SilenceDetector;
  readonly reconciler: Reconciler;
  readonly network: PeerNetwork;
}): Heartbeats {
  const {own, table, gossip, intake, silence, reconciler, network} = options;

  return {
    send(neighbours) {
      const {news, changes} = gossip.take();
      const {incarnation, sequence, load} = own.news();
      const digest = table.digestWith(own.base());
      const body = {
        incarnation,
        sequence,
        load,
        news,
        digest,
        ...(changes.length > 0 && {changes}),
      };
      network.broadcast('heartbeat', body, neighbours);
    },
    receive(from, body) {
      body.news.forEach(intake.learn);
      body.changes?.forEach(intake.learnChange);
      const known = table.get(from);
      const isKnown =
        known !== undefined &&
        known.machine.state() !== 'gone' &&
        known.news.incarnation === body.incarnation &&
        known.news.sequence >= body.sequence;
      if (!isKnown) {
        // Its probe answer brings its addresses, and refutes what we believe.
        void silence.probe(from);
        return;
      }
      known.load = body.load;
      silence.heard(from);
      reconciler.compare(from, body.digest);
    },
  };
}
