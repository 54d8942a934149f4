/** Work that one entry does for all entries while it holds the duty. */
import {disposableStore, type Disposable} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import type {Coordination} from './coordination.js';
import {MS_PER_SECOND, type GatewayContext} from './context.js';
import {startFleetDuty} from './fleetDuty.js';
import type {TrafficPipeline} from './trafficPipeline.js';
import {startUsageDuty} from './usageDuty.js';

/**
 * Competes for the duty to report usage and scale endpoints. One lease covers
 * both, since the renewals of a lease are billed even without work.
 *
 * @example
 * const duty = competeForClusterDuty(context, coordination, traffic);
 */
export function competeForClusterDuty(
  context: GatewayContext,
  coordination: Coordination,
  traffic: TrafficPipeline,
): Disposable {
  const {settings, platform, clock, log} = context;

  function start(term: DutyTerm): Disposable {
    const tasks = disposableStore();
    const common = {
      term,
      holder: settings.id,
      orders: platform.orders,
      clock,
      log,
    };
    tasks.add(
      startUsageDuty({
        ...common,
        store: coordination.store,
        usage: traffic.usage,
        lateMs: settings.usageLateSeconds * MS_PER_SECOND,
        commonWallMs: traffic.digests.commonWallMs,
      }),
    );
    tasks.add(
      startFleetDuty({
        ...common,
        directory: traffic.directory,
        // During a rollout the platform sets the counts of both versions.
        services: () =>
          traffic.policy
            .services()
            .filter(({name}) => !traffic.rollouts.isOpen(name)),
        demandSignals: traffic.engineEstimates.demandSignals,
      }),
    );
    tasks.add(
      traffic.engineStore.startPersisting(
        traffic.engineEstimates.fleetCapacity,
      ),
    );
    return tasks;
  }

  return coordination.dutyElections.compete('fleet', start);
}
