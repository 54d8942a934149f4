/** The states of a shard and what may follow on each. */
import {createMachine, state, transition} from 'robot3';

/**
 * `unowned`: another process may own it. `taking`: the change of owner is being
 * written. `owned`: may commit claims. `bound`: a reply was lost, nothing
 * follows from the write until its outcome is known. `releasing`: it is being
 * handed over, no more claims.
 */
export type ShardState = 'unowned' | 'taking' | 'owned' | 'bound' | 'releasing';

export type ShardEvent =
  | 'startTakeOver'
  | 'acquire'
  | 'writeUncertain'
  | 'writeResolved'
  | 'release'
  | 'lose';

/** No transition leads from `unowned` to `owned`: only a landed write of the new epoch makes an owner. */
export const shardMachine = createMachine({
  unowned: state(transition('startTakeOver', 'taking')),
  taking: state(transition('acquire', 'owned'), transition('lose', 'unowned')),
  owned: state(
    transition('writeUncertain', 'bound'),
    transition('release', 'releasing'),
    transition('lose', 'unowned'),
  ),
  bound: state(
    transition('writeResolved', 'owned'),
    transition('lose', 'unowned'),
  ),
  releasing: state(
    transition('acquire', 'owned'),
    transition('lose', 'unowned'),
  ),
});
