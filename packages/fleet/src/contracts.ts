/** Hosts wanted per failure domain, machine class and market. */
import type {Host, Market, Offer} from '@skylarkfield/platform';

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
  /** Reclaims per host and hour, smoothed. */
  readonly reclaimRate: number;
  /** Monotonic milliseconds until which starts are not tried, after refusals. */
  readonly refusedUntil: number;
}

export interface WantedHosts {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly count: number;
}

/** What to do now to get nearer to the plan. */
export type FleetStep =
  | {
      readonly type: 'start';
      readonly clientToken: string;
      readonly failureDomain: string;
      readonly machineClass: string;
      readonly market: Market;
      readonly why: string;
    }
  | {readonly type: 'stop'; readonly host: string; readonly why: string};

export interface FleetPlanner {
  /** Hosts that hold the target even after the loss of the worst failure domain, at the least cost. */
  plan(
    demands: readonly Demand[],
    offers: readonly Offer[],
    supplies: readonly Supply[],
  ): readonly WantedHosts[];
  /** Steps from what runs to what is wanted, most needed first. */
  steps(
    wanted: readonly WantedHosts[],
    hosts: readonly Host[],
  ): readonly FleetStep[];
}
