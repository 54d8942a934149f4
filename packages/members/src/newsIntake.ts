/** Takes in what others say of members, and queues for the peers what was new. */
import type {MemberChange, MemberNews} from '@skylarkfield/protocol';
import type {Gossip} from './gossip.js';
import type {MemberTable} from './memberTable.js';
import {checkNews} from './newsShape.js';
import type {OwnEntry} from './ownEntry.js';

export interface NewsIntake {
  /** Takes news in; tells whether it was new. Throws a `ServingError` when it is malformed. */
  learn(news: MemberNews): boolean;
  /** The same for a change of state alone, which needs a member known before. */
  learnChange(change: MemberChange): void;
}

/**
 * Makes the intake of one entry.
 *
 * @example
 * const intake = createNewsIntake({own, table, gossip, onDidRefute});
 * body.news.forEach(intake.learn);
 */
export function createNewsIntake(options: {
  readonly own: OwnEntry;
  readonly table: MemberTable;
  readonly gossip: Gossip;
  /** Others took this process for gone, or for an earlier or later one. */
  onDidRefute(): void;
}): NewsIntake {
  const {own, table, gossip} = options;

  function refute(news: MemberNews) {
    if (own.refute(news)) {
      gossip.add(own.news());
      options.onDidRefute();
    }
  }

  function learn(news: MemberNews): boolean {
    checkNews(news);
    if (news.id === own.base().id) {
      refute(news);
      return false;
    }
    // Suspicion is each entry's own matter; as news it would be passed on long after.
    const settled: MemberNews =
      news.state === 'suspect' ? {...news, state: 'live'} : news;
    if (!table.apply(settled)) {
      return false;
    }
    gossip.add(settled);
    return true;
  }

  return {
    learn,
    learnChange(change) {
      const isOwn = change.id === own.base().id;
      const known = isOwn ? own.base() : table.get(change.id)?.news;
      // A change of a member that is not known here says nothing worth keeping.
      if (known !== undefined) {
        learn({...known, ...change});
      }
    },
  };
}
