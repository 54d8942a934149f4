/**
 * Finds members again after a cut. Each side of a healed cut counts the other
 * as gone, and without this neither would ever speak to the other: callers
 * would go on to be sent to one side only.
 */
import type {Clock, Logger, Random} from '@skylarkfield/base';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {MemberObject} from './memberObjects.js';
import type {PeerBook} from './peerBook.js';
import type {Reconciler} from './reconciler.js';
import type {SilenceDetector} from './silence.js';

export interface LostMembers {
  /** Tries a member that is known by its object only; tells whether it answered. */
  contactMember(id: string, value: MemberObject): Promise<boolean>;
  /** Tries all the seeds. */
  contactSeeds(): void;
  /** Tries one lost member when it is time; call it with every heartbeat. */
  check(): void;
}

/**
 * Makes the search of one entry.
 *
 * @example
 * const lostMembers = createLostMembers({book, silence, ...rest});
 * lostMembers.contactSeeds();
 */
export function createLostMembers(options: {
  readonly book: PeerBook;
  readonly silence: SilenceDetector;
  readonly reconciler: Reconciler;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Inner addresses to join through when the platform does not answer. */
  readonly seeds: readonly string[];
  /** Between two attempts, in milliseconds. */
  readonly contactMs: number;
}): LostMembers {
  const {book, silence, reconciler, network} = options;
  const {clock, random, log, seeds, contactMs} = options;
  let contactedAt = clock.now();

  async function contactSeed(url: string): Promise<void> {
    try {
      const id = await network.dial(url);
      if (await silence.probe(id)) {
        await reconciler.fetch(id);
      }
    } catch (error) {
      log.debug({url, reason: String(error)}, 'a seed does not answer');
    }
  }

  return {
    async contactMember(id, value) {
      book.addContact(id, value.innerUrl);
      const answered = await silence.probe(id);
      book.removeContact(id);
      if (answered) {
        await reconciler.fetch(id);
      }
      return answered;
    },
    contactSeeds() {
      for (const seed of seeds) {
        void contactSeed(seed);
      }
    },
    check() {
      const now = clock.now();
      if (now - contactedAt < contactMs) {
        return;
      }
      contactedAt = now;
      const isAlone = book.neighbours().length === 0;
      // One a time: a healed cut is found without a storm of attempts.
      const lost = random.pick(book.lost());
      if (lost !== undefined) {
        void silence.probe(lost.news.id);
      }
      const seed = random.pick(seeds);
      if (isAlone && seed !== undefined) {
        void contactSeed(seed);
      }
    },
  };
}
