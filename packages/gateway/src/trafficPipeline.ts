/** The request path of a gateway, and its state exchange with other entries. */
import {createAdmissionController} from '@skylarkfield/admission';
import {
  createDisposableStore,
  createEmitter,
  type Disposable,
} from '@skylarkfield/base';
import {
  createCrashQuarantine,
  createDepartures,
  createRouter,
  type Router,
} from '@skylarkfield/routing';
import {
  createUsageWindows,
  TOKENS_PER_KEY,
  type Rollout,
  type UsageWindows,
} from '@skylarkfield/traffic';
import {createAdmissionConfigurator} from './policy/admissionConfigurator.js';
import type {Coordination} from './process/coordination.js';
import {
  createCallerHandler,
  type CallerHandler,
} from './callers/callerHandler.js';
import {MS_PER_SECOND, type GatewayContext} from './context.js';
import {
  crashReportSource,
  startCrashPersistence,
} from './crashes/crashPersistence.js';
import {PEER_TIMEOUT_MS, type Digests} from './digests/digests.js';
import {
  createEndpointDirectory,
  type EndpointDirectory,
} from './endpoints/endpointDirectory.js';
import {startEndpointRefresh} from './endpoints/endpointRefresh.js';
import {createEndpointReports} from './endpoints/endpointReports.js';
import {
  createEngineCapacityStore,
  type EngineCapacityStore,
} from './endpoints/engineCapacityStore.js';
import {
  createEngineEstimates,
  type EngineEstimates,
} from './endpoints/engineEstimates.js';
import type {
  ForwardedCall,
  ForwardingResult,
} from './forwarding/forwardedCall.js';
import {createGatewayForwarding} from './forwarding/gatewayForwarding.js';
import {createGatewayLimits} from './endpoints/gatewayLimits.js';
import {createGatewayQuotas} from './quotas/gatewayQuotas.js';
import {createGatewayReach} from './reach/gatewayReach.js';
import {createPeerReports} from './digests/peerReports.js';
import {withholdFailures, withholdLateness} from './reach/pathEvidence.js';
import type {Mirror} from './mirrors/mirror.js';
import {createPlatformView} from './mirrors/platformView.js';
import {createActivePolicy, type ActivePolicy} from './policy/activePolicy.js';
import {createReadiness, type Readiness} from './process/readiness.js';
import {createRequestWork} from './forwarding/requestWork.js';
import {createGatewayScheduling} from './scheduling/gatewayScheduling.js';
import {createScheduledServices} from './scheduling/scheduledServices.js';
import {
  createRolloutController,
  type RolloutController,
} from './rollouts/rolloutController.js';
import {eventIntervalSampleOf, sampleOf} from './rollouts/rolloutSample.js';
import {createServiceCatalog} from './policy/serviceCatalog.js';
import {startTrafficDigests} from './digests/trafficDigests.js';
import {createUpstreams} from './attempts/upstream.js';

export interface TrafficPipeline extends Disposable {
  readonly policy: ActivePolicy;
  readonly readiness: Readiness;
  readonly handler: CallerHandler;
  readonly directory: EndpointDirectory;
  readonly usageWindows: UsageWindows;
  readonly digests: Digests;
  readonly rolloutController: RolloutController;
  readonly rollouts: Mirror<Rollout>;
  readonly engineEstimates: EngineEstimates;
  readonly engineCapacityStore: EngineCapacityStore;
  isBrittle(service: string): boolean;
}

/**
 * Margin by which keys are rejected before the revocation limit, in
 * milliseconds: a request may wait that long between the check of its key and
 * its run.
 */
const KEY_MARGIN_MS = 500;

/**
 * Creates the request path, and starts to mirror the platform's objects and to
 * exchange digests.
 *
 * @example
 * const traffic = createTrafficPipeline(context, coordination);
 */
export function createTrafficPipeline(
  context: GatewayContext,
  coordination: Coordination,
): TrafficPipeline {
  const {settings, platform, clock, random, log, decisions, lifecycle} =
    context;
  const {network, membership} = coordination;
  const disposables = createDisposableStore();
  const platformView = disposables.add(
    createPlatformView({
      platform,
      crashReports: crashReportSource(platform),
      network,
      self: settings.id,
      plan: coordination.plan,
      clock,
      random,
      log,
    }),
  );
  const policy = createActivePolicy({
    mirror: platformView.policy,
    clock,
    log,
    maxPolicyAgeMs: settings.keyRevocationMs - KEY_MARGIN_MS,
  });
  const services = createServiceCatalog(policy);
  const peerReports = createPeerReports({
    clock,
    failureDomain: settings.failureDomain,
    reporterTimeoutMs: PEER_TIMEOUT_MS,
    quotaWindowMs: settings.quotaWindowSeconds * MS_PER_SECOND,
  });
  const engineCapacityStore = disposables.add(
    createEngineCapacityStore({store: coordination.store, clock, log}),
  );
  const engineEstimates = createEngineEstimates({
    clock,
    reports: peerReports,
    log,
    restored: engineCapacityStore.restoredStats,
    isModel: services.isModel,
    engineSlots: service => services.find(service)?.engine?.slots,
    latencyTargets: policy.routesTo,
  });
  const upstreams = disposables.add(createUpstreams(context.connectEndpoint));
  const limits = createGatewayLimits(context, membership, {
    router: () => router,
    directory: () => directory,
    findService: services.find,
    onDidChangeSlots: () => admissionConfigurator.update(),
  });
  const {rateLimits, warmUps, slotShares, rests} = limits;
  const router: Router = createRouter({
    clock,
    random,
    decisions,
    endpointLimits: limits.combined,
    failureDomain: settings.failureDomain,
    self: settings.id,
    blockTokens: TOKENS_PER_KEY,
    weightOverrides: service => engineEstimates.routeWeights(service),
    usesAllEndpoints: service => scheduledServices.has(service),
  });
  const departures = createDepartures({clock, decisions});
  const directory: EndpointDirectory = createEndpointDirectory({
    endpoints: platformView.endpoints,
    rollouts: platformView.rollouts,
    domainDrains: platformView.domainDrains,
    router,
    warmUps,
    departures,
    upstreams,
    log,
    isModel: services.isModel,
    warmUpMs: services.warmUpMs,
    regionOf: failureDomain => settings.regions[failureDomain],
  });
  const scheduledServices = createScheduledServices(settings.scheduling, {
    policy,
    services,
    directory,
    slotShares,
  });
  const crashQuarantine = createCrashQuarantine({
    clock,
    self: settings.id,
    decisions,
    wallMs: () => digests.commonWallMs(),
  });
  directory.onDidVanish(crashQuarantine.recordDeregistered);
  const endpointReports = createEndpointReports({
    router,
    rateLimits,
    slotShares,
    warmUps,
    crashQuarantine,
    departures,
    rests,
    endpointsAtAddressOf: directory.keysAtAddressOf,
    log,
  });
  const reach = disposables.add(
    createGatewayReach(
      context,
      coordination,
      directory,
      rests,
      endpointReports.recordProbeHead,
    ),
  );
  disposables.add(
    startCrashPersistence({
      mirror: platformView.crashes,
      crashQuarantine,
      store: coordination.store,
      self: settings.id,
      clock,
      random,
      log,
      isReader: () => platformView.syncStatuses().crashes?.isReader === true,
    }),
  );
  const admission = createAdmissionController({
    clock,
    random,
    decisions,
    limitPolicy: 'fixed',
  });
  const admissionConfigurator = createAdmissionConfigurator({
    admission,
    directory,
    policy,
    isBrittle: slotShares.isBrittle,
  });
  const refreshSoon = startEndpointRefresh({
    clock,
    mirrors: [
      platformView.endpoints,
      platformView.rollouts,
      platformView.domainDrains,
    ],
    isViewLoaded: directory.isLoaded,
    refresh: refreshEndpoints,
  });
  const readiness = disposables.add(
    createReadiness({
      policy,
      directory,
      crashes: platformView.crashes,
      clock,
      log,
    }),
  );
  departures.onDidAnnounce(endpoint => {
    context.metrics.countReport('leaving');
    router.markLeaving(endpoint);
    refreshSoon();
  });
  const stopEmitter = createEmitter<string>();
  directory.onDidLeave(stopEmitter.fire);
  rests.onDidBegin(endpoint => {
    context.metrics.countReport('rest');
    stopEmitter.fire(endpoint);
  });

  const gatewayQuotas = disposables.add(
    createGatewayQuotas(context, coordination, {policy, peerReports}),
  );
  const scheduling = disposables.add(
    createGatewayScheduling(context, coordination, {
      directory,
      services,
      scheduledServices,
      engineEstimates,
      isEntryCountKnown: gatewayQuotas.peerVisibility.isEntryCountKnown,
    }),
  );
  const usageWindows = createUsageWindows({
    windowMs: settings.usageWindowSeconds * MS_PER_SECOND,
    self: `${settings.id}.${context.incarnation}`,
    lateMs: settings.usageLateSeconds * MS_PER_SECOND,
  });
  const digests = disposables.add(
    startTrafficDigests(context, coordination, {
      platformView,
      peerReports,
      ...gatewayQuotas,
      usageWindows,
      admission,
      router,
      rateLimits,
      departures,
      crashQuarantine,
      engineEstimates,
    }),
  );

  function updateEntries(): void {
    limits.updateEntries();
    crashQuarantine.setEntries(membership.liveMembers().map(({id}) => id));
  }

  disposables.add(membership.onDidChange(updateEntries));
  updateEntries();

  function refreshEndpoints(): void {
    directory.refresh();
    reach.recordEndpointsChanged();
    limits.updateEndpoints();
    admissionConfigurator.update();
    scheduling.host.updateEndpoints();
  }

  const rolloutController = disposables.add(
    createRolloutController(context, {
      rollouts: platformView.rollouts,
      directory,
      network,
      store: coordination.store,
      dutyElections: coordination.dutyElections,
      plan: coordination.plan,
      otherEntryIds: () =>
        membership.members().flatMap(({id}) => (id === settings.id ? [] : id)),
    }),
  );

  const recordVersionSample = withholdFailures(
    reach,
    rolloutController.recordSample,
  );
  const isServing = () => ['serving', 'lingering'].includes(lifecycle.state());
  const forwarding = disposables.add(
    createGatewayForwarding(context, coordination, {
      router,
      endpointReports,
      departures,
      rests,
      onDidStopAccepting: stopEmitter.event,
      slotShares,
      warmUps,
      crashQuarantine,
      reach,
      directory,
      admission,
      upstreams,
      engineEstimates,
      tokensPerEvent: services.tokensPerEvent,
      fitsKvCache: services.fitsKvCache,
      isRollingOut: rolloutController.isRollingOut,
      isServing,
      onDidRun(customer, wallMs) {
        if (customer !== undefined) {
          usageWindows.recordRequest(
            customer,
            wallMs + digests.commonWallMs() - clock.wall(),
          );
        }
      },
      onDidConclude: recordSample,
      onDidMeasureEventInterval: (call, intervalMs) =>
        rolloutController.recordSample(eventIntervalSampleOf(call, intervalMs)),
    }),
  );

  function recordSample(
    call: Pick<ForwardedCall, 'service' | 'version' | 'route'>,
    result: ForwardingResult,
  ): void {
    const sample = sampleOf(call, result);
    if (sample !== undefined) {
      recordVersionSample(sample);
    }
  }

  const requestWork = createRequestWork(engineEstimates.work, services);
  const handler = createCallerHandler({
    ...context,
    policy,
    chargeQuota: gatewayQuotas.charge,
    crashQuarantine,
    requestAdmission: scheduling.createRequestAdmission({
      admission,
      reach,
      chooseGroup: rolloutController.groupFor,
      onDidAccept: requestWork.recordPrompt,
    }),
    forwarding,
    format: platform.callFormat,
    servingState: {
      isServing,
      isReady: readiness.isReady,
      isClosing: () => lifecycle.state() !== 'serving',
    },
    outcomeMeter: withholdLateness(reach, engineEstimates.outcomes),
    onDidConclude: recordSample,
    onDidAnswer: requestWork.recordAnswer,
  });
  context.dumps.add('view', platformView.dump);
  context.dumps.add('routing', router.dump);
  context.dumps.add('admission', admission.dump);
  context.dumps.add('engines', () => engineEstimates.dump());
  context.dumps.add('reports', () => peerReports.dump());
  context.dumps.add('departures', () => departures.dump());
  context.dumps.add('crashes', crashQuarantine.dump);
  context.dumps.add('upstreams', () => upstreams.dump());
  return {
    policy,
    readiness,
    handler,
    directory,
    isBrittle: slotShares.isBrittle,
    usageWindows,
    digests,
    rolloutController,
    rollouts: platformView.rollouts,
    engineEstimates,
    engineCapacityStore,
    dispose: () => disposables.dispose(),
  };
}
