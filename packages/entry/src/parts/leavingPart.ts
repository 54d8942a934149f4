/** Which endpoints leave, and the host list corrected by it. */
import {disposableStore, every, type Disposable} from '@skylarkfield/base';
import {
  createLeavingEndpointTracker,
  isReader,
  type LeavingEndpointTracker,
} from '@skylarkfield/members';
import type {HostList} from '@skylarkfield/providers';
import type {EntryContext} from '../context.js';
import type {MembersPart} from './membersPart.js';
import type {PlatformPart} from './platformPart.js';

export interface LeavingPart extends Disposable {
  readonly leaving: LeavingEndpointTracker;
  /** Shows what is known to leave as leaving, whatever the platform's list still says. */
  readonly hostList: HostList;
}

/** How often an entry looks whether it is one of those that watch notices. */
const READER_INTERVAL_MS = 2_000;

/**
 * Follows notices, the host list and peers.
 *
 * @example
 * const {hostList} = createLeavingPart(context, platform, members);
 */
export function createLeavingPart(
  context: EntryContext,
  platform: Pick<PlatformPart, 'cloud' | 'hostList'>,
  members: MembersPart,
): LeavingPart {
  const {clock, decisions, dumps} = context;
  const {membership, network} = members;
  const owned = disposableStore();
  const leaving = owned.add(
    createLeavingEndpointTracker({
      cloud: platform.cloud,
      hostList: platform.hostList,
      network,
      clock,
      decisions,
    }),
  );
  owned.add(
    every(clock, READER_INTERVAL_MS, () =>
      leaving.setReader(
        isReader(membership.live(), membership.self, 'notices'),
      ),
    ),
  );
  owned.add(dumps.add('leaving', () => leaving.dump()));
  return {
    leaving,
    hostList: leaving.hostList,
    dispose: () => owned.dispose(),
  };
}
