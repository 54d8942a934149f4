/** This entry's own member update, and refutation of false updates about it. */
import type {DecisionLog} from '@skylarkfield/base';
import type {MemberUpdate} from '@skylarkfield/protocol';
import type {Member} from './contracts.js';
import {buildMember} from './memberView.js';

/** Identity and addresses of this entry, fixed at start. */
export interface LocalMemberInfo {
  readonly id: string;
  /** Greater than in any earlier process of this id, such as its start time. */
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
  /** Raises the sequence to refute a false update; returns whether it did. */
  refute(update: MemberUpdate): boolean;
  /** Enters the state `leaving`; returns false if already entered. */
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
  readonly self: LocalMemberInfo;
  readonly decisions: DecisionLog;
  /** Number of requests in flight on this entry. */
  load(): number;
}): LocalMember {
  const {decisions, load} = options;
  let base: MemberUpdate = {
    ...options.self,
    sequence: 0,
    state: 'live',
    load: 0,
  };

  function isFalseReport(update: MemberUpdate): boolean {
    if (update.incarnation !== base.incarnation) {
      return update.incarnation > base.incarnation;
    }
    const isLeavingOrGone =
      update.state === 'leaving' || update.state === 'gone';
    return (
      update.sequence >= base.sequence &&
      isLeavingOrGone &&
      update.state !== base.state
    );
  }

  return {
    baseUpdate: () => base,
    currentUpdate: () => ({...base, load: load()}),
    member: () => buildMember(base, base.state, load()),
    refute(update) {
      if (!isFalseReport(update)) {
        return false;
      }
      const isLater = update.incarnation > base.incarnation;
      const incarnation = isLater ? update.incarnation + 1 : base.incarnation;
      base = {...base, incarnation, sequence: update.sequence + 1};
      decisions.note(
        'members',
        base.id,
        'refute',
        `reported as ${update.state}`,
        {
          incarnation: update.incarnation,
          sequence: update.sequence,
        },
      );
      return true;
    },
    leave() {
      if (base.state === 'leaving') {
        return false;
      }
      base = {...base, state: 'leaving', sequence: base.sequence + 1};
      return true;
    },
  };
}
