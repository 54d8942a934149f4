/** Applies member updates from peers and queues the new ones for gossip. */
import type {MemberChange, MemberUpdate} from '@skylarkfield/protocol';
import type {GossipQueue} from './gossip.js';
import type {MemberTable} from './memberTable.js';
import {validateUpdate} from './updateValidation.js';
import type {LocalMember} from './localMember.js';

/** Applies member updates and state changes received from peers. */
export interface UpdateHandler {
  /**
   * Applies an update if it is newer than the stored update; returns whether it
   * was applied. Throws `ServingError` if the update is malformed.
   */
  applyUpdate(update: MemberUpdate): boolean;
  /**
   * Applies a state change, which has no addresses; ignores unknown members.
   */
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
  /** Called after this process refuted an update that contradicts its state. */
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
    // Suspicion is local to each entry. If gossiped, it would persist at other
    // entries after the suspect has answered.
    const sharedUpdate: MemberUpdate =
      update.state === 'suspect' ? {...update, state: 'live'} : update;
    if (!table.apply(sharedUpdate)) {
      return false;
    }
    gossip.add(sharedUpdate);
    return true;
  }

  return {
    applyUpdate,
    applyChange(change) {
      const isLocal = change.id === localMember.baseUpdate().id;
      const knownUpdate = isLocal
        ? localMember.baseUpdate()
        : table.get(change.id)?.update;
      // A change has no addresses, so an unknown member cannot be added from
      // it.
      if (knownUpdate !== undefined) {
        applyUpdate({...knownUpdate, ...change});
      }
    },
  };
}
