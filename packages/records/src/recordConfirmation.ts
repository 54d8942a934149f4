/**
 * Determines which live members lack a record.
 *
 * In a small fleet every member is queried. In a large one a reader of each
 * failure domain queries the members of its domain, so that the messages of the
 * querying entry grow with the failure domains and not with the fleet.
 */
import type {Disposable} from '@skylarkfield/base';
import type {PeerNetwork, RecordVersion} from '@skylarkfield/protocol';
import {inForceSchema} from './messageSchemas.js';
import {selectReaders, type RecordMember} from './recordReaders.js';
import type {RecordTable} from './recordTable.js';

export interface RecordConfirmation extends Disposable {
  /** Returns the ids of live members that lack a record or did not respond. */
  membersLacking(records: readonly RecordVersion[]): Promise<readonly string[]>;
}

/** Largest fleet whose members are queried directly, not through readers. */
const MAX_DIRECT_MEMBERS = 24;
const MEMBER_TIMEOUT_MS = 1000;
/** Longer than `MEMBER_TIMEOUT_MS`: a reader first queries its members. */
const DOMAIN_TIMEOUT_MS = 2500;

/**
 * Answers the queries of peers and sends queries to them.
 *
 * @example
 * const confirmation = createRecordConfirmation(options);
 * const lacking = await confirmation.membersLacking([recordVersion]);
 */
export function createRecordConfirmation(options: {
  readonly table: RecordTable;
  readonly network: PeerNetwork;
  readonly self: RecordMember;
  /** All live members, including this one. */
  readonly members: () => readonly RecordMember[];
}): RecordConfirmation {
  const {table, network, self, members} = options;

  function areAllInForce(records: readonly RecordVersion[]): boolean {
    return records.every(record => table.isInForce(record));
  }

  async function queryMember(
    member: string,
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    if (member === self.id) {
      return areAllInForce(records) ? [] : [self.id];
    }
    return query(member, records, 'self', [member]);
  }

  async function query(
    to: string,
    records: readonly RecordVersion[],
    scope: 'self' | 'domain',
    lackingIfUnanswered: readonly string[],
  ): Promise<readonly string[]> {
    const timeoutMs = scope === 'self' ? MEMBER_TIMEOUT_MS : DOMAIN_TIMEOUT_MS;
    try {
      const body = {records, scope};
      const answer = await network.request(
        to,
        'recordsInForce',
        body,
        timeoutMs,
      );
      return inForceSchema.parse(answer).lacking;
    } catch {
      // No response counts as lacking: only confirmed records are in force.
      return lackingIfUnanswered;
    }
  }

  async function queryMembers(
    ids: readonly string[],
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    const answers = await Promise.all(ids.map(id => queryMember(id, records)));
    return answers.flat();
  }

  function memberIdsIn(failureDomain: string): string[] {
    return members()
      .filter(member => member.failureDomain === failureDomain)
      .map(member => member.id);
  }

  async function queryDomain(
    failureDomain: string,
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    const ids = memberIdsIn(failureDomain);
    if (failureDomain === self.failureDomain) {
      return queryMembers(ids, records);
    }
    for (const reader of selectReaders(failureDomain, members())) {
      const lacking = await query(reader, records, 'domain', ids);
      if (lacking.length < ids.length) {
        return lacking;
      }
    }
    return ids;
  }

  const subscription = network.onDidReceive(
    'recordsInForce',
    async (_from, {records, scope}) => ({
      lacking:
        scope === 'self'
          ? await queryMember(self.id, records)
          : await queryMembers(memberIdsIn(self.failureDomain), records),
    }),
  );

  return {
    async membersLacking(records) {
      const liveMembers = members();
      if (liveMembers.length <= MAX_DIRECT_MEMBERS) {
        return queryMembers(
          liveMembers.map(member => member.id),
          records,
        );
      }
      const domains = [
        ...new Set(liveMembers.map(member => member.failureDomain)),
      ];
      const answers = await Promise.all(
        domains.map(domain => queryDomain(domain, records)),
      );
      return answers.flat();
    },
    dispose: () => subscription.dispose(),
  };
}
