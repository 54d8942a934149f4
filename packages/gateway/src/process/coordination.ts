/** Peer network, shared store, membership and duties of an entry. */
import {
  createDisposableStore,
  ServingError,
  type Disposable,
} from '@skylarkfield/base';
import {
  createDutyElections,
  type DutyElections,
  type LeaseTiming,
} from '@skylarkfield/duties';
import {
  createMembership,
  type Member,
  type Membership,
} from '@skylarkfield/members';
import {createPeerNetwork, type ListeningNetwork} from '@skylarkfield/protocol';
import {createObjectStore, type ObjectStore} from '@skylarkfield/providers';
import type {GatewayContext} from '../context.js';
import {
  planRelays,
  type RelayNode,
  type RelayPlan,
} from '../digests/relayPlan.js';
import type {Address} from '../settings.js';
import {DEFAULT_CORES} from '../callers/lookup.js';

export interface Coordination extends Disposable {
  readonly network: ListeningNetwork;
  readonly store: ObjectStore;
  readonly membership: Membership;
  readonly dutyElections: DutyElections;
  /**
   * Returns the relay plan for the current members: the receivers of this
   * entry's digests and the candidates for duties.
   */
  plan(): RelayPlan;
}

/**
 * Timing of duty leases. A successor takes over within about four seconds of
 * the holder's failure. A new endpoint takes as long to start, so if endpoints
 * are reclaimed while the holder fails, callers wait no longer than for either
 * fault alone. Each lease renewal and each poll by a candidate is a store call;
 * they add up to three calls per second.
 */
const LEASE_TIMING: LeaseTiming = {
  durationMs: 3_000,
  renewIntervalMs: 900,
  pollIntervalMs: 1_000,
  marginMs: 400,
};

/** Timeout of a store call, in milliseconds; normal calls take a few ms. */
const STORE_CALL_TIMEOUT_MS = 1_000;

/**
 * Opens the port for other entries and joins them. Throws `bad-settings` if the
 * port cannot be opened.
 *
 * @example
 * const coordination = await createCoordination(context);
 */
export async function createCoordination(
  context: GatewayContext,
): Promise<Coordination> {
  const {settings, platform, incarnation, clock, random, log, decisions} =
    context;
  const disposables = createDisposableStore();
  const self = {id: settings.id, incarnation};
  const network = disposables.add(
    createPeerNetwork({self, clock, random, log, key: settings.innerKey}),
  );
  await network.listen(settings.inner);
  const store = disposables.add(
    createObjectStore({
      transport: platform.objectTransport,
      clock,
      random,
      writer: settings.id,
      callDeadlineMs: STORE_CALL_TIMEOUT_MS,
      platformCallsPerSecond: settings.platform.callsPerSecond,
    }),
  );
  const membership = disposables.add(
    createMembership({
      self: {
        ...self,
        callerUrl: urlOf('http', settings.callers),
        innerUrl: urlOf('ws', settings.inner),
        failureDomain: settings.failureDomain,
        region: settings.region,
        ...settings.processor,
      },
      store,
      network,
      clock,
      random,
      log,
      decisions,
      seeds: settings.seeds.map(seed => `ws://${seed}`),
      load: context.inFlight.count,
    }),
  );
  let cachedPlan: RelayPlan | undefined;
  disposables.add(membership.onDidChange(() => (cachedPlan = undefined)));

  function plan(): RelayPlan {
    cachedPlan ??= planRelays(
      toNode(membership.self),
      membership.members().map(toNode),
    );
    return cachedPlan;
  }

  const dutyElections = disposables.add(
    createDutyElections({
      clock,
      random,
      store,
      self,
      members: () => plan().coordinatorIds,
      // An entry behind a relay lacks the counts of the whole fleet. It may
      // have acquired a duty before it discovered enough peers for relays to be
      // used.
      mayHold: () => plan().relayIds.length === 0,
      log,
      decisions,
      timing: LEASE_TIMING,
    }),
  );
  context.dumps.add('members', () => membership.dump());
  context.dumps.add('network', () => network.dump());
  context.dumps.add('store', () => store.dump());
  context.dumps.add('duties', () => dutyElections.dump());
  return {
    network,
    store,
    membership,
    dutyElections,
    plan,
    dispose: () => disposables.dispose(),
  };
}

function toNode({id, failureDomain, state, cores}: Member): RelayNode {
  return {
    id,
    failureDomain,
    isLive: state === 'live',
    cores: cores ?? DEFAULT_CORES,
  };
}

function urlOf(scheme: string, {host, port}: Address): string {
  if (port === 0) {
    throw new ServingError(
      'bad-settings',
      'a port that peers connect to must not be 0',
    );
  }
  return `${scheme}://${host}:${port}`;
}
