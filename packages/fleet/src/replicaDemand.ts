/** Estimates how many replicas meet the latency target at the present load. */
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Service} from '@skylarkfield/records';
import type {Demand} from './contracts.js';

/** Target fraction of slots in use; queueing time grows fast above 0.7. */
const TARGET_UTILIZATION = 0.7;
/**
 * Number of rounds over which a fall of the demand is smoothed, so that a short
 * lull stops no hosts.
 */
const SCALE_DOWN_ROUNDS = 30;

export interface ReplicaDemandEstimator {
  /**
   * Returns the demand of a service, from the latest reports of its endpoints
   * and the number of its hosts without spares.
   */
  updateDemand(
    service: Service,
    reports: readonly LoadReport[],
    hostCountWithoutSpares: number,
  ): Demand;
}

/**
 * Creates the estimator. The estimate follows a rise of the load at once and a
 * fall slowly, since starting a replica again takes minutes and a load of
 * weights. A new holder of the duty starts from the number of present hosts and
 * keeps this estimate until reports arrive, so that missing reports stop no
 * hosts.
 *
 * @example
 * const estimator = createReplicaDemandEstimator();
 * const demand = estimator.updateDemand(service, reports, 4);
 */
export function createReplicaDemandEstimator(): ReplicaDemandEstimator {
  const smoothedReplicas = new Map<string, number>();
  return {
    updateDemand(service, reports, hostCountWithoutSpares) {
      const previousReplicas =
        smoothedReplicas.get(service.name) ?? hostCountWithoutSpares;
      const neededReplicas = estimateReplicas(reports) ?? previousReplicas;
      const nextReplicas =
        neededReplicas >= previousReplicas
          ? neededReplicas
          : previousReplicas +
            (neededReplicas - previousReplicas) / SCALE_DOWN_ROUNDS;
      smoothedReplicas.set(service.name, nextReplicas);
      const {machineClass, minReplicas, maxReplicas} = service.fleet;
      return {
        service: service.name,
        machineClass,
        replicas: Math.ceil(nextReplicas),
        minReplicas,
        maxReplicas,
      };
    },
  };
}

/**
 * Returns the replicas needed for the reported load; undefined if the reports
 * contain no slots.
 */
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
