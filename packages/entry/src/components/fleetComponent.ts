/** Fleet duty of this entry: host scaling and endpoint repair. */
import {
  createDisposableStore,
  scheduleRepeatedly,
  type Disposable,
} from '@skylarkfield/base';
import {createCommandGate, type DutyElections} from '@skylarkfield/duties';
import {
  createEndpointRepair,
  createFleetDuty,
  COMMAND_DEADLINE_MS,
  type ManagedEndpoint,
} from '@skylarkfield/fleet';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {Configuration} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import type {EndpointPool} from '../servingContext.js';
import type {LoadReportAggregator} from './loadReportAggregator.js';
import type {PlatformComponent} from './platformComponent.js';

/** Interval of endpoint repair checks, in milliseconds. */
const REPAIR_INTERVAL_MS = 5_000;

interface FleetComponentOptions {
  readonly duties: DutyElections;
  readonly platform: PlatformComponent;
  readonly configuration: Configuration;
  readonly endpointPool: EndpointPool;
  readonly loadReports: Pick<LoadReportAggregator, 'freshReports'>;
}

/**
 * Takes part in the lease election of the fleet duty.
 *
 * @example
 * disposables.add(createFleetComponent(context, options));
 */
export function createFleetComponent(
  context: EntryContext,
  options: FleetComponentOptions,
): Disposable {
  const {clock, random, decisions, dumps} = context;
  const {platform, configuration, endpointPool} = options;
  return options.duties.compete('fleet', term => {
    const disposables = createDisposableStore();
    const duty = disposables.add(
      createFleetDuty({
        cloud: platform.cloud,
        clock,
        random,
        decisions,
        term,
        services: () => configuration.list('service'),
        reports: options.loadReports.freshReports,
      }),
    );
    const repair = createEndpointRepair({
      clock,
      decisions,
      weights: platform.weightStore,
      term,
      gate: createCommandGate({
        clock,
        term,
        commandDeadlineMs: COMMAND_DEADLINE_MS,
      }),
    });
    let isRepairing = false;
    disposables.add(
      scheduleRepeatedly(clock, REPAIR_INTERVAL_MS, () => void runRepair()),
    );
    disposables.add(dumps.add('fleet', () => duty.dump()));
    return disposables;

    async function runRepair(): Promise<void> {
      if (isRepairing) {
        return;
      }
      isRepairing = true;
      try {
        await repair.repairAll(managedEndpoints(), weightsNameOf);
      } finally {
        isRepairing = false;
      }
    }
  });

  function managedEndpoints(): ManagedEndpoint[] {
    return endpointPool
      .list()
      .flatMap(({listedEndpoint, engine}) =>
        engine === undefined
          ? []
          : [{listed: withClassOverrides(listedEndpoint), engine}],
      );
  }

  /** Applies `checksFencing` of the operators' endpoint class record. */
  function withClassOverrides(listedEndpoint: ListedEndpoint): ListedEndpoint {
    const classRecord = configuration.get(
      'endpoint-class',
      listedEndpoint.machineClass,
    );
    return {
      ...listedEndpoint,
      checksFencing: classRecord?.checksFencing ?? listedEndpoint.checksFencing,
    };
  }

  /** Returns the name of a model's weights, by default the service name. */
  function weightsNameOf(service: string): string {
    return configuration.get('service', service)?.fleet.weights || service;
  }
}
