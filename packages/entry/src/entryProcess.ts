/** One entry process: its ports, the order in which it starts, and how it stops. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createDumps,
  createInFlightCounter,
  createLogger,
  createMetrics,
  createProcessLifecycle,
  decisionLog,
  disposableStore,
  processRandom,
  ServingError,
  systemClock,
  toDisposable,
  type Disposable,
  type DisposableStore,
  type LifecycleState,
} from '@skylarkfield/base';
import {attachAdminRoutes} from './admin/adminServer.js';
import {attachCallerRoutes, type Readiness} from './callers/callerServer.js';
import {createCustomerKeys} from './callers/customerKeys.js';
import {createRequestMetrics} from './callers/observation.js';
import {sendProblem, toProblem} from './callers/problem.js';
import {createModelServer} from './callers/serveModel.js';
import {createPlainServer} from './callers/servePlain.js';
import type {EntryContext} from './context.js';
import {createEntryParts, type EntryParts} from './entryParts.js';
import {
  createServer,
  openListener,
  type HttpServer,
  type Listener,
} from './listener.js';
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

/** Time for refusals that are on their way when the port closes, in milliseconds. */
const CLOSE_MS = 1_000;

/**
 * Starts an entry. Throws `bad-settings` when a port, key or file can't be used;
 * what was opened by then is closed again.
 *
 * @example
 * const entry = await startEntry(readEntrySettings('entry-a1.json'));
 * await entry.stop();
 */
export async function startEntry(
  settings: EntrySettings,
): Promise<EntryProcess> {
  const owned = disposableStore();
  try {
    return await start(settings, owned);
  } catch (error) {
    owned.dispose();
    throw error;
  }
}

async function start(
  settings: EntrySettings,
  owned: DisposableStore,
): Promise<EntryProcess> {
  const metrics = await createMetrics('skylarkfield');
  owned.add(toDisposable(() => void metrics.shutDown()));
  const context = createContext(settings, metrics.meter);
  const {clock, log, decisions, dumps} = context;
  const adminKey = resolveSecret(settings.keys.admin, 'keys.admin');
  const innerKey = resolveSecret(settings.keys.inner, 'keys.inner');
  const life = createProcessLifecycle();
  const inFlight = createInFlightCounter(clock);

  const callers = await openPort(settings.callers);
  const admin = await openPort(settings.admin);
  const callersUrl = settings.advertised.callers ?? callers.url;
  const unready = refuseUntilReady(callers.server);
  const parts = owned.add(
    await createEntryParts(context, {
      innerKey,
      callersUrl,
      load: inFlight.count,
    }),
  );
  unready.dispose();
  attachRoutes(parts);
  dumps.add('process', () => ({
    id: settings.id,
    life: life.state(),
    readiness: readiness(),
    inFlight: inFlight.count(),
    memory: process.memoryUsage(),
    cpu: process.cpuUsage(),
    uptimeSeconds: process.uptime(),
  }));
  log.info({callersUrl}, 'entry started');

  let stopping: Promise<void> | undefined;
  return {
    addresses: {
      callers: callersUrl,
      inner: parts.innerUrl,
      admin: admin.url,
    },
    stop() {
      stopping ??= stop();
      return stopping;
    },
  };

  async function openPort(port: EntrySettings['callers']) {
    const server = createServer(port, settings.limits);
    const listener = owned.add(await openListener(server, port, clock, log));
    return {server, listener, url: addressOf(listener, port.host)};
  }

  function attachRoutes({serving, attempts}: EntryParts): void {
    const {configuration} = serving;
    const requestMetrics = createRequestMetrics(
      metrics.meter,
      name => configuration.get('service', name) !== undefined,
    );
    attachAdminRoutes({
      server: admin.server,
      key: adminKey,
      dumps,
      decisions,
      metrics,
    });
    attachCallerRoutes({
      server: callers.server,
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
  }

  function readiness(): Readiness {
    return readinessOf[life.state()](parts);
  }

  /**
   * Peers hear of the stop before anything else, so that no lookup names this
   * entry any more by the time it refuses requests; only then does it wait for
   * what is in flight. Closing earlier would cut answers that callers are reading.
   */
  async function stop(): Promise<void> {
    log.info('stopping');
    life.send('announce');
    await parts.membership.leave();
    await parts.duties.release();
    await lingered();
    life.send('refuse');
    await parts.serving.ledger.leave();
    const isIdle = await inFlight.waitUntilIdle(settings.drainMs);
    log.info({isIdle, inFlight: inFlight.count()}, 'drained');
    life.send('close');
    await callers.listener.close(CLOSE_MS);
    owned.dispose();
  }

  function lingered(): Promise<void> {
    return new Promise(resolve => {
      clock.after(settings.lingerMs, resolve);
    });
  }
}

/** What callers are told in each state of the process's life. */
const readinessOf: Readonly<
  Record<LifecycleState, (parts: EntryParts) => Readiness>
> = {
  // After a pause what is in force here may be long replaced: requests are
  // refused, as not run, until a peer or the platform has answered again.
  serving: ({serving, membership}) =>
    serving.configuration.isReady() && membership.isCurrent()
      ? 'ready'
      : 'starting',
  lingering: () => 'lingering',
  leaving: () => 'leaving',
  stopped: () => 'leaving',
};

/**
 * The port is open before the parts are there, since its number is part of the
 * address that peers are told. A request that came in between would get no
 * answer at all; this one tells it to come back.
 */
function refuseUntilReady(server: HttpServer): Disposable {
  function refuse(_request: IncomingMessage, response: ServerResponse) {
    const error = new ServingError('not-ready', 'this entry is starting');
    sendProblem(response, toProblem(error, ''));
  }
  server.on('request', refuse);
  return toDisposable(() => server.off('request', refuse));
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

function addressOf(listener: Listener, host: string): string {
  return `${listener.scheme}://${host}:${listener.port}`;
}
