/** Builds the parts of an entry in the order in which they need each other. */
import {
  disposableStore,
  type Disposable,
  type DisposableStore,
} from '@skylarkfield/base';
import type {DutyElections} from '@skylarkfield/duties';
import type {Membership} from '@skylarkfield/members';
import {createStreamRunner} from '@skylarkfield/streams';
import {createAttempts, type Attempts} from './callers/attempts.js';
import type {EntryContext} from './context.js';
import {createAdmissionPart} from './parts/admissionPart.js';
import {createDutiesPart} from './parts/dutiesPart.js';
import {createEnginesPart} from './parts/enginesPart.js';
import {createFleetPart} from './parts/fleetPart.js';
import {createLeavingPart} from './parts/leavingPart.js';
import {createLoadFeed} from './parts/loadFeed.js';
import {createMembersPart} from './parts/membersPart.js';
import {createMovesPart, startMoves} from './parts/movesPart.js';
import {createOrdersPart} from './parts/ordersPart.js';
import {createPlatformPart} from './parts/platformPart.js';
import {createRecordsPart} from './parts/recordsPart.js';
import {createRoutingPart} from './parts/routingPart.js';
import {createSharedHostList} from './parts/sharedHostList.js';
import type {Serving} from './serving.js';

export interface EntryParts extends Disposable {
  readonly serving: Serving;
  readonly attempts: Attempts;
  readonly membership: Membership;
  readonly duties: DutyElections;
  /** Address of the inner port. */
  readonly innerUrl: string;
}

interface EntryPartsOptions {
  readonly innerKey: string;
  /** Where callers connect. */
  readonly callersUrl: string;
  /** Requests in flight here. */
  load(): number;
}

/**
 * Builds and starts all parts; they are disposed in reverse order, so that
 * none outlives what it uses.
 *
 * @example
 * const parts = await createEntryParts(context, {innerKey, callersUrl, load});
 */
export async function createEntryParts(
  context: EntryContext,
  options: EntryPartsOptions,
): Promise<EntryParts> {
  const owned = disposableStore();
  try {
    return await buildParts(context, options, owned);
  } catch (error) {
    owned.dispose();
    throw error;
  }
}

async function buildParts(
  context: EntryContext,
  options: EntryPartsOptions,
  owned: DisposableStore,
): Promise<EntryParts> {
  const {settings, clock, dumps} = context;
  const platform = createPlatformPart(context);
  owned.add(platform.store);
  const members = owned.add(
    await createMembersPart(context, platform, options),
  );
  const {membership, network} = members;
  const records = owned.add(createRecordsPart(context, platform, members));
  const {configuration} = records;

  const router = createRoutingPart(context, membership);
  const listed = createSharedHostList({
    ...context,
    hostList: platform.hostList,
    network,
  });
  const leaving = owned.add(
    createLeavingPart(context, {...platform, hostList: listed}, members),
  );
  const admission = createAdmissionPart(context, configuration, membership);
  const loads = createLoadFeed(router, {clock, admission, configuration});
  const endpoints = owned.add(
    createEnginesPart(context, leaving, loads.router),
  );
  owned.add(loads.start(endpoints));

  const split = createMovesPart(context);
  const streams = createStreamRunner({clock, entryId: settings.id});
  dumps.add('streams', () => streams.dump());
  const attempts = createAttempts({router, endpoints, split, admission}, clock);
  const ledger = owned.add(
    createOrdersPart(context, {
      platform,
      members,
      configuration,
      split,
      attempts,
    }),
  );

  const duties = owned.add(
    createDutiesPart(context, {platform, members, records}),
  );
  owned.add(
    startMoves(context, {
      split,
      configuration,
      network,
      objects: platform.store,
      endpoints,
      duties,
    }),
  );
  owned.add(
    createFleetPart(context, {
      duties,
      platform,
      configuration,
      endpoints,
      loads,
    }),
  );
  return {
    serving: {
      configuration,
      admission,
      router,
      endpoints,
      streams,
      split,
      ledger,
      lookup: members.lookup,
    },
    attempts,
    membership,
    duties,
    innerUrl: members.innerUrl,
    dispose: () => owned.dispose(),
  };
}
