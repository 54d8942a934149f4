/** One entry process: its parts, the order in which they start, and how it stops. */
import {
  createLogger,
  createMetrics,
  decisionLog,
  disposableStore,
  processRandom,
  systemClock,
  toDisposable,
} from '@skylarkfield/base';
import {createStreamRunner} from '@skylarkfield/streams';
import {attachAdminRoutes} from './admin/adminServer.js';
import {createAttempts} from './callers/attempts.js';
import {attachCallerRoutes, type Readiness} from './callers/callerServer.js';
import {createCustomerKeys} from './callers/customerKeys.js';
import {createRequestMetrics} from './callers/observation.js';
import {createModelServer} from './callers/serveModel.js';
import {createPlainServer} from './callers/servePlain.js';
import {createDumps, type EntryContext} from './context.js';
import {createInFlight} from './inFlight.js';
import {createServer, openListener} from './listener.js';
import {createAdmissionPart} from './parts/admissionPart.js';
import {createDutiesPart} from './parts/dutiesPart.js';
import {createEnginesPart} from './parts/enginesPart.js';
import {createFleetPart} from './parts/fleetPart.js';
import {createLeavingPart} from './parts/leavingPart.js';
import {createMembersPart} from './parts/membersPart.js';
import {createLoadFeed} from './parts/loadFeed.js';
import {createMovesPart, startMoves} from './parts/movesPart.js';
import {createOrdersPart} from './parts/ordersPart.js';
import {createPlatformPart} from './parts/platformPart.js';
import {createRecordsPart} from './parts/recordsPart.js';
import {createRoutingPart} from './parts/routingPart.js';
import {createSharedHostList} from './parts/sharedHostList.js';
import type {Serving} from './serving.js';
import {resolveSecret, type EntrySettings} from './settings.js';

export interface EntryProcess {
  /** Addresses of the ports, with the numbers that port 0 became. */
  readonly addresses: {
    readonly callers: string;
    readonly inner: string;
    readonly admin: string;
  };
  /** A planned stop: tells peers, serves what is in flight, then closes. */
  stop(): Promise<void>;
}

/**
 * Starts an entry. Throws `bad-settings` when a port, key or file can't be used.
 *
 * @example
 * const entry = await startEntry(readEntrySettings('entry-a1.json'));
 * await entry.stop();
 */
export async function startEntry(
  settings: EntrySettings,
): Promise<EntryProcess> {
  const metrics = createMetrics('skylarkfield');
  const context = createContext(settings, metrics.meter);
  const {clock, log, decisions, dumps} = context;
  const adminKey = resolveSecret(settings.keys.admin, 'keys.admin');
  const innerKey = resolveSecret(settings.keys.inner, 'keys.inner');
  const owned = disposableStore();
  let phase: 'serving' | 'lingering' | 'leaving' = 'serving';

  const callerServer = createServer(settings.callers, settings.limits);
  const adminServer = createServer(settings.admin, settings.limits);
  const callerListener = owned.add(
    await openListener(callerServer, settings.callers, clock, log),
  );
  const adminListener = owned.add(
    await openListener(adminServer, settings.admin, clock, log),
  );
  const callersUrl =
    settings.advertised.callers ??
    addressOf(callerListener, settings.callers.host);

  const platform = createPlatformPart(context);
  owned.add(platform.store);
  const inFlight = createInFlight(clock);
  const members = owned.add(
    await createMembersPart(context, platform, {
      innerKey,
      callersUrl,
      load: inFlight.count,
    }),
  );
  const {membership} = members;
  const records = owned.add(createRecordsPart(context, platform, members));
  const {configuration} = records;
  const router = createRoutingPart(context, membership);
  const listed = createSharedHostList({
    ...context,
    hostList: platform.hostList,
    network: members.network,
  });
  const leavingPart = owned.add(
    createLeavingPart(context, {...platform, hostList: listed}, members),
  );
  const admission = createAdmissionPart(context, configuration, membership);
  const loads = createLoadFeed(router, {clock, admission, configuration});
  const endpoints = owned.add(
    createEnginesPart(context, leavingPart, loads.router),
  );
  owned.add(loads.start(endpoints));
  const split = createMovesPart(context);
  const streams = createStreamRunner({clock, self: settings.id});
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
      network: members.network,
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
  const serving: Serving = {
    configuration,
    admission,
    router,
    endpoints,
    streams,
    split,
    ledger,
    lookup: members.lookup,
  };
  const requestMetrics = createRequestMetrics(
    metrics.meter,
    name => configuration.get('service', name) !== undefined,
  );
  attachAdminRoutes({
    server: adminServer,
    key: adminKey,
    dumps,
    decisions,
    metrics,
  });
  attachCallerRoutes({
    server: callerServer,
    serving,
    keys: createCustomerKeys(configuration),
    models: createModelServer({
      serving,
      clock,
      limits: settings.limits,
      metrics: requestMetrics,
    }),
    plain: createPlainServer({serving, attempts, clock}),
    metrics: requestMetrics,
    limits: settings.limits,
    clock,
    log,
    inFlight,
    readiness,
  });
  dumps.add('process', () => ({
    id: settings.id,
    readiness: readiness(),
    inFlight: inFlight.count(),
    memory: process.memoryUsage(),
    cpu: process.cpuUsage(),
    uptimeSeconds: process.uptime(),
  }));
  owned.add(toDisposable(() => void metrics.shutDown()));
  log.info({callersUrl}, 'entry started');

  let stopping: Promise<void> | undefined;
  return {
    addresses: {
      callers: callersUrl,
      inner: members.innerUrl,
      admin: addressOf(adminListener, settings.admin.host),
    },
    stop() {
      stopping ??= stop();
      return stopping;
    },
  };

  function readiness(): Readiness {
    if (phase !== 'serving') {
      return phase;
    }
    return configuration.isReady() ? 'ready' : 'starting';
  }

  /**
   * Peers hear of the stop before anything else, so that no lookup names this
   * entry any more by the time it refuses requests; only then does it wait for
   * what is in flight. Closing earlier would cut answers that callers are reading.
   */
  async function stop(): Promise<void> {
    log.info('stopping');
    phase = 'lingering';
    await membership.leave();
    await duties.release();
    await lingered();
    phase = 'leaving';
    await ledger.leave();
    const isIdle = await inFlight.idle(settings.drainMs);
    log.info({isIdle, inFlight: inFlight.count()}, 'drained');
    owned.dispose();
  }

  function lingered(): Promise<void> {
    return new Promise(resolve => {
      clock.after(settings.lingerMs, resolve);
    });
  }
}

function createContext(
  settings: EntrySettings,
  meter: EntryContext['meter'],
): EntryContext {
  const clock = systemClock();
  const log = createLogger(settings.log.level, {entry: settings.id});
  const dumps = createDumps();
  const decisions = decisionLog(clock, log);
  dumps.add('decisions', () => decisions.list());
  return {
    settings,
    clock,
    random: processRandom(),
    log,
    decisions,
    meter,
    dumps,
  };
}

function addressOf(
  listener: {readonly scheme: string; readonly port: number},
  host: string,
): string {
  return `${listener.scheme}://${host}:${listener.port}`;
}
