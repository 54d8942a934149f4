/**
 * Determines which live members lack a record.
 *
 * In a small fleet every member is queried directly. In a large fleet one
 * reader of each failure domain queries the members of its domain, so that the
 * messages of the querying entry grow with the number of failure domains and
 * not with the size of the fleet.
 */
import type {Disposable} from '@skylarkfield/base';
import type {PeerNetwork, RecordVersion} from '@skylarkfield/protocol';
import {recordsInForceResponseSchema} from './messageSchemas.js';
import {selectReaders, type RecordMember} from './recordReaders.js';
import type {RecordTable} from './recordTable.js';

export interface RecordConfirmation extends Disposable {
  /**
   * Returns the ids of live members that lack any of the records or did not
   * respond.
   */
  membersLacking(records: readonly RecordVersion[]): Promise<readonly string[]>;
}

/** Largest fleet whose members are queried directly, not through readers. */
const MAX_DIRECT_MEMBERS = 24;
const MEMBER_TIMEOUT_MS = 1000;
/** Exceeds `MEMBER_TIMEOUT_MS`, as a reader first queries its members. */
const DOMAIN_TIMEOUT_MS = 2500;

/**
 * Starts to answer queries of peers about the records in force.
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
    memberId: string,
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    if (memberId === self.id) {
      return areAllInForce(records) ? [] : [self.id];
    }
    return queryPeer(memberId, records, 'self', [memberId]);
  }

  async function queryPeer(
    peer: string,
    records: readonly RecordVersion[],
    scope: 'self' | 'domain',
    lackingWithoutResponse: readonly string[],
  ): Promise<readonly string[]> {
    const timeoutMs = scope === 'self' ? MEMBER_TIMEOUT_MS : DOMAIN_TIMEOUT_MS;
    try {
      const body = {records, scope};
      const response = await network.request(
        peer,
        'recordsInForce',
        body,
        timeoutMs,
      );
      return recordsInForceResponseSchema.parse(response).lacking;
    } catch {
      // A member that does not respond counts as lacking the records: only
      // confirmed records are in force.
      return lackingWithoutResponse;
    }
  }

  async function queryMembers(
    memberIds: readonly string[],
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    const lackingMemberIds = await Promise.all(
      memberIds.map(id => queryMember(id, records)),
    );
    return lackingMemberIds.flat();
  }

  function listMemberIds(failureDomain: string): string[] {
    return members()
      .filter(member => member.failureDomain === failureDomain)
      .map(member => member.id);
  }

  async function queryDomain(
    failureDomain: string,
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    const memberIds = listMemberIds(failureDomain);
    if (failureDomain === self.failureDomain) {
      return queryMembers(memberIds, records);
    }
    for (const reader of selectReaders(failureDomain, members())) {
      const lackingMemberIds = await queryPeer(
        reader,
        records,
        'domain',
        memberIds,
      );
      if (lackingMemberIds.length < memberIds.length) {
        return lackingMemberIds;
      }
    }
    return memberIds;
  }

  const subscription = network.addHandler(
    'recordsInForce',
    async (_from, {records, scope}) => ({
      lacking:
        scope === 'self'
          ? await queryMember(self.id, records)
          : await queryMembers(listMemberIds(self.failureDomain), records),
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
      const lackingMemberIds = await Promise.all(
        domains.map(domain => queryDomain(domain, records)),
      );
      return lackingMemberIds.flat();
    },
    dispose: () => subscription.dispose(),
  };
}
