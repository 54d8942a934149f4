/** The configuration in force at this entry. */
import {disposableStore, type Disposable} from '@skylarkfield/base';
import {
  createConfiguration,
  type ConfigurationClient,
} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import type {MembersPart} from './membersPart.js';
import type {PlatformPart} from './platformPart.js';

export interface RecordsPart extends Disposable {
  readonly configuration: ConfigurationClient;
}

/**
 * Follows the accepted records, from the platform or over peers.
 *
 * @example
 * const {configuration} = createRecordsPart(context, platform, members);
 */
export function createRecordsPart(
  context: EntryContext,
  platform: PlatformPart,
  members: MembersPart,
): RecordsPart {
  const {clock, random, log, dumps} = context;
  const {membership, network} = members;
  const owned = disposableStore();
  const configuration = owned.add(
    createConfiguration({
      clock,
      random,
      store: platform.store,
      network,
      self: membership.self,
      members: () => membership.live(),
      log,
    }),
  );
  dumps.add('configuration', () => configuration.dump());
  shareBudget();
  owned.add(membership.onDidChange(shareBudget));
  return {configuration, dispose: () => owned.dispose()};

  /** The platform's rate is one for all entries; each takes its part of it. */
  function shareBudget(): void {
    platform.store.setLiveEntries(Math.max(1, membership.live().length));
  }
}
