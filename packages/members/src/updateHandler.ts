/** Applies member updates from peers and queues the new ones for gossip. */
import {createFirstOccurrences, type Logger} from '@skylarkfield/base';
import type {MemberChange, MemberUpdate} from '@skylarkfield/protocol';
import type {GossipQueue} from './gossip.js';
import {MAX_TEXT_LENGTH} from './memberObject.js';
import type {MemberTable} from './memberTable.js';
import {validateUpdate} from './updateValidation.js';
import type {LocalMember} from './localMember.js';

/** Number of malformed updates that are remembered as logged. */
const MAX_LOGGED_UPDATES = 100;

/** Applies member updates and state changes received from peers. */
export interface UpdateHandler {
  /**
   * Applies an update if it is newer than the stored update; returns whether it
   * was applied. Throws `ServingError` if the update is malformed.
   */
  applyUpdate(update: MemberUpdate): boolean;
  /** Applies a batch of updates; ignores malformed ones. */
  applyUpdates(updates: readonly MemberUpdate[]): void;
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
 * updateHandler.applyUpdates(body.news);
 */
export function createUpdateHandler(options: {
  readonly localMember: LocalMember;
  readonly table: MemberTable;
  readonly gossip: GossipQueue;
  readonly log: Logger;
  /** Called after this process refuted an update that contradicts its state. */
  onDidRefute(): void;
}): UpdateHandler {
  const {localMember, table, gossip, log} = options;
  const isFirstMention = createFirstOccurrences(MAX_LOGGED_UPDATES);

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

  /** Logs a malformed update once for each member. */
  function tryApplyUpdate(update: MemberUpdate): void {
    try {
      applyUpdate(update);
    } catch (error) {
      const member = String(update?.id).slice(0, MAX_TEXT_LENGTH);
      if (isFirstMention(member)) {
        log.warn({member, reason: String(error)}, 'ignored a member update');
      }
    }
  }

  return {
    applyUpdate,
    applyUpdates: updates => updates.forEach(tryApplyUpdate),
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
