/** Tracking of leaving endpoints, and a host list that marks them. */
import {
  createDisposableStore,
  scheduleRepeatedly,
  type Disposable,
} from '@skylarkfield/base';
import {
  createLeavingEndpointTracker,
  isReader,
  type LeavingEndpointTracker,
} from '@skylarkfield/members';
import type {HostList} from '@skylarkfield/providers';
import type {EntryContext} from '../context.js';
import type {MembersComponent} from './membersComponent.js';
import type {PlatformComponent} from './platformComponent.js';

export interface LeavingComponent extends Disposable {
  readonly leavingTracker: LeavingEndpointTracker;
  /** Host list that marks leaving endpoints before the platform's list does. */
  readonly hostList: HostList;
}

/**
 * Interval of checks whether this entry is one of the readers of the cloud's
 * notices, in milliseconds.
 */
const READER_CHECK_INTERVAL_MS = 2_000;

/**
 * Tracks the leaving endpoints that notices, the host list or peers report.
 *
 * @example
 * const {hostList} = createLeavingComponent(context, platform, members);
 */
export function createLeavingComponent(
  context: EntryContext,
  platform: Pick<PlatformComponent, 'cloud' | 'hostList'>,
  members: MembersComponent,
): LeavingComponent {
  const {clock, decisions, dumps} = context;
  const {membership, network} = members;
  const disposables = createDisposableStore();
  const tracker = disposables.add(
    createLeavingEndpointTracker({
      cloud: platform.cloud,
      hostList: platform.hostList,
      network,
      clock,
      decisions,
    }),
  );
  disposables.add(
    scheduleRepeatedly(clock, READER_CHECK_INTERVAL_MS, () =>
      tracker.setIsNoticeReader(
        isReader(membership.liveMembers(), membership.self, 'notices'),
      ),
    ),
  );
  disposables.add(dumps.add('leaving', () => tracker.dump()));
  return {
    leavingTracker: tracker,
    hostList: tracker.hostList,
    dispose: () => disposables.dispose(),
  };
}
