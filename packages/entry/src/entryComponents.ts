/** Builds the components of an entry in order of their dependencies. */
import {
  createDisposableStore,
  type Disposable,
  type DisposableStore,
} from '@skylarkfield/base';
import type {DutyElections} from '@skylarkfield/duties';
import type {Membership} from '@skylarkfield/members';
import {createStreamRunner} from '@skylarkfield/streams';
import {
  createAttemptRunner,
  type AttemptRunner,
} from './callers/attemptRunner.js';
import type {EntryContext} from './context.js';
import {createAdmissionComponent} from './components/admissionComponent.js';
import {createDutiesComponent} from './components/dutiesComponent.js';
import {createEndpointPoolComponent} from './components/endpointPoolComponent.js';
import {createFleetComponent} from './components/fleetComponent.js';
import {createLeavingComponent} from './components/leavingComponent.js';
import {createLoadReportAggregator} from './components/loadReportAggregator.js';
import {createMembersComponent} from './components/membersComponent.js';
import {
  createTrafficSplitComponent,
  startMovesComponent,
} from './components/movesComponent.js';
import {createOrdersComponent} from './components/ordersComponent.js';
import {createPlatformComponent} from './components/platformComponent.js';
import {createRecordsComponent} from './components/recordsComponent.js';
import {createRoutingComponent} from './components/routingComponent.js';
import {createPeerFallbackHostList} from './components/peerFallbackHostList.js';
import type {ServingContext} from './servingContext.js';

export interface EntryComponents extends Disposable {
  readonly serving: ServingContext;
  readonly attemptRunner: AttemptRunner;
  readonly membership: Membership;
  readonly duties: DutyElections;
  /** URL of the port that peers connect to. */
  readonly innerUrl: string;
}

interface EntryComponentsOptions {
  /** Shared key with which entries authenticate to each other. */
  readonly innerKey: string;
  /** URL that callers connect to. */
  readonly callersUrl: string;
  /** Number of requests in flight at this entry. */
  inFlightCount(): number;
}

/**
 * Builds and starts all components. They are disposed in reverse order, so that
 * no component outlives its dependencies.
 *
 * @example
 * const components = await createEntryComponents(context, options);
 */
export async function createEntryComponents(
  context: EntryContext,
  options: EntryComponentsOptions,
): Promise<EntryComponents> {
  const disposables = createDisposableStore();
  try {
    return await buildComponents(context, options, disposables);
  } catch (error) {
    disposables.dispose();
    throw error;
  }
}

async function buildComponents(
  context: EntryContext,
  options: EntryComponentsOptions,
  disposables: DisposableStore,
): Promise<EntryComponents> {
  const {settings, clock, dumps} = context;
  const platform = createPlatformComponent(context);
  disposables.add(platform.objectStore);
  const members = disposables.add(
    await createMembersComponent(context, platform, options),
  );
  const {membership, network} = members;
  const records = disposables.add(
    createRecordsComponent(context, platform, members),
  );
  const {configuration} = records;

  const {router, rests} = createRoutingComponent(context, membership);
  const fallbackHostList = createPeerFallbackHostList({
    ...context,
    hostList: platform.hostList,
    network,
  });
  const leavingComponent = disposables.add(
    createLeavingComponent(
      context,
      {...platform, hostList: fallbackHostList},
      members,
    ),
  );
  const admission = createAdmissionComponent(
    context,
    configuration,
    membership,
  );
  const loadReports = createLoadReportAggregator(router, {
    clock,
    admission,
    configuration,
  });
  const endpointPool = disposables.add(
    createEndpointPoolComponent(
      context,
      leavingComponent,
      loadReports.router,
      rests,
    ),
  );
  disposables.add(loadReports.start(endpointPool));

  const trafficSplit = createTrafficSplitComponent(context);
  const streamRunner = createStreamRunner({clock, entryId: settings.id});
  dumps.add('streams', () => streamRunner.dump());
  const attemptRunner = createAttemptRunner(
    {router, rests, endpointPool, trafficSplit, admission},
    clock,
  );
  const ledger = disposables.add(
    createOrdersComponent(context, {
      platform,
      members,
      configuration,
      trafficSplit,
      attemptRunner,
    }),
  );

  const duties = disposables.add(
    createDutiesComponent(context, {platform, members, records}),
  );
  disposables.add(
    startMovesComponent(context, {
      trafficSplit,
      configuration,
      network,
      objectStore: platform.objectStore,
      endpointPool,
      duties,
    }),
  );
  disposables.add(
    createFleetComponent(context, {
      duties,
      platform,
      configuration,
      endpointPool,
      loadReports,
    }),
  );
  return {
    serving: {
      configuration,
      admission,
      router,
      rests,
      endpointPool,
      streamRunner,
      trafficSplit,
      ledger,
      lookup: members.lookup,
    },
    attemptRunner,
    membership,
    duties,
    innerUrl: members.innerUrl,
    dispose: () => disposables.dispose(),
  };
}
