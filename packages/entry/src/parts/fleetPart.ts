/** The fleet duty of this entry: hosts by the plan, endpoints that run what is listed. */
import {disposableStore, every, type Disposable} from '@skylarkfield/base';
import {createOrderGate, type DutyElections} from '@skylarkfield/duties';
import {
  createEndpointRepair,
  createFleetDuty,
  ORDER_DEADLINE_MS,
  type ManagedEndpoint,
} from '@skylarkfield/fleet';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {Configuration} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import type {EndpointPool} from '../serving.js';
import type {LoadFeed} from './loadFeed.js';
import type {PlatformPart} from './platformPart.js';

/** How often endpoints are asked what they run, in milliseconds. */
const REPAIR_INTERVAL_MS = 5_000;

interface FleetOptions {
  readonly duties: DutyElections;
  readonly platform: PlatformPart;
  readonly configuration: Configuration;
  readonly endpoints: EndpointPool;
  readonly loads: Pick<LoadFeed, 'reports'>;
}

/**
 * Competes for the fleet duty.
 *
 * @example
 * owned.add(createFleetPart(context, {duties, platform, configuration, endpoints, loads}));
 */
export function createFleetPart(
  context: EntryContext,
  options: FleetOptions,
): Disposable {
  const {clock, random, decisions, dumps} = context;
  const {platform, configuration, endpoints} = options;
  return options.duties.compete('fleet', tenure => {
    const owned = disposableStore();
    const duty = owned.add(
      createFleetDuty({
        cloud: platform.cloud,
        clock,
        random,
        decisions,
        tenure,
        services: () => configuration.list('service'),
        reports: options.loads.reports,
      }),
    );
    const repair = createEndpointRepair({
      clock,
      decisions,
      weights: platform.weights,
      tenure,
      gate: createOrderGate({
        clock,
        tenure,
        orderDeadlineMs: ORDER_DEADLINE_MS,
      }),
    });
    let isRepairing = false;
    owned.add(every(clock, REPAIR_INTERVAL_MS, () => void repairOnce()));
    owned.add(dumps.add('fleet', () => duty.dump()));
    return owned;

    async function repairOnce(): Promise<void> {
      if (isRepairing) {
        return;
      }
      isRepairing = true;
      try {
        await repair.repairAll(managedEndpoints(), weightsOf);
      } finally {
        isRepairing = false;
      }
    }
  });

  function managedEndpoints(): ManagedEndpoint[] {
    return endpoints
      .list()
      .flatMap(({listed, engine}) =>
        engine === undefined ? [] : [{listed: withClass(listed), engine}],
      );
  }

  /** What operators say of a class goes before what the list says of an endpoint. */
  function withClass(listed: ListedEndpoint): ListedEndpoint {
    const known = configuration.get('endpoint-class', listed.machineClass);
    return {
      ...listed,
      checksFencing: known?.checksFencing ?? listed.checksFencing,
    };
  }

  function weightsOf(service: string): string {
    return configuration.get('service', service)?.fleet.weights || service;
  }
}
