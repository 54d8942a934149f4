/** Scheduling of a gateway: as the scheduler of services, and as its client. */
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import type {EndpointReach} from '@skylarkfield/routing';
import {
  createRequestAdmission,
  type RequestAdmission,
} from '../callers/requestAdmission.js';
import {createSchedulerUse} from '../callers/schedulerUse.js';
import type {GatewayContext} from '../context.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {EngineEstimates} from '../endpoints/engineEstimates.js';
import type {ServiceCatalog} from '../policy/serviceCatalog.js';
import type {Coordination} from '../process/coordination.js';
import type {ScheduledServices} from './scheduledServices.js';
import {createSchedulerClient} from './schedulerClient.js';
import {createSchedulerHost, type SchedulerHost} from './schedulerHost.js';

type RequestAdmissionOptions = Parameters<typeof createRequestAdmission>[0];

export interface GatewayScheduling extends Disposable {
  readonly host: SchedulerHost;
  /** Creates the admission of requests, which asks the schedulers. */
  createRequestAdmission(
    options: Pick<
      RequestAdmissionOptions,
      'admission' | 'chooseGroup' | 'onDidAccept'
    > & {readonly reach: Pick<EndpointReach, 'stateOf'>},
  ): RequestAdmission;
}

/**
 * Creates the scheduling of a gateway.
 *
 * @example
 * const scheduling = disposables.add(createGatewayScheduling(context, coordination, parts));
 */
export function createGatewayScheduling(
  {settings, clock, random, log, dumps, metrics}: GatewayContext,
  {network, membership}: Coordination,
  parts: {
    readonly directory: EndpointDirectory;
    readonly services: ServiceCatalog;
    readonly scheduledServices: ScheduledServices;
    readonly engineEstimates: EngineEstimates;
    /** Whether it is known which entries there are. */
    isEntryCountKnown(): boolean;
  },
): GatewayScheduling {
  const disposables = createDisposableStore();
  const host = disposables.add(
    createSchedulerHost({
      ...parts,
      self: settings.id,
      clock,
      random,
      network,
      onDidDecide: (service, decision) =>
        metrics.recordPlacement({service, ...decision}),
    }),
  );
  const client = disposables.add(
    createSchedulerClient({
      self: settings.id,
      clock,
      log,
      random,
      network,
      host,
      liveMembers: () =>
        parts.isEntryCountKnown() ? membership.liveMembers() : undefined,
      onDidChangeMembers: membership.onDidChange,
      onDidReject: (service, decision) =>
        metrics.recordPlacement({service, ...decision}),
    }),
  );
  dumps.add('scheduling', () => ({
    client: client.dump(),
    schedulers: host.dump(),
  }));

  /** Returns the slots of a service that are this entry's equal part. */
  function equalPart(service: string): number {
    const slots = parts.directory
      .placementTargets(service, 'incumbent')
      .reduce((sum, endpoint) => sum + endpoint.slots, 0);
    return Math.floor(slots / Math.max(1, membership.liveMembers().length));
  }

  return {
    host,
    createRequestAdmission: ({reach, ...options}) =>
      createRequestAdmission({
        ...options,
        schedulerClient: client,
        failureDomain: settings.failureDomain,
        schedulerUse: createSchedulerUse({
          clock,
          // An entry without paths hands its requests over to others.
          isScheduled: service =>
            parts.scheduledServices.has(service) &&
            reach.stateOf(service) === 'reachable',
          isModel: parts.services.isModel,
          isContended: client.isContended,
          equalPart,
        }),
        usualOwnTokens: service =>
          parts.engineEstimates.estimateFor(service).usualOwnTokens,
      }),
    dispose: () => disposables.dispose(),
  };
}
