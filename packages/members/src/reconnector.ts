/**
 * Reconnects members after a network partition. Each side considers the other
 * gone; without these attempts they would never communicate again, and callers
 * would keep being routed to one side only.
 */
import type {Clock, Logger, Random} from '@skylarkfield/base';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {MemberObject} from './memberObjects.js';
import type {PeerDirectory} from './peerDirectory.js';
import type {Reconciler} from './reconciler.js';
import type {FailureDetector} from './failureDetector.js';

/** Contacts members that are gone or not known yet. */
export interface Reconnector {
  /** Contacts a member known only by its object; returns whether it replied. */
  contactMember(id: string, value: MemberObject): Promise<boolean>;
  /** Contacts all seeds. */
  contactSeeds(): void;
  /** Contacts one lost member when due; must be called with every heartbeat. */
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
  /** Interval of attempts, in milliseconds. */
  readonly reconnectIntervalMs: number;
}): Reconnector {
  const {peerDirectory, failureDetector, reconciler, network} = options;
  const {clock, random, log, seeds, reconnectIntervalMs} = options;
  let lastAttemptAt = clock.now();

  async function contactSeed(url: string): Promise<void> {
    try {
      const id = await network.dial(url);
      if (await failureDetector.probe(id)) {
        await reconciler.fetch(id);
      }
    } catch (error) {
      log.debug({url, reason: String(error)}, 'failed to contact seed');
    }
  }

  return {
    async contactMember(id, value) {
      peerDirectory.addContact(id, value.innerUrl);
      const isReachable = await failureDetector.probe(id);
      peerDirectory.removeContact(id);
      if (isReachable) {
        await reconciler.fetch(id);
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
      const isAlone = peerDirectory.neighbours().length === 0;
      // One at a time: many lost members must not cause a burst of attempts.
      const lost = random.pick(peerDirectory.lost());
      if (lost !== undefined) {
        void failureDetector.probe(lost.update.id);
      }
      const seed = random.pick(seeds);
      if (isAlone && seed !== undefined) {
        void contactSeed(seed);
      }
    },
  };
}
