/**
 * `fleet`: replays days with varying prices and waves of reclaims on a virtual
 * clock. Compares the planned hosts with two baselines, on-demand hosts only
 * and the cheapest reclaimable hosts, by cost and by time within the latency
 * target.
 */
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import {
  createFleetDuty,
  planHosts,
  type Demand,
  type HostPlan,
  type Offer,
} from '@skylarkfield/fleet';
import type {Service} from '@skylarkfield/records';
import {createReplayCloud, REPLAY_MACHINE_CLASS} from './fleet/replayCloud.js';
import type {MeasureOptions} from './measurements.js';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
/** Days replayed per policy; every day has its own prices and waves. */
const DAY_COUNT = 6;
/** Interval at which the cost and the serving hosts are measured. */
const STEP_MS = 15_000;
const SLOTS_PER_REPLICA = 8;
/** Slot utilization above which the latency target is missed. */
const TARGET_UTILIZATION = 0.7;
/** Concurrent requests at the lowest and the highest load of the day. */
const MIN_CONCURRENT_REQUESTS = 12;
const MAX_CONCURRENT_REQUESTS = 40;

type Planner = typeof planHosts;
export type FleetPolicy = 'planned' | 'on-demand' | 'cheapest';

/** Planning function of each policy; all policies run the same fleet duty. */
const planners: Readonly<Record<FleetPolicy, Planner>> = {
  planned: planHosts,
  'on-demand': (demand, offers, supplies) =>
    planHosts(
      demand,
      offers.filter(offer => offer.market === 'on-demand'),
      supplies,
    ),
  cheapest: planCheapestHosts,
};

const service: Service = {
  name: 'match',
  type: 'model',
  version: 'v1',
  routes: [],
  targetMs: 1500,
  timeoutMs: 30_000,
  concurrency: 500,
  queue: 500,
  fleet: {
    minReplicas: 3,
    maxReplicas: 40,
    machineClass: REPLAY_MACHINE_CLASS,
    weights: 'match',
  },
};

/**
 * Measures each policy over days with the same prices and reclaim waves.
 *
 * @example
 * const report = await measureFleet({seed: 1000});
 */
export async function measureFleet(options: MeasureOptions) {
  const rows = [];
  for (const policy of Object.keys(planners) as FleetPolicy[]) {
    rows.push(await replayDays(policy, options.seed));
  }
  const [planned, onDemand, cheapest] = rows;
  return {
    days: DAY_COUNT,
    rows,
    costAgainstOnDemand:
      planned!.costPerTargetHour / onDemand!.costPerTargetHour,
    costAgainstCheapest:
      planned!.costPerTargetHour / cheapest!.costPerTargetHour,
  };
}

async function replayDays(policy: FleetPolicy, seed: number) {
  let cost = 0;
  let targetHours = 0;
  let hoursWithoutReplica = 0;
  let waves = 0;
  for (let day = 0; day < DAY_COUNT; day++) {
    const result = await replayDay(policy, seed + day);
    cost += result.cost;
    targetHours += result.targetHours;
    hoursWithoutReplica += result.hoursWithoutReplica;
    waves += result.waves;
  }
  return {
    policy,
    waves,
    costPerDay: cost / DAY_COUNT,
    targetHeld: targetHours / (DAY_COUNT * 24),
    withoutAnyReplica: hoursWithoutReplica / (DAY_COUNT * 24),
    costPerTargetHour: cost / targetHours,
  };
}

async function replayDay(policy: FleetPolicy, seed: number) {
  const clock = createVirtualClock();
  const replayCloud = createReplayCloud(clock, seededRandom(seed));
  const duty = createFleetDuty({
    cloud: replayCloud.cloud,
    clock,
    random: seededRandom(seed + 1),
    decisions: createDecisionLog(clock, createSilentLogger()),
    term: {
      duty: 'fleet',
      fencing: 1,
      acquiredAt: 0,
      isValid: () => true,
      signal: new AbortController().signal,
    },
    services: () => [service],
    reports: () =>
      createLoadReports(
        replayCloud.servingHosts().length,
        concurrentRequestsAt(clock.now()),
      ),
    plan: planners[policy],
  });
  // The first hour starts the fleet and is not counted.
  await clock.advance(HOUR_MS);
  let cost = 0;
  let targetHours = 0;
  let hoursWithoutReplica = 0;
  const stepHours = STEP_MS / HOUR_MS;
  for (let elapsedMs = 0; elapsedMs < DAY_MS; elapsedMs += STEP_MS) {
    await clock.advance(STEP_MS);
    cost += replayCloud.pricePerHour() * stepHours;
    const slots = replayCloud.servingHosts().length * SLOTS_PER_REPLICA;
    if (concurrentRequestsAt(clock.now()) <= slots * TARGET_UTILIZATION) {
      targetHours += stepHours;
    }
    if (slots === 0) {
      hoursWithoutReplica += stepHours;
    }
  }
  duty.dispose();
  return {
    cost,
    targetHours,
    hoursWithoutReplica,
    waves: replayCloud.waveCount(),
  };
}

/** Returns the requests in flight on a sinusoidal day, lowest at midnight. */
function concurrentRequestsAt(nowMs: number): number {
  const angle = (2 * Math.PI * nowMs) / DAY_MS;
  const dailyFraction = (1 - Math.cos(angle)) / 2;
  return (
    MIN_CONCURRENT_REQUESTS +
    (MAX_CONCURRENT_REQUESTS - MIN_CONCURRENT_REQUESTS) * dailyFraction
  );
}

function createLoadReports(replicas: number, requests: number): LoadReport[] {
  return Array.from({length: replicas}, () => ({
    sequence: 0,
    running: requests / replicas,
    waiting: 0,
    slots: SLOTS_PER_REPLICA,
    waitingPromptTokens: 0,
    cacheUse: 0,
  }));
}

/** Plans all replicas on the cheapest reclaimable offer. */
function planCheapestHosts(
  demand: Demand,
  offers: readonly Offer[],
  supplies: Parameters<Planner>[2],
): HostPlan {
  const cheapestOffer = offers
    .filter(offer => offer.market === 'reclaimable')
    .filter(
      offer =>
        !supplies.some(
          supply =>
            supply.failureDomain === offer.failureDomain &&
            supply.isRefused('reclaimable'),
        ),
    )
    .sort((a, b) => a.pricePerHour - b.pricePerHour)[0];
  const count = Math.max(demand.replicas, demand.minReplicas);
  if (cheapestOffer === undefined) {
    return {
      wanted: [],
      costPerHour: 0,
      replicasAfterLoss: 0,
      shortfall: 'all failure domains refuse reclaimable hosts',
    };
  }
  const {failureDomain, machineClass, market, pricePerHour} = cheapestOffer;
  return {
    wanted: [
      {service: demand.service, failureDomain, machineClass, market, count},
    ],
    costPerHour: pricePerHour * count,
    replicasAfterLoss: 0,
    shortfall: undefined,
  };
}
