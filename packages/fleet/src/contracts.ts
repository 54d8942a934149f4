/** Types of host plans and of the actions that apply them. */
import type {Host, Market, Offer} from '@skylarkfield/providers';

/** Replicas that a service needs. */
export interface Demand {
  readonly service: string;
  readonly machineClass: string;
  /** Replicas that meet the latency target at the present load. */
  readonly replicas: number;
  readonly minReplicas: number;
  readonly maxReplicas: number;
}

/** Reclaims and rejected starts of one failure domain and machine class. */
export interface CapacityPool {
  readonly failureDomain: string;
  readonly machineClass: string;
  /**
   * Reclaims per reclaimable host and hour; the weight of older observations
   * decays exponentially.
   */
  readonly reclaimRate: number;
  /** Returns whether starts in a market are in backoff after rejections. */
  readonly isRefused: (market: Market) => boolean;
}

/** Number of wanted hosts of a service in one failure domain and market. */
export interface WantedHosts {
  readonly service: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly count: number;
}

/** Wanted hosts of one service, with their cost and fault tolerance. */
export interface HostPlan {
  readonly wanted: readonly WantedHosts[];
  /** Currency units per hour at present prices. */
  readonly costPerHour: number;
  /** Replicas left after losing the failure domain with the most replicas. */
  readonly replicasAfterLoss: number;
  /** Why the plan misses the demand; undefined if the demand is met. */
  readonly shortfall: string | undefined;
}

/** Start or stop of one host. */
export type FleetAction =
  | {
      readonly type: 'start';
      readonly service: string;
      readonly failureDomain: string;
      readonly machineClass: string;
      readonly market: Market;
      readonly why: string;
    }
  | {readonly type: 'stop'; readonly host: string; readonly why: string};

export type {Host, Market, Offer};
