/** An entry process: its ports, startup order and graceful shutdown. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createDrainGuard,
  createDumpRegistry,
  createInFlightCounter,
  createLogger,
  createMetrics,
  createProcessLifecycle,
  createDecisionLog,
  createDisposableStore,
  processRandom,
  ServingError,
  systemClock,
  toDisposable,
  type Clock,
  type Disposable,
  type DisposableStore,
  type LifecycleState,
  type Logger,
} from '@skylarkfield/base';
import {attachAdminRoutes} from './admin/adminServer.js';
import {
  attachCallerRoutes,
  NOT_SERVING_RETRY_MS,
  type Readiness,
} from './callers/callerServer.js';
import {createCustomerKeys} from './callers/customerKeys.js';
import {createRequestMetrics} from './callers/requestMetrics.js';
import {sendProblem, toProblem} from './callers/problem.js';
import {createModelServer} from './callers/modelServer.js';
import {createPlainServer} from './callers/plainServer.js';
import type {EntryContext} from './context.js';
import {
  createEntryComponents,
  type EntryComponents,
} from './entryComponents.js';
import {
  createServer,
  openListener,
  type HttpServer,
  type Listener,
} from './listener.js';
import {resolveSecret, type EntrySettings} from './settings.js';

export interface EntryProcess {
  /** URLs of the ports; port 0 is resolved to the bound port. */
  readonly addresses: {
    readonly callers: string;
    readonly inner: string;
    readonly admin: string;
  };
  /** Stops gracefully: notifies peers, drains requests, then closes. */
  stop(): Promise<void>;
}

/** Time to send the last responses when the port closes, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/**
 * Starts an entry. Throws `bad-settings` when a port, key or file can't be
 * used, after closing all ports that it has opened. `createClock` is called once
 * with the log of the process.
 *
 * @example
 * const entry = await startEntry(readEntrySettings('entry-a1.json'));
 * await entry.stop();
 */
export async function startEntry(
  settings: EntrySettings,
  createClock: (log: Logger) => Clock = systemClock,
): Promise<EntryProcess> {
  const disposables = createDisposableStore();
  try {
    return await start(settings, disposables, createClock);
  } catch (error) {
    disposables.dispose();
    throw error;
  }
}

async function start(
  settings: EntrySettings,
  disposables: DisposableStore,
  createClock: (log: Logger) => Clock,
): Promise<EntryProcess> {
  const metrics = await createMetrics('skylarkfield');
  disposables.add(toDisposable(() => void metrics.shutDown()));
  const context = createContext(settings, metrics.meter, createClock);
  const {clock, log, decisions, dumps} = context;
  const adminKey = resolveSecret(settings.keys.admin, 'keys.admin');
  const innerKey = resolveSecret(settings.keys.inner, 'keys.inner');
  const lifecycle = createProcessLifecycle();
  const drainGuard = createDrainGuard(lifecycle, NOT_SERVING_RETRY_MS);
  const inFlightCounter = createInFlightCounter(clock);

  const callerPort = await openPort(settings.callers);
  const adminPort = await openPort(settings.admin);
  const callersUrl = settings.advertised.callers ?? callerPort.url;
  const startupHandler = rejectUntilReady(callerPort.server);
  const components = disposables.add(
    await createEntryComponents(context, {
      innerKey,
      callersUrl,
      inFlightCount: inFlightCounter.count,
    }),
  );
  startupHandler.dispose();
  attachRoutes(components);
  dumps.add('process', () => ({
    id: settings.id,
    life: lifecycle.state(),
    readiness: readiness(),
    inFlight: inFlightCounter.count(),
    memory: process.memoryUsage(),
    cpu: process.cpuUsage(),
    uptimeSeconds: process.uptime(),
  }));
  log.info({callersUrl}, 'entry started');

  let stopPromise: Promise<void> | undefined;
  return {
    addresses: {
      callers: callersUrl,
      inner: components.innerUrl,
      admin: adminPort.url,
    },
    stop() {
      stopPromise ??= stop();
      return stopPromise;
    },
  };

  async function openPort(listenerSettings: EntrySettings['callers']) {
    const server = createServer(listenerSettings, settings.limits, log);
    const listener = disposables.add(
      await openListener(server, listenerSettings, clock, log),
    );
    return {server, listener, url: urlOf(listener, listenerSettings.host)};
  }

  function attachRoutes({serving, attemptRunner}: EntryComponents): void {
    const {configuration} = serving;
    const requestMetrics = createRequestMetrics(
      metrics.meter,
      name => configuration.get('service', name) !== undefined,
    );
    attachAdminRoutes({
      server: adminPort.server,
      key: adminKey,
      dumps,
      decisions,
      metrics,
    });
    attachCallerRoutes({
      server: callerPort.server,
      serving,
      customerKeys: createCustomerKeys(configuration),
      modelServer: createModelServer({
        serving,
        drainGuard,
        clock,
        limits: settings.limits,
        metrics: requestMetrics,
      }),
      plainServer: createPlainServer({
        serving,
        attemptRunner,
        drainGuard,
        clock,
      }),
      metrics: requestMetrics,
      limits: settings.limits,
      clock,
      log,
      inFlightCounter,
      drainGuard,
      readiness,
    });
  }

  function readiness(): Readiness {
    return readinessByState[lifecycle.state()](components);
  }

  /**
   * Notifies peers first, so that lookups no longer return this entry when it
   * starts to reject requests, and then drains requests in flight; those that
   * are left end with an error. Closing earlier would truncate responses that
   * callers are reading.
   */
  async function stop(): Promise<void> {
    log.info('stopping');
    lifecycle.send('announce');
    await components.membership.leave();
    await components.duties.release();
    await waitForLingerPeriod();
    lifecycle.setStopTime(clock.now() + settings.drainMs);
    lifecycle.send('refuse');
    await components.serving.ledger.leave();
    const isIdle = await inFlightCounter.waitUntilIdle(settings.drainMs);
    log.info({isIdle, inFlight: inFlightCounter.count()}, 'drained');
    lifecycle.send('close');
    await callerPort.listener.close(CLOSE_TIMEOUT_MS);
    disposables.dispose();
  }

  function waitForLingerPeriod(): Promise<void> {
    return new Promise(resolve => {
      clock.after(settings.lingerMs, resolve);
    });
  }
}

/** Readiness reported to callers in each lifecycle state. */
const readinessByState: Readonly<
  Record<LifecycleState, (components: EntryComponents) => Readiness>
> = {
  // After a pause of the process, the configuration may be outdated: requests
  // are rejected as not run until a peer or the platform has responded again.
  serving: ({serving, membership}) =>
    serving.configuration.isReady() && membership.isCurrent()
      ? 'ready'
      : 'starting',
  lingering: () => 'lingering',
  leaving: () => 'leaving',
  stopped: () => 'leaving',
};

/**
 * Rejects requests as retryable during startup. The port opens before the
 * components are built, since they send its number to peers; without a handler,
 * early requests would get no response.
 */
function rejectUntilReady(server: HttpServer): Disposable {
  function reject(_request: IncomingMessage, response: ServerResponse) {
    const error = new ServingError('not-ready', 'this entry is starting');
    sendProblem(response, toProblem(error, ''));
  }
  server.on('request', reject);
  return toDisposable(() => server.off('request', reject));
}

function createContext(
  settings: EntrySettings,
  meter: EntryContext['meter'],
  createClock: (log: Logger) => Clock,
): EntryContext {
  const log = createLogger(settings.log.level, {entry: settings.id});
  const clock = createClock(log);
  const dumps = createDumpRegistry();
  const decisions = createDecisionLog(clock, log);
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

function urlOf(listener: Listener, host: string): string {
  return `${listener.scheme}://${host}:${listener.port}`;
}
