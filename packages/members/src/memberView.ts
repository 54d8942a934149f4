/** A member as consumers see it. */
import type {MemberNews} from '@skylarkfield/protocol';
import type {Member, MemberState} from './contracts.js';

/**
 * Combines the news of a member with its state and load as seen here.
 *
 * @example
 * const member = viewOf(known.news, known.machine.state(), known.load);
 */
export function viewOf(
  news: MemberNews,
  state: MemberState,
  load: number,
): Member {
  const {id, incarnation, callerUrl, innerUrl, failureDomain, region, cores} =
    news;
  return {
    id,
    incarnation,
    state,
    callerUrl,
    innerUrl,
    failureDomain,
    region,
    load,
    ...(cores !== undefined && {cores}),
  };
}
