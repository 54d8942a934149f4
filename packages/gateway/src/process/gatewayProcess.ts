/** Startup and graceful shutdown of a gateway process. */
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
  systemClock,
  type Clock,
  type Logger,
} from '@skylarkfield/base';
import {createCoordination} from './coordination.js';
import {MS_PER_SECOND, type GatewayContext} from '../context.js';
import {LEAVING_RETRY_MS} from '../callers/callerHandler.js';
import type {Platform} from '../contracts.js';
import {competeForClusterDuty} from './clusterDuty.js';
import {openPorts} from './gatewayPorts.js';
import {createRequestBodies} from '../callers/requestBodies.js';
import {createRequestMetrics} from '../callers/requestMetrics.js';
import type {GatewaySettings} from '../settings.js';
import {createTrafficPipeline} from '../trafficPipeline.js';
import {
  createTcpConnector,
  type EndpointConnector,
} from '../attempts/upstream.js';

export interface GatewayProcess {
  /**
   * Shuts down gracefully: removes the entry from lookups, accepts new requests
   * for up to `LINGER_MS`, waits for requests in flight, and ends those that are
   * left with an error.
   */
  stop(): Promise<void>;
  /** Applies the settings that can change at run time: the log level. */
  reload(settings: GatewaySettings): void;
}

/**
 * Time for which a stopping process still accepts new requests, in
 * milliseconds: callers cache lookups for 2 s. Requests after that time are
 * rejected, since a long response could not be completed within the grace
 * period.
 */
const LINGER_MS = 2_700;

/**
 * Part of the grace period that is reserved for closing the process after its
 * last request, in milliseconds.
 */
const SHUTDOWN_MARGIN_MS = 700;

/**
 * Time to send the errors of the requests that the stop has ended, in
 * milliseconds.
 */
const LAST_ANSWERS_MS = 200;

/**
 * Starts a gateway. Throws `bad-settings` if a port cannot be opened, after
 * releasing all resources acquired before.
 *
 * @example
 * const gateway = await startGateway(settings,
 *   createPlatform(settings.platform, log), log);
 * await gateway.stop();
 */
export async function startGateway(
  settings: GatewaySettings,
  platform: Platform,
  log = createLogger(settings.log.level, {entry: settings.id}),
  connectEndpoint = createTcpConnector(),
  clock = systemClock(),
): Promise<GatewayProcess> {
  const disposables = createDisposableStore();
  try {
    const context = createContext(
      settings,
      platform,
      log,
      connectEndpoint,
      clock,
    );
    const coordination = disposables.add(await createCoordination(context));
    const traffic = disposables.add(
      createTrafficPipeline(context, coordination),
    );
    disposables.add(competeForClusterDuty(context, coordination, traffic));
    disposables.add(await openPorts(context, coordination, traffic));
    log.info({incarnation: context.incarnation}, 'started');

    let stopResult: Promise<void> | undefined;
    return {
      stop() {
        stopResult ??= shutDown(context, coordination).then(async () => {
          disposables.dispose();
          await context.metrics.shutDown();
        });
        return stopResult;
      },
      reload(newSettings) {
        log.level = newSettings.log.level;
        log.info({level: newSettings.log.level}, 'settings reloaded');
      },
    };
  } catch (error) {
    disposables.dispose();
    throw error;
  }
}

function createContext(
  settings: GatewaySettings,
  platform: Platform,
  log: Logger,
  connectEndpoint: EndpointConnector,
  clock: Clock,
): GatewayContext {
  const lifecycle = createProcessLifecycle();
  const context: GatewayContext = {
    settings,
    platform,
    incarnation: clock.wall(),
    clock,
    random: processRandom(),
    log,
    decisions: createDecisionLog(clock, log),
    dumps: createDumpRegistry(),
    metrics: createRequestMetrics(() => createMetrics('skylarkfield'), log),
    lifecycle,
    drainGuard: createDrainGuard(lifecycle, LEAVING_RETRY_MS),
    inFlight: createInFlightCounter(clock),
    requestBodies: createRequestBodies(settings.memoryMb, clock),
    connectEndpoint,
  };
  context.dumps.add('process', () => ({
    id: settings.id,
    incarnation: context.incarnation,
    life: lifecycle.state(),
    inFlight: context.inFlight.count(),
    memory: process.memoryUsage(),
    cpu: process.cpuUsage(),
  }));
  context.dumps.add('requestBodies', () => ({
    sharedBytes: context.requestBodies.memory.sharedBytes(),
  }));
  context.dumps.add('refusedObjects', () => platform.refusedObjects());
  return context;
}

/**
 * Shuts the process down without waiting until it has left the membership and
 * released its leases: if the platform is down, waiting would use up
 * the time that is left for responses in flight.
 */
async function shutDown(
  {settings, clock, log, lifecycle, inFlight}: GatewayContext,
  {
    membership,
    dutyElections,
  }: {
    membership: {leave(): Promise<void>};
    dutyElections: {release(): Promise<void>};
  },
): Promise<void> {
  const graceMs = settings.graceSeconds * MS_PER_SECOND;
  const closeAt = clock.now() + graceMs - SHUTDOWN_MARGIN_MS;
  log.info({inFlight: inFlight.count(), graceMs}, 'stopping');
  lifecycle.setStopTime(closeAt);
  lifecycle.send('announce');
  const departure = Promise.allSettled([
    membership.leave(),
    dutyElections.release(),
  ]);
  void departure.then(outcomes => {
    const failedOutcomes = outcomes.filter(({status}) => status === 'rejected');
    log.info(
      {failed: failedOutcomes.length},
      'departure from membership and leases finished',
    );
  });
  await new Promise<void>(resolve => {
    clock.after(Math.min(LINGER_MS, graceMs / 2), resolve);
  });
  lifecycle.send('refuse');
  const isIdle = await inFlight.waitUntilIdle(
    Math.max(0, closeAt - clock.now()),
  );
  const unfinished = inFlight.count();
  lifecycle.send('close');
  await inFlight.waitUntilIdle(LAST_ANSWERS_MS);
  log.info({isIdle, unfinished, inFlight: inFlight.count()}, 'stopped');
}
