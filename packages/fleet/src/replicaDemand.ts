/** How many replicas of a service hold its latency target at the present load. */
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Service} from '@skylarkfield/records';
import type {Demand} from './contracts.js';

/** Part of the slots that may be in use at the target: beyond it, waiting grows fast. */
const TARGET_USE = 0.7;
/** Falls are followed over this many rounds, so that a short lull stops no hosts. */
const FALL_ROUNDS = 30;

export interface ReplicaDemand {
  /**
   * Takes the latest reports of the service's endpoints and the number of its
   * hosts without spare ones; gives what it needs now.
   */
  update(
    service: Service,
    reports: readonly LoadReport[],
    hosts: number,
  ): Demand;
}

/**
 * Makes the estimate. A rise counts at once; a fall slowly, since starting a
 * replica again costs minutes and a load of weights. A new holder of the duty
 * has no history: it starts from the hosts there are, and without reports it
 * keeps its estimate, or it would stop hosts that it merely knows nothing of.
 *
 * @example
 * const demand = createReplicaDemand().update(service, reports, 4);
 */
export function createReplicaDemand(): ReplicaDemand {
  const smoothed = new Map<string, number>();
  return {
    update(service, reports, hosts) {
      const before = smoothed.get(service.name) ?? hosts;
      const now = neededReplicas(reports) ?? before;
      const next = now >= before ? now : before + (now - before) / FALL_ROUNDS;
      smoothed.set(service.name, next);
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

/** Undefined when no report tells. */
function neededReplicas(reports: readonly LoadReport[]): number | undefined {
  const slots = reports.reduce((sum, report) => sum + report.slots, 0);
  if (slots === 0) {
    return undefined;
  }
  const busy = reports.reduce(
    (sum, report) => sum + report.running + report.waiting,
    0,
  );
  const slotsPerReplica = slots / reports.length;
  return busy / (slotsPerReplica * TARGET_USE);
}
