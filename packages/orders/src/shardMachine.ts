/** State machine of a shard. */
import {createMachine, state, transition} from 'robot3';

/**
 * `unowned`: another process may own the shard. `taking`: the change of owner
 * is being written. `owned`: this process may commit claims. `bound`: the
 * response to a write was lost; nothing may depend on the write until its
 * outcome is known. `releasing`: the release is being written; no further
 * claims are committed.
 */
export type ShardState = 'unowned' | 'taking' | 'owned' | 'bound' | 'releasing';

export type ShardEvent =
  | 'startTakeOver'
  | 'acquire'
  | 'writeUncertain'
  | 'writeResolved'
  | 'release'
  | 'lose';

/** A shard becomes `owned` only by a committed write of a new epoch. */
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
