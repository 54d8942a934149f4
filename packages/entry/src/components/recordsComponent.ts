/** Configuration in force at this entry. */
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import {
  createConfiguration,
  type ConfigurationClient,
} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import type {MembersComponent} from './membersComponent.js';
import type {PlatformComponent} from './platformComponent.js';

export interface RecordsComponent extends Disposable {
  readonly configuration: ConfigurationClient;
}

/**
 * Receives the accepted records from the platform or from peers.
 *
 * @example
 * const {configuration} = createRecordsComponent(context, platform, members);
 */
export function createRecordsComponent(
  context: EntryContext,
  platform: PlatformComponent,
  members: MembersComponent,
): RecordsComponent {
  const {clock, random, log, dumps} = context;
  const {membership, network} = members;
  const disposables = createDisposableStore();
  const configuration = disposables.add(
    createConfiguration({
      clock,
      random,
      store: platform.objectStore,
      network,
      self: membership.self,
      members: () => membership.liveMembers(),
      log,
    }),
  );
  dumps.add('configuration', () => configuration.dump());
  updatePlatformShare();
  disposables.add(membership.onDidChange(updatePlatformShare));
  return {configuration, dispose: () => disposables.dispose()};

  /** Splits the platform's rate limit evenly among the live entries. */
  function updatePlatformShare(): void {
    platform.objectStore.setLiveEntries(
      Math.max(1, membership.liveMembers().length),
    );
  }
}
