/**
 * Reconnects members after a network partition. Each side considers the members
 * of the other side gone. Without reconnection attempts the two sides would
 * never communicate again, and callers would keep being routed to one side
 * only.
 */
import type {Clock, Logger, Random} from '@skylarkfield/base';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {MemberObject} from './memberObject.js';
import type {PeerDirectory} from './peerDirectory.js';
import type {Reconciler} from './reconciler.js';
import type {FailureDetector} from './failureDetector.js';

/** Contacts members that are gone or not known yet. */
export interface Reconnector {
  /**
   * Contacts a member that is known only by its object; resolves to whether the
   * member replied.
   */
  contactMember(id: string, memberObject: MemberObject): Promise<boolean>;
  /** Contacts all seeds and fetches their member updates. */
  contactSeeds(): void;
  /**
   * Contacts a lost member, and a seed if this entry has no neighbours, every
   * `reconnectIntervalMs`; must be called with every heartbeat.
   */
  check(): void;
}

/**
 * Creates the reconnector of one entry.
 *
 * @example
 * const reconnector = createReconnector({peerDirectory, reconciler, ...rest});
 * reconnector.contactSeeds();
 */
export function createReconnector(options: {
  readonly peerDirectory: PeerDirectory;
  readonly failureDetector: FailureDetector;
  readonly reconciler: Reconciler;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Inner URLs of peers to join through when the platform is unavailable. */
  readonly seeds: readonly string[];
  /** Interval of attempts to contact a lost member, in milliseconds. */
  readonly reconnectIntervalMs: number;
}): Reconnector {
  const {peerDirectory, failureDetector, reconciler, network} = options;
  const {clock, random, log, seeds, reconnectIntervalMs} = options;
  let lastAttemptAt = clock.now();

  async function contactSeed(url: string): Promise<void> {
    try {
      const id = await network.dial(url);
      if (await failureDetector.probe(id)) {
        await reconciler.fetchUpdates(id);
      }
    } catch (error) {
      log.debug({url, reason: String(error)}, 'failed to contact seed');
    }
  }

  return {
    async contactMember(id, memberObject) {
      peerDirectory.addContact(id, memberObject.innerUrl);
      const isReachable = await failureDetector.probe(id);
      peerDirectory.removeContact(id);
      if (isReachable) {
        await reconciler.fetchUpdates(id);
      }
      return isReachable;
    },
    contactSeeds() {
      for (const seed of seeds) {
        void contactSeed(seed);
      }
    },
    check() {
      const now = clock.now();
      if (now - lastAttemptAt < reconnectIntervalMs) {
        return;
      }
      lastAttemptAt = now;
      const isAlone = peerDirectory.neighbourIds().length === 0;
      // Only one lost member is contacted, so that the loss of many members
      // does not cause a burst of attempts.
      const lostMember = random.pick(peerDirectory.lostMembers());
      if (lostMember !== undefined) {
        void failureDetector.probe(lostMember.update.id);
      }
      const seed = random.pick(seeds);
      if (isAlone && seed !== undefined) {
        void contactSeed(seed);
      }
    },
  };
}
