/** What this entry says of itself, and how it corrects what others say of it. */
import type {DecisionLog} from '@skylarkfield/base';
import type {MemberNews} from '@skylarkfield/protocol';
import type {Member} from './contracts.js';
import {viewOf} from './memberView.js';

/** What an entry says of itself when it starts. */
export interface OwnAddress {
  readonly id: string;
  /** Higher than that of any earlier process of this id: wall-clock milliseconds do. */
  readonly incarnation: number;
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Processor cores that this process may use; undefined when nobody says. */
  readonly cores?: number;
}

/** This entry as it is announced to the others. */
export interface OwnEntry {
  /** The news without the load of now: what digests and neighbours depend on. */
  base(): MemberNews;
  /** The news with the load of now, as it is sent to others. */
  news(): MemberNews;
  member(): Member;
  /** Raises the sequence where others are wrong about this process; tells whether it did. */
  refute(news: MemberNews): boolean;
  /** Enters the state `leaving`; false when it was entered before. */
  leave(): boolean;
}

/**
 * Makes the entry of this process, live at first.
 *
 * @example
 * const own = createOwnEntry({self, decisions, load: () => inFlight});
 * gossip.add(own.news());
 */
export function createOwnEntry(options: {
  readonly self: OwnAddress;
  readonly decisions: DecisionLog;
  /** Requests in flight here. */
  load(): number;
}): OwnEntry {
  const {decisions, load} = options;
  let own: MemberNews = {
    ...options.self,
    sequence: 0,
    state: 'live',
    load: 0,
  };

  function isWrong(news: MemberNews): boolean {
    if (news.incarnation !== own.incarnation) {
      return news.incarnation > own.incarnation;
    }
    const isOut = news.state === 'leaving' || news.state === 'gone';
    return news.sequence >= own.sequence && isOut && news.state !== own.state;
  }

  return {
    base: () => own,
    news: () => ({...own, load: load()}),
    member: () => viewOf(own, own.state, load()),
    refute(news) {
      if (!isWrong(news)) {
        return false;
      }
      const isLater = news.incarnation > own.incarnation;
      const incarnation = isLater ? news.incarnation + 1 : own.incarnation;
      own = {...own, incarnation, sequence: news.sequence + 1};
      decisions.note('members', own.id, 'refute', `taken for ${news.state}`, {
        incarnation: news.incarnation,
        sequence: news.sequence,
      });
      return true;
    },
    leave() {
      if (own.state === 'leaving') {
        return false;
      }
      own = {...own, state: 'leaving', sequence: own.sequence + 1};
      return true;
    },
  };
}
