/** Applies member updates from peers and queues the new ones for gossip. */
import type {MemberChange, MemberUpdate} from '@skylarkfield/protocol';
import type {GossipQueue} from './gossip.js';
import type {MemberTable} from './memberTable.js';
import {validateUpdate} from './updateValidation.js';
import type {LocalMember} from './localMember.js';

/** Applies member updates of any message type. */
export interface UpdateHandler {
  /** Returns whether the update was new. Throws `ServingError` if malformed. */
  applyUpdate(update: MemberUpdate): boolean;
  /** Applies a state change without addresses; ignored for unknown members. */
  applyChange(change: MemberChange): void;
}

/**
 * Creates the update handler of one entry.
 *
 * @example
 * const updateHandler = createUpdateHandler({localMember, table, ...rest});
 * body.news.forEach(updateHandler.applyUpdate);
 */
export function createUpdateHandler(options: {
  readonly localMember: LocalMember;
  readonly table: MemberTable;
  readonly gossip: GossipQueue;
  /** Called after refuting an update that contradicts this process's state. */
  onDidRefute(): void;
}): UpdateHandler {
  const {localMember, table, gossip} = options;

  function refute(update: MemberUpdate) {
    if (localMember.refute(update)) {
      gossip.add(localMember.currentUpdate());
      options.onDidRefute();
    }
  }

  function applyUpdate(update: MemberUpdate): boolean {
    validateUpdate(update);
    if (update.id === localMember.baseUpdate().id) {
      refute(update);
      return false;
    }
    // Suspicion is local to each entry; gossiped, it would outlive its cause.
    const shared: MemberUpdate =
      update.state === 'suspect' ? {...update, state: 'live'} : update;
    if (!table.apply(shared)) {
      return false;
    }
    gossip.add(shared);
    return true;
  }

  return {
    applyUpdate,
    applyChange(change) {
      const isLocal = change.id === localMember.baseUpdate().id;
      const known = isLocal
        ? localMember.baseUpdate()
        : table.get(change.id)?.update;
      // Without a known member the change lacks the addresses to store.
      if (known !== undefined) {
        applyUpdate({...known, ...change});
      }
    },
  };
}
