/** Tasks of the cluster duty, which one entry performs for all entries. */
import {createDisposableStore, type Disposable} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import {planningKindOf} from '@skylarkfield/traffic';
import type {Coordination} from './coordination.js';
import {MS_PER_SECOND, type GatewayContext} from '../context.js';
import {startFleetDuty} from './fleetDuty.js';
import {startRolloutStateDuty} from '../rollouts/rolloutStateDuty.js';
import type {TrafficPipeline} from '../trafficPipeline.js';
import {startUsageDuty} from '../quotas/usageDuty.js';
import {createUsageReports, earliestWindow} from '../quotas/usageReports.js';

/**
 * Competes for the duty to report usage, scale endpoints and write lost rollout
 * states. One lease covers all tasks, since renewals of a lease are billed even if its holder has
 * nothing to do.
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
  const {store, dutyElections} = coordination;
  const returns = dutyElections.storeReturns;
  const disposables = createDisposableStore();
  const usageOptions = {
    usageWindows: traffic.usageWindows,
    lateMs: settings.usageLateSeconds * MS_PER_SECOND,
    commonWallMs: traffic.digests.commonWallMs,
  };
  const reports = disposables.add(
    createUsageReports({
      store,
      returns,
      clock,
      log,
      earliestWindow: () => earliestWindow(usageOptions),
    }),
  );

  function startTasks(term: DutyTerm): Disposable {
    const taskDisposables = createDisposableStore();
    const commonOptions = {
      term,
      holder: settings.id,
      orders: platform.orders,
      clock,
      log,
    };
    taskDisposables.add(
      startUsageDuty({
        ...commonOptions,
        store,
        returns,
        reports,
        ...usageOptions,
      }),
    );
    taskDisposables.add(
      startFleetDuty({
        ...commonOptions,
        directory: traffic.directory,
        // During a rollout, the platform itself sets the number of endpoints of
        // both versions.
        services: () =>
          traffic.policy
            .services()
            .filter(({name}) => !traffic.rolloutController.isRollingOut(name)),
        planningKind: service =>
          traffic.isBrittle(service.name)
            ? 'general'
            : planningKindOf(service, settings.scheduling.mostSlots),
        demandSignals: traffic.engineEstimates.demandSignals,
      }),
    );
    taskDisposables.add(
      startRolloutStateDuty({
        term,
        rollouts: traffic.rollouts,
        writeRolloutState: platform.writeRolloutState,
        clock,
        log,
      }),
    );
    taskDisposables.add(
      traffic.engineCapacityStore.startPersisting(
        traffic.engineEstimates.fleetCapacity,
      ),
    );
    return taskDisposables;
  }

  disposables.add(dutyElections.compete('fleet', startTasks));
  return disposables;
}
