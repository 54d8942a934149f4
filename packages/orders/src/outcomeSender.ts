/** Delivers claim outcomes to the owners of shards not owned here. */
import type {Clock} from '@skylarkfield/base';
import type {CachedOutcome, OutcomeCache} from './outcomeCache.js';
import type {OrderNetwork} from './orderRouter.js';
import type {Shard} from './shardContracts.js';

export interface OutcomeSenderOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly member: string;
  /** The entry that should own a shard, if any accepts new work. */
  readonly preferredOwner: (shard: number) => string | undefined;
  readonly undelivered: OutcomeCache;
  readonly shards: readonly Shard[];
}

export interface OutcomeSender {
  /**
   * Tries once to deliver all outcomes, after the round in progress; those that
   * can't be delivered stay in the cache.
   */
  send(): Promise<void>;
}

const REQUEST_TIMEOUT_MS = 2_000;

/**
 * Creates the sender; it runs one delivery round at a time.
 *
 * @example
 * every(clock, 250, () => void sender.send());
 */
export function createOutcomeSender(
  options: OutcomeSenderOptions,
): OutcomeSender {
  const {network, clock, member, undelivered, shards} = options;
  let round: Promise<void> | undefined;
  /** Starts after the round in progress, for `send` calls made meanwhile. */
  let nextRound: Promise<void> | undefined;

  /**
   * Entry to send a shard's outcomes to; undefined if there is none or the
   * shard was acquired here.
   */
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
      await network.request(
        recipient,
        'orderOutcomes',
        body,
        REQUEST_TIMEOUT_MS,
      );
      outcomes.forEach(({id, token}) => undelivered.remove(id, token));
    } catch {
      // The outcomes stay in the cache and are sent again in the next round.
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
    // In parallel: a leaving process waits only for the slowest owner.
    round = Promise.all(undelivered.shards().map(sendShard))
      .then(() => undefined)
      .finally(() => (round = undefined));
    return round;
  }

  function startNextRound(): Promise<void> {
    nextRound = undefined;
    // A round that has started since includes what all callers wait for.
    return round ?? startRound();
  }

  return {
    send() {
      if (round === undefined) {
        return startRound();
      }
      // The round in progress may have passed a shard before its outcome was
      // added. If a leaving process exited after that round, a retry of an
      // order with a known reply would get `may-have-run`.
      nextRound ??= round.then(startNextRound, startNextRound);
      return nextRound;
    },
  };
}
