/** Hosts wanted per failure domain, machine class and market, and how to get there. */
import type {Host, Market, Offer} from '@skylarkfield/providers';

/** What one service needs. */
export interface Demand {
  readonly service: string;
  readonly machineClass: string;
  /** Replicas that hold the latency target at the present load. */
  readonly replicas: number;
  readonly minReplicas: number;
  readonly maxReplicas: number;
}

/** What has been seen of one failure domain and machine class. */
export interface Supply {
  readonly failureDomain: string;
  readonly machineClass: string;
  /** Reclaims per reclaimable host and hour, smoothed. */
  readonly reclaimRate: number;
  /** Starts of a market are not tried now, after refusals. */
  readonly isRefused: (market: Market) => boolean;
}

/** Hosts of one service in one failure domain and market. */
export interface WantedHosts {
  readonly service: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly count: number;
}

/** The hosts wanted for one service, and what that costs and withstands. */
export interface HostPlan {
  readonly wanted: readonly WantedHosts[];
  /** Currency units per hour at present prices. */
  readonly costPerHour: number;
  /** Replicas left after the loss of the failure domain with most of them. */
  readonly replicasAfterLoss: number;
  /** Why it is less than asked for, or undefined when it is not. */
  readonly shortfall: string | undefined;
}

/** What to do now to get nearer to the plan. */
export type FleetStep =
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
