/** Tracks reclaims and rejected starts per failure domain and machine class. */
import type {Clock, Random} from '@skylarkfield/base';
import type {Host, Market, CapacityPool} from './contracts.js';

const HOUR_MS = 3_600_000;
/** Half-life of observed reclaims and host hours, in milliseconds. */
const OBSERVATION_HALF_LIFE_MS = 6 * HOUR_MS;
/** Prior of the reclaims per reclaimable host and hour. */
const PRIOR_RECLAIMS_PER_HOST_HOUR = 0.02;
/** Weight of the prior in host hours. */
const PRIOR_HOST_HOURS = 20;
const INITIAL_BACKOFF_MS = 5_000;
const MAX_BACKOFF_MS = 300_000;

export interface CapacityPoolTracker {
  /**
   * Decays older observations, and adds the time since the last call for each
   * running reclaimable host to the host hours of its pool; called every round.
   */
  recordHosts(hosts: readonly Host[]): void;
  recordReclaim(failureDomain: string, machineClass: string): void;
  recordRejection(
    failureDomain: string,
    machineClass: string,
    market: Market,
  ): void;
  recordStart(
    failureDomain: string,
    machineClass: string,
    market: Market,
  ): void;
  listPools(): readonly CapacityPool[];
}

interface PoolStats {
  readonly failureDomain: string;
  readonly machineClass: string;
  hostHours: number;
  reclaims: number;
  readonly rejections: Map<Market, {count: number; retryAtMs: number}>;
}

/**
 * Creates the tracker of all capacity pools.
 *
 * Rejected starts put a pool's market into exponential backoff: immediate
 * retries would use up calls to the cloud while other pools could start hosts.
 *
 * @example
 * const tracker = createCapacityPoolTracker({clock, random});
 * tracker.recordRejection('a', 'gpu-small', 'reclaimable');
 */
export function createCapacityPoolTracker(options: {
  readonly clock: Clock;
  readonly random: Random;
}): CapacityPoolTracker {
  const {clock, random} = options;
  const pools = new Map<string, PoolStats>();
  let lastObservedAt = clock.now();

  function getOrCreatePool(
    failureDomain: string,
    machineClass: string,
  ): PoolStats {
    const key = `${failureDomain}/${machineClass}`;
    const pool = pools.get(key) ?? {
      failureDomain,
      machineClass,
      hostHours: PRIOR_HOST_HOURS,
      reclaims: PRIOR_RECLAIMS_PER_HOST_HOUR * PRIOR_HOST_HOURS,
      rejections: new Map(),
    };
    pools.set(key, pool);
    return pool;
  }

  function decayObservations(elapsedMs: number): void {
    const decayFactor = 0.5 ** (elapsedMs / OBSERVATION_HALF_LIFE_MS);
    for (const pool of pools.values()) {
      const priorHours = PRIOR_HOST_HOURS * (1 - decayFactor);
      pool.hostHours = pool.hostHours * decayFactor + priorHours;
      pool.reclaims =
        pool.reclaims * decayFactor + priorHours * PRIOR_RECLAIMS_PER_HOST_HOUR;
    }
  }

  return {
    recordHosts(hosts) {
      const elapsedMs = clock.now() - lastObservedAt;
      lastObservedAt = clock.now();
      decayObservations(elapsedMs);
      for (const host of hosts) {
        if (host.market === 'reclaimable' && host.state === 'running') {
          getOrCreatePool(host.failureDomain, host.machineClass).hostHours +=
            elapsedMs / HOUR_MS;
        }
      }
    },
    recordReclaim(failureDomain, machineClass) {
      getOrCreatePool(failureDomain, machineClass).reclaims += 1;
    },
    recordRejection(failureDomain, machineClass, market) {
      const {rejections} = getOrCreatePool(failureDomain, machineClass);
      const count = (rejections.get(market)?.count ?? 0) + 1;
      const backoffMs = Math.min(
        MAX_BACKOFF_MS,
        INITIAL_BACKOFF_MS * 2 ** (count - 1),
      );
      // Several services use the same pool; jitter spreads their retries.
      const retryAtMs = clock.now() + backoffMs * (0.75 + random.next() / 2);
      rejections.set(market, {count, retryAtMs});
    },
    recordStart(failureDomain, machineClass, market) {
      getOrCreatePool(failureDomain, machineClass).rejections.delete(market);
    },
    listPools: () =>
      [...pools.values()].map(pool => ({
        failureDomain: pool.failureDomain,
        machineClass: pool.machineClass,
        reclaimRate: pool.reclaims / pool.hostHours,
        isRefused: market =>
          (pool.rejections.get(market)?.retryAtMs ?? 0) > clock.now(),
      })),
  };
}
