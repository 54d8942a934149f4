/** The inner network, the membership over it, and lookup answers. */
import {
  disposableStore,
  ServingError,
  type Disposable,
} from '@skylarkfield/base';
import {
  createMembership,
  rankEntries,
  type LookupResult,
  type LookupQuery,
  type Membership,
} from '@skylarkfield/members';
import {
  createPeerNetwork,
  watchTls,
  type PeerNetwork,
  type TlsWatcher,
} from '@skylarkfield/protocol';
import type {EntryContext} from '../context.js';
import type {PlatformPart} from './platformPart.js';

export interface MembersPart extends Disposable {
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly innerUrl: string;
  lookup(question: LookupQuery): LookupResult;
}

interface MembersOptions {
  readonly innerKey: string;
  /** Where callers connect. */
  readonly callersUrl: string;
  /** Requests in flight here. */
  load(): number;
}

/**
 * Opens the inner port and joins the membership.
 *
 * @example
 * const members = await createMembersPart(context, platform, options);
 */
export async function createMembersPart(
  context: EntryContext,
  platform: PlatformPart,
  options: MembersOptions,
): Promise<MembersPart> {
  const {settings, clock, random, log, decisions, dumps} = context;
  const owned = disposableStore();
  // A restart must be told from a pause: the wall clock rises over restarts.
  const incarnation = clock.wall();
  const tls = await readInnerTls(context);
  const network = owned.add(
    createPeerNetwork({
      self: {id: settings.id, incarnation},
      clock,
      random,
      log,
      key: options.innerKey,
      ...(tls === undefined ? {} : {tls: owned.add(tls)}),
    }),
  );
  const {port} = await network.listen(settings.inner);
  const scheme = tls === undefined ? 'ws' : 'wss';
  const innerUrl =
    settings.advertised.inner ?? `${scheme}://${settings.inner.host}:${port}`;
  const membership = owned.add(
    createMembership({
      self: {
        id: settings.id,
        incarnation,
        callerUrl: options.callersUrl,
        innerUrl,
        failureDomain: settings.failureDomain,
        region: settings.region,
      },
      store: platform.store,
      network,
      clock,
      random,
      log,
      decisions,
      seeds: settings.seeds,
      load: options.load,
    }),
  );
  dumps.add('network', () => network.dump());
  dumps.add('members', () => membership.dump());
  return {
    network,
    membership,
    innerUrl,
    lookup: question => rankEntries(membership.members(), question, random),
    dispose: () => owned.dispose(),
  };
}

async function readInnerTls(
  context: EntryContext,
): Promise<TlsWatcher | undefined> {
  const {settings, clock, log} = context;
  const {tls} = settings.inner;
  if (tls === undefined) {
    return undefined;
  }
  if (tls.ca === undefined) {
    const expected = 'the authorities of the other entries';
    throw new ServingError('bad-settings', `inner.tls.ca: ${expected}`, {
      faults: [{path: 'inner.tls.ca', expected}],
    });
  }
  return watchTls({paths: {...tls, ca: tls.ca}, clock, log});
}
