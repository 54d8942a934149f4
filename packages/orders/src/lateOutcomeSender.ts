/** Brings outcomes of claims to the owners of shards that this process does not own. */
import {rendezvousOrder, type Clock} from '@skylarkfield/base';
import type {LateOutcome, LateOutcomes} from './lateOutcomes.js';
import type {OrderNetwork} from './orderRoute.js';
import type {Shard} from './shardContracts.js';

export interface LateOutcomeSenderOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly member: string;
  readonly liveMembers: () => readonly string[];
  readonly isReachable: (member: string) => boolean;
  readonly late: LateOutcomes;
  readonly shards: readonly Shard[];
}

export interface LateOutcomeSender {
  /** Tries all that wait once; what can't be delivered stays. */
  send(): Promise<void>;
}

const ASK_TIMEOUT_MS = 2_000;

/**
 * Makes the sender; one round runs at a time.
 *
 * @example
 * every(clock, 250, () => void sender.send());
 */
export function createLateOutcomeSender(
  options: LateOutcomeSenderOptions,
): LateOutcomeSender {
  const {network, clock, member, late, shards} = options;
  let isSending = false;

  /** Who can note outcomes of a shard; undefined when they were noted here or nobody can now. */
  async function targetOf(index: number): Promise<string | undefined> {
    const target = preferredOwner(index);
    if (target !== member) {
      return target;
    }
    const ownership = await shards[index]?.own().catch(() => undefined);
    return ownership?.type === 'elsewhere' ? ownership.member : undefined;
  }

  function preferredOwner(index: number): string | undefined {
    const known = options
      .liveMembers()
      .filter(other => other === member || options.isReachable(other));
    return rendezvousOrder(`ledger/${index}`, known)[0];
  }

  async function sendTo(
    target: string,
    shard: number,
    waiting: readonly LateOutcome[],
  ): Promise<void> {
    const hops = Math.max(...waiting.map(late => late.hops)) + 1;
    const outcomes = waiting.map(({outcome}) => outcome);
    try {
      const body = {shard, hops, outcomes};
      await network.ask(target, 'orderOutcomes', body, ASK_TIMEOUT_MS);
      outcomes.forEach(({id, token}) => late.remove(id, token));
    } catch {
      // They stay, and go again at the next check.
    }
  }

  return {
    async send() {
      if (isSending) {
        return;
      }
      isSending = true;
      for (const index of late.shards()) {
        const waiting = late.ofShard(index, clock.now());
        const target = await targetOf(index);
        if (waiting.length > 0 && target !== undefined) {
          await sendTo(target, index, waiting);
        }
      }
      isSending = false;
    },
  };
}
