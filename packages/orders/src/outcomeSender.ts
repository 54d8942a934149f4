/** Brings outcomes of claims to the owners of shards that this process does not own. */
import type {Clock} from '@skylarkfield/base';
import type {CachedOutcome, OutcomeCache} from './outcomeCache.js';
import type {OrderNetwork} from './orderRouter.js';
import type {Shard} from './shardContracts.js';

export interface OutcomeSenderOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly member: string;
  /** The entry that should own a shard, if any takes new work. */
  readonly preferredOwner: (shard: number) => string | undefined;
  readonly undelivered: OutcomeCache;
  readonly shards: readonly Shard[];
}

export interface OutcomeSender {
  /**
   * Tries all that wait once, after a round under way has ended; what can't be
   * delivered stays.
   */
  send(): Promise<void>;
}

const REQUEST_TIMEOUT_MS = 2_000;

/**
 * Makes the sender; one round runs at a time.
 *
 * @example
 * every(clock, 250, () => void sender.send());
 */
export function createOutcomeSender(
  options: OutcomeSenderOptions,
): OutcomeSender {
  const {network, clock, member, undelivered, shards} = options;
  let round: Promise<void> | undefined;
  /** Follows the round under way, for all who asked meanwhile. */
  let nextRound: Promise<void> | undefined;

  /** Who can note outcomes of a shard; undefined when they were noted here or nobody can now. */
  async function recipientFor(index: number): Promise<string | undefined> {
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
    cached: readonly CachedOutcome[],
  ): Promise<void> {
    const hops = Math.max(...cached.map(outcome => outcome.hops)) + 1;
    const outcomes = cached.map(({outcome}) => outcome);
    try {
      const body = {shard, hops, outcomes};
      await network.ask(recipient, 'orderOutcomes', body, REQUEST_TIMEOUT_MS);
      outcomes.forEach(({id, token}) => undelivered.remove(id, token));
    } catch {
      // They stay, and go again at the next check.
    }
  }

  async function sendShard(index: number): Promise<void> {
    const cached = undelivered.listShard(index, clock.now());
    const recipient = await recipientFor(index);
    if (cached.length > 0 && recipient !== undefined) {
      await sendTo(recipient, index, cached);
    }
  }

  function startRound(): Promise<void> {
    // All shards at once: a leaving process waits for the slowest owner, not for the sum.
    round = Promise.all(undelivered.shards().map(sendShard))
      .then(() => undefined)
      .finally(() => (round = undefined));
    return round;
  }

  function startNextRound(): Promise<void> {
    nextRound = undefined;
    // A round that began after the last one ended has all that those who wait asked for.
    return round ?? startRound();
  }

  return {
    send() {
      if (round === undefined) {
        return startRound();
      }
      // The round under way may have passed an outcome's shard before that outcome came. A leaving
      // process that took this round for enough would end with it, and a retry would hear that an
      // order with a known reply may have run.
      nextRound ??= round.then(startNextRound, startNextRound);
      return nextRound;
    },
  };
}
