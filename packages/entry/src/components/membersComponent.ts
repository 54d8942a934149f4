/** Peer network, cluster membership and entry lookup. */
import {
  createDisposableStore,
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
import type {PlatformComponent} from './platformComponent.js';

export interface MembersComponent extends Disposable {
  readonly network: PeerNetwork;
  readonly membership: Membership;
  /** URL of the port that peers connect to. */
  readonly innerUrl: string;
  lookup(query: LookupQuery): LookupResult;
}

interface MembersComponentOptions {
  /** Shared key with which entries authenticate to each other. */
  readonly innerKey: string;
  /** URL that callers connect to. */
  readonly callersUrl: string;
  /** Number of requests in flight at this entry. */
  inFlightCount(): number;
}

/**
 * Opens the port for peers and joins the cluster membership.
 *
 * @example
 * const members = await createMembersComponent(context, platform, options);
 */
export async function createMembersComponent(
  context: EntryContext,
  platform: PlatformComponent,
  options: MembersComponentOptions,
): Promise<MembersComponent> {
  const {settings, clock, random, log, decisions, dumps} = context;
  const disposables = createDisposableStore();
  // Wall time increases across restarts, so that peers can distinguish a
  // restart from a pause.
  const incarnation = clock.wall();
  const tls = await watchInnerTls(context);
  const network = disposables.add(
    createPeerNetwork({
      self: {id: settings.id, incarnation},
      clock,
      random,
      log,
      key: options.innerKey,
      ...(tls === undefined ? {} : {tls: disposables.add(tls)}),
    }),
  );
  const {port} = await network.listen(settings.inner);
  const scheme = tls === undefined ? 'ws' : 'wss';
  const innerUrl =
    settings.advertised.inner ?? `${scheme}://${settings.inner.host}:${port}`;
  const membership = disposables.add(
    createMembership({
      self: {
        id: settings.id,
        incarnation,
        callerUrl: options.callersUrl,
        innerUrl,
        failureDomain: settings.failureDomain,
        region: settings.region,
      },
      store: platform.objectStore,
      network,
      clock,
      random,
      log,
      decisions,
      seeds: settings.seeds,
      load: options.inFlightCount,
    }),
  );
  dumps.add('network', () => network.dump());
  dumps.add('members', () => membership.dump());
  return {
    network,
    membership,
    innerUrl,
    lookup: query => rankEntries(membership.members(), query, random),
    dispose: () => disposables.dispose(),
  };
}

async function watchInnerTls(
  context: EntryContext,
): Promise<TlsWatcher | undefined> {
  const {settings, clock, log} = context;
  const {tls} = settings.inner;
  if (tls === undefined) {
    return undefined;
  }
  if (tls.ca === undefined) {
    const expected =
      'a file with the certificate authorities of the other entries';
    throw new ServingError('bad-settings', `inner.tls.ca: ${expected}`, {
      faults: [{path: 'inner.tls.ca', expected}],
    });
  }
  return watchTls({paths: {...tls, ca: tls.ca}, clock, log});
}
