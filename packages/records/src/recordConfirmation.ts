/**
 * Finds out which live members lack a record.
 *
 * In a small fleet every member is asked. In a large one a reader of each
 * failure domain asks the members of its own, so that the asker's messages
 * grow with the failure domains and not with the fleet.
 */
import type {Disposable} from '@skylarkfield/base';
import type {PeerNetwork, RecordVersion} from '@skylarkfield/protocol';
import {inForceShape} from './messageShapes.js';
import {readersOf, type RecordMember} from './recordReaders.js';
import type {RecordTable} from './recordTable.js';

export interface RecordConfirmation extends Disposable {
  /** Ids of live members that lack one of the records or did not answer. */
  lacking(records: readonly RecordVersion[]): Promise<readonly string[]>;
}

/** Above this, members are asked through readers. */
const DIRECT_MEMBERS = 24;
const SELF_TIMEOUT_MS = 1000;
/** A reader waits for its members first. */
const DOMAIN_TIMEOUT_MS = 2500;

/**
 * Answers peers' questions and asks them.
 *
 * @example
 * const confirmation = createRecordConfirmation({table, network, self, members});
 * const missing = await confirmation.lacking([{kind: 'service', name: 'booking', sourceVersion: 7}]);
 */
export function createRecordConfirmation(options: {
  readonly table: RecordTable;
  readonly network: PeerNetwork;
  readonly self: RecordMember;
  /** All live members, this one included. */
  readonly members: () => readonly RecordMember[];
}): RecordConfirmation {
  const {table, network, self, members} = options;

  function hasAll(records: readonly RecordVersion[]): boolean {
    return records.every(record => table.has(record));
  }

  async function askMember(
    member: string,
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    if (member === self.id) {
      return hasAll(records) ? [] : [self.id];
    }
    return ask(member, records, 'self', [member]);
  }

  async function ask(
    to: string,
    records: readonly RecordVersion[],
    scope: 'self' | 'domain',
    unheard: readonly string[],
  ): Promise<readonly string[]> {
    const timeoutMs = scope === 'self' ? SELF_TIMEOUT_MS : DOMAIN_TIMEOUT_MS;
    try {
      const body = {records, scope};
      const answer = await network.ask(to, 'recordsInForce', body, timeoutMs);
      return inForceShape.parse(answer).lacking;
    } catch {
      // No answer counts as lacking: in force is said only of what was confirmed.
      return unheard;
    }
  }

  async function askMembers(
    ids: readonly string[],
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    const answers = await Promise.all(ids.map(id => askMember(id, records)));
    return answers.flat();
  }

  function idsIn(failureDomain: string): string[] {
    return members()
      .filter(member => member.failureDomain === failureDomain)
      .map(member => member.id);
  }

  async function askDomain(
    failureDomain: string,
    records: readonly RecordVersion[],
  ): Promise<readonly string[]> {
    const ids = idsIn(failureDomain);
    if (failureDomain === self.failureDomain) {
      return askMembers(ids, records);
    }
    for (const reader of readersOf(failureDomain, members())) {
      const lacking = await ask(reader, records, 'domain', ids);
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
          ? await askMember(self.id, records)
          : await askMembers(idsIn(self.failureDomain), records),
    }),
  );

  return {
    async lacking(records) {
      const all = members();
      if (all.length <= DIRECT_MEMBERS) {
        return askMembers(
          all.map(member => member.id),
          records,
        );
      }
      const domains = [...new Set(all.map(member => member.failureDomain))];
      const answers = await Promise.all(
        domains.map(domain => askDomain(domain, records)),
      );
      return answers.flat();
    },
    dispose: () => subscription.dispose(),
  };
}
