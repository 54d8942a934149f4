/**
 * This entry's own member update, and refutation of false updates about this
 * entry.
 */
import type {DecisionLog} from '@skylarkfield/base';
import type {MemberUpdate} from '@skylarkfield/protocol';
import type {Member} from './contracts.js';
import {buildMember} from './memberView.js';

/** Identity and addresses of this entry, fixed at start. */
export interface LocalMemberIdentity {
  readonly id: string;
  /**
   * Number greater than that of any earlier process of this id, such as the
   * start time of the process.
   */
  readonly incarnation: number;
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Processor cores available to this process; undefined if not configured. */
  readonly cores?: number;
}

/** This entry as announced to its peers. */
export interface LocalMember {
  /** Update without the current load, for digests and neighbour selection. */
  baseUpdate(): MemberUpdate;
  /** Update with the current load, as sent to peers. */
  currentUpdate(): MemberUpdate;
  member(): Member;
  /**
   * Refutes an update about this entry by raising the sequence if the update is
   * false; returns whether the update was refuted.
   */
  refute(update: MemberUpdate): boolean;
  /**
   * Sets the services whose endpoints only this entry cannot reach; returns
   * false if they have not changed.
   */
  setUnreachable(services: readonly string[]): boolean;
  /**
   * Enters the state `leaving`; returns false if this entry was already
   * leaving.
   */
  leave(): boolean;
}

/**
 * Creates the member of this process, initially live.
 *
 * @example
 * const localMember = createLocalMember({self, decisions, load: () => count});
 * gossip.add(localMember.currentUpdate());
 */
export function createLocalMember(options: {
  readonly self: LocalMemberIdentity;
  readonly decisions: DecisionLog;
  /** Number of requests in flight on this entry. */
  load(): number;
}): LocalMember {
  const {decisions, load} = options;
  let baseUpdate: MemberUpdate = {
    ...options.self,
    sequence: 0,
    state: 'live',
    load: 0,
  };

  function isFalseUpdate(update: MemberUpdate): boolean {
    if (update.incarnation !== baseUpdate.incarnation) {
      return update.incarnation > baseUpdate.incarnation;
    }
    const isLeavingOrGone =
      update.state === 'leaving' || update.state === 'gone';
    return (
      update.sequence >= baseUpdate.sequence &&
      isLeavingOrGone &&
      update.state !== baseUpdate.state
    );
  }

  return {
    baseUpdate: () => baseUpdate,
    currentUpdate: () => ({...baseUpdate, load: load()}),
    member: () => buildMember(baseUpdate, baseUpdate.state, load()),
    refute(update) {
      if (!isFalseUpdate(update)) {
        return false;
      }
      const isFromLaterProcess = update.incarnation > baseUpdate.incarnation;
      const incarnation = isFromLaterProcess
        ? update.incarnation + 1
        : baseUpdate.incarnation;
      baseUpdate = {...baseUpdate, incarnation, sequence: update.sequence + 1};
      decisions.recordDecision(
        'members',
        baseUpdate.id,
        'refute',
        `reported as ${update.state}`,
        {
          incarnation: update.incarnation,
          sequence: update.sequence,
        },
      );
      return true;
    },
    setUnreachable(services) {
      const {unreachableServices = [], ...update} = baseUpdate;
      if (services.join() === unreachableServices.join()) {
        return false;
      }
      baseUpdate = {
        ...update,
        ...(services.length > 0 && {unreachableServices: services}),
        sequence: update.sequence + 1,
      };
      return true;
    },
    leave() {
      if (baseUpdate.state === 'leaving') {
        return false;
      }
      baseUpdate = {
        ...baseUpdate,
        state: 'leaving',
        sequence: baseUpdate.sequence + 1,
      };
      return true;
    },
  };
}
