/** Scheduling of a gateway: as the scheduler of services, and as its client. */
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import type {GatewayContext} from '../context.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {EngineEstimates} from '../endpoints/engineEstimates.js';
import type {ServiceCatalog} from '../policy/serviceCatalog.js';
import type {Coordination} from '../process/coordination.js';
import type {ScheduledServices} from './scheduledServices.js';
import {
  createSchedulerClient,
  type SchedulerClient,
} from './schedulerClient.js';
import {createSchedulerHost, type SchedulerHost} from './schedulerHost.js';

export interface GatewayScheduling extends Disposable {
  readonly client: SchedulerClient;
  readonly host: SchedulerHost;
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
      network,
      host,
      liveMembers: () =>
        parts.isEntryCountKnown() ? membership.liveMembers() : undefined,
      onDidChangeMembers: membership.onDidChange,
    }),
  );
  dumps.add('scheduling', () => ({
    client: client.dump(),
    schedulers: host.dump(),
  }));
  return {client, host, dispose: () => disposables.dispose()};
}
