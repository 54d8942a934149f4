/** Delivers claim outcomes to shard owners other than this process. */
import type {Clock} from '@skylarkfield/base';
import type {CachedOutcome, OutcomeCache} from './outcomeCache.js';
import type {OrderNetwork} from './orderRouter.js';
import type {Shard} from './shardContracts.js';

export interface OutcomeSenderOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly member: string;
  /**
   * Id of the entry that should own a shard; undefined when no entry accepts
   * new work.
   */
  readonly preferredOwner: (shard: number) => string | undefined;
  readonly undeliveredOutcomes: OutcomeCache;
  readonly shards: readonly Shard[];
}

export interface OutcomeSender {
  /**
   * Tries once to deliver all outcomes, after the delivery round in progress if
   * there is one. Outcomes that can't be delivered stay in the cache.
   */
  send(): Promise<void>;
}

const REQUEST_TIMEOUT_MS = 2_000;

/**
 * Creates the sender; it runs one delivery round at a time.
 *
 * @example
 * scheduleRepeatedly(clock, 250, () => void sender.send());
 */
export function createOutcomeSender(
  options: OutcomeSenderOptions,
): OutcomeSender {
  const {network, clock, member, undeliveredOutcomes, shards} = options;
  let roundInProgress: Promise<void> | undefined;
  /** Follows the round in progress, for calls of `send` during that round. */
  let nextRound: Promise<void> | undefined;

  /**
   * Returns the entry to send a shard's outcomes to; undefined if no entry
   * accepts new work or this process has acquired the shard.
   */
  async function findRecipient(index: number): Promise<string | undefined> {
    const recipient = options.preferredOwner(index);
    if (recipient !== member) {
      return recipient;
    }
    const ownership = await shards[index]?.acquire().catch(() => undefined);
    return ownership?.type === 'elsewhere' ? ownership.member : undefined;
  }

  async function sendTo(
    recipient: string,
    shard: number,
    cachedOutcomes: readonly CachedOutcome[],
  ): Promise<void> {
    const hops = Math.max(...cachedOutcomes.map(outcome => outcome.hops)) + 1;
    const outcomes = cachedOutcomes.map(({outcome}) => outcome);
    try {
      const body = {shard, hops, outcomes};
      await network.request(
        recipient,
        'orderOutcomes',
        body,
        REQUEST_TIMEOUT_MS,
      );
      outcomes.forEach(({id, token}) => undeliveredOutcomes.remove(id, token));
    } catch {
      // The outcomes stay in the cache and are sent again in the next round.
    }
  }

  async function sendOutcomesOfShard(index: number): Promise<void> {
    const cachedOutcomes = undeliveredOutcomes.listByShard(index, clock.now());
    const recipient = await findRecipient(index);
    if (cachedOutcomes.length > 0 && recipient !== undefined) {
      await sendTo(recipient, index, cachedOutcomes);
    }
  }

  function startRound(): Promise<void> {
    // Sent in parallel, so that a leaving process waits only for the slowest
    // owner.
    roundInProgress = Promise.all(
      undeliveredOutcomes.shardIndexes().map(sendOutcomesOfShard),
    )
      .then(() => undefined)
      .finally(() => (roundInProgress = undefined));
    return roundInProgress;
  }

  function startNextRound(): Promise<void> {
    nextRound = undefined;
    // A round that another call has started meanwhile includes all outcomes
    // that callers of this round wait for.
    return roundInProgress ?? startRound();
  }

  return {
    send() {
      if (roundInProgress === undefined) {
        return startRound();
      }
      // The round in progress may have passed a shard before its outcome was
      // added. If a leaving process exited after that round, a retry of an
      // order with a known reply would get `may-have-run`.
      nextRound ??= roundInProgress.then(startNextRound, startNextRound);
      return nextRound;
    },
  };
}
