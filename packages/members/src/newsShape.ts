/** Checks of news from peers, before it is kept and passed on. */
import {ServingError} from '@skylarkfield/base';
import type {MemberNews} from '@skylarkfield/protocol';

const TEXT_FIELDS = [
  'id',
  'callerUrl',
  'innerUrl',
  'failureDomain',
  'region',
] as const;
const NUMBER_FIELDS = ['incarnation', 'sequence', 'load'] as const;
const STATES: readonly unknown[] = ['live', 'suspect', 'leaving', 'gone'];
/** Longest text in news, in characters: it is kept in memory for each member. */
const TEXT_LIMIT = 512;

/**
 * Throws `protocol-violation` for anything that is not news of a member. A
 * faulty release would otherwise put it into every table of the fleet.
 *
 * @example
 * checkNews(body.news);
 */
export function checkNews(news: MemberNews): void {
  const given: Partial<Record<keyof MemberNews, unknown>> = news ?? {};
  const isValid =
    TEXT_FIELDS.every(field => isText(given[field])) &&
    NUMBER_FIELDS.every(field => Number.isFinite(given[field])) &&
    STATES.includes(given.state) &&
    (given.cores === undefined || isPositive(given.cores));
  if (!isValid) {
    throw new ServingError('protocol-violation', 'malformed news of a member');
  }
}

function isPositive(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value > 0;
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value.length <= TEXT_LIMIT;
}
