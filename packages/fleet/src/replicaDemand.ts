/** Estimates how many replicas meet the latency target at the present load. */
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Service} from '@skylarkfield/records';
import type {Demand} from './contracts.js';

/** Target fraction of slots in use; queueing time grows fast beyond it. */
const TARGET_UTILIZATION = 0.7;
/** Rounds of smoothing when demand falls, so a short lull stops no hosts. */
const SCALE_DOWN_ROUNDS = 30;

export interface ReplicaDemandEstimator {
  /**
   * Returns the demand from the latest reports of the service's endpoints and
   * its number of hosts without spares.
   */
  update(
    service: Service,
    reports: readonly LoadReport[],
    hostsWithoutSpares: number,
  ): Demand;
}

/**
 * Creates the estimator. It follows a rise at once and a fall slowly, since
 * starting a replica again takes minutes and a load of weights. A new holder of
 * the duty starts from the present hosts and keeps that estimate until reports
 * arrive; otherwise it would stop hosts for lack of data.
 *
 * @example
 * const demand = createReplicaDemandEstimator().update(service, reports, 4);
 */
export function createReplicaDemandEstimator(): ReplicaDemandEstimator {
  const smoothedDemand = new Map<string, number>();
  return {
    update(service, reports, hostsWithoutSpares) {
      const previous = smoothedDemand.get(service.name) ?? hostsWithoutSpares;
      const needed = estimateReplicas(reports) ?? previous;
      const next =
        needed >= previous
          ? needed
          : previous + (needed - previous) / SCALE_DOWN_ROUNDS;
      smoothedDemand.set(service.name, next);
      const {machineClass, minReplicas, maxReplicas} = service.fleet;
      return {
        service: service.name,
        machineClass,
        replicas: Math.ceil(next),
        minReplicas,
        maxReplicas,
      };
    },
  };
}

/** Returns the replicas for the reported load; undefined without slots. */
function estimateReplicas(reports: readonly LoadReport[]): number | undefined {
  const totalSlots = reports.reduce((sum, report) => sum + report.slots, 0);
  if (totalSlots === 0) {
    return undefined;
  }
  const outstandingRequests = reports.reduce(
    (sum, report) => sum + report.running + report.waiting,
    0,
  );
  const slotsPerReplica = totalSlots / reports.length;
  return outstandingRequests / (slotsPerReplica * TARGET_UTILIZATION);
}
