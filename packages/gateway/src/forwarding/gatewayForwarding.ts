/** Forwarding of a gateway, for its callers and for entries that are cut off. */
import type {AdmissionController} from '@skylarkfield/admission';
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import type {Departures, Rests} from '@skylarkfield/routing';
import {ZERO_WORK} from '@skylarkfield/traffic';
import type {GatewayContext} from '../context.js';
import type {Coordination} from '../process/coordination.js';
import type {EndpointAttemptOptions} from './endpointAttempts.js';
import type {EngineEstimates} from '../endpoints/engineEstimates.js';
import {createEngineObserver} from '../endpoints/engineObserver.js';
import type {ForwardedCall, ForwardingResult} from './forwardedCall.js';
import {createForwarding, type Forwarding} from './forwarding.js';
import {createHandoverHandler} from '../handover/handoverHandler.js';
import {createHandovers} from '../handover/handovers.js';
import {DEFAULT_CORES} from '../callers/lookup.js';
import {
  observeEventIntervals,
  type MeasuredCall,
} from '../rollouts/eventIntervalObserver.js';
import {createRetryRules} from './retryRules.js';
import {createSendLog} from './sendLog.js';
import {createStreamMigrator} from './streamMigration.js';
import {createEndConfirmation} from '../attempts/endConfirmation.js';
import {createAddressProbe} from '../reach/addressProbe.js';
import {createUpstreams} from '../attempts/upstream.js';

export interface GatewayForwarding extends Forwarding, Disposable {}

type EngineObserverOptions = Parameters<typeof createEngineObserver>[0];

type GatewayForwardingOptions = Pick<
  EndpointAttemptOptions,
  | 'router'
  | 'endpointReports'
  | 'slotShares'
  | 'warmUps'
  | 'crashQuarantine'
  | 'reach'
  | 'directory'
  | 'upstreams'
  | 'onDidStopAccepting'
  | 'isRollingOut'
  | 'onDidRun'
> &
  Pick<EngineObserverOptions, 'tokensPerEvent' | 'fitsKvCache'> & {
    readonly admission: AdmissionController;
    readonly departures: Departures;
    readonly rests: Pick<Rests, 'isResting'>;
    readonly engineEstimates: EngineEstimates;
    /** Whether the process accepts requests. */
    isServing(): boolean;
    /** Called with the result of each request that was handed over to this entry. */
    onDidConclude(call: ForwardedCall, result: ForwardingResult): void;
    /** Called with the mean interval of a stream's events, in milliseconds. */
    onDidMeasureEventInterval(call: MeasuredCall, intervalMs: number): void;
  };

/**
 * Creates the forwarding, and accepts requests that other entries hand over.
 *
 * @example
 * const forwarding = createGatewayForwarding(context, coordination, options);
 */
export function createGatewayForwarding(
  context: GatewayContext,
  {network, membership}: Coordination,
  options: GatewayForwardingOptions,
): GatewayForwarding {
  const {settings, platform, clock, random, log, dumps, inFlight, drainGuard} =
    context;
  const {router, directory, upstreams, reach, engineEstimates} = options;
  const disposables = createDisposableStore();
  const format = platform.callFormat;
  const retryRules = createRetryRules({admission: options.admission, clock});
  const handovers = createHandovers({
    self: settings.id,
    failureDomain: settings.failureDomain,
    liveMembers: membership.liveMembers,
    peerUpstreams: disposables.add(createUpstreams()),
    key: settings.innerKey,
    retryRules,
    bodyMemory: context.requestBodies.memory,
    departures: options.departures,
    format,
    clock,
    random,
  });
  const engineObserver = createEngineObserver({
    model: engineEstimates.model,
    clock,
    estimateFor: engineEstimates.estimateFor,
    tokensPerEvent: options.tokensPerEvent,
    fitsKvCache: options.fitsKvCache,
    onDidRecompute: (service, rereadTokens) =>
      engineEstimates.work.record(service, {...ZERO_WORK, rereadTokens}),
  });
  const forwarding = createForwarding({
    ...options,
    migrator: createStreamMigrator({
      directory,
      requestMigrator: platform.requestMigrator,
      clock,
      log,
    }),
    endConfirmation: createEndConfirmation({
      probe: createAddressProbe({
        clock,
        connect: context.connectEndpoint,
        format,
      }),
      clock,
    }),
    engineObserver: observeEventIntervals(
      engineObserver,
      clock,
      options.onDidMeasureEventInterval,
    ),
    retryRules,
    handovers,
    sendLog: createSendLog({metrics: context.metrics, log}),
    drainGuard,
    format,
    clock,
    log,
  });
  network.setRequestHandler(
    createHandoverHandler({
      forwarding,
      reach,
      departures: options.departures,
      format,
      inFlight,
      requestBodies: context.requestBodies,
      cores: settings.processor?.cores ?? DEFAULT_CORES,
      clock,
      log,
      drainGuard,
      isServing: options.isServing,
      onDidConclude: options.onDidConclude,
    }),
  );
  disposables.add(
    reach.onDidCutOff(service => {
      router.forgiveFailures(service);
      // Open connections may stay silent for good after a cut.
      upstreams.renew(
        directory.endpointsOf(service).map(({address}) => address),
      );
    }),
  );
  dumps.add('handovers', () => handovers.dump());
  return {...forwarding, dispose: () => disposables.dispose()};
}
