/** Plays a day of load and reclaims against the fleet duty, without a network. */
import {
  createSilentLogger,
  createVirtualClock,
  type Clock,
} from '@skylarkfield/base';
import type {EngineEstimate, WorkRate} from '@skylarkfield/capacity';
import {
  countEndpointsForSlots,
  createWorkMeter,
  estimateSlotDemand,
  planningKindOf,
  scaleWork,
  workMs,
  ZERO_WORK,
  type FleetConfig,
  type RegisteredEndpoint,
} from '@skylarkfield/traffic';
import type {EndpointOrder, PlatformCallResult} from '../../contracts.js';
import type {EndpointDirectory} from '../../endpoints/endpointDirectory.js';
import {startFleetDuty} from '../fleetDuty.js';

/** Reclaim of all reclaimable endpoints of a failure domain. */
export interface Reclaim {
  readonly atMs: number;
  readonly domain: string;
}

export interface DayPlay {
  readonly slots: number;
  /** Whether the signals include the slots in use. */
  readonly countsSlots: boolean;
  readonly lengthMs: number;
  /** Load without waves and bursts, relative to the full load. */
  readonly load: number;
  readonly reclaims: readonly Reclaim[];
  /**
   * Whether endpoints that are removed by an order are registered as draining
   * until their requests have ended.
   */
  readonly showsRemovals: boolean;
  /** Returns the fraction of late requests at a time. */
  latePartAt(atMs: number): number;
}

export interface DayResult {
  /** Paid engine-seconds, weighted by price. */
  readonly cost: number;
  /** Engine-seconds that ready endpoints lacked for `SERVED_FILL`. */
  readonly shortSeconds: number;
  /** Time in milliseconds in which ready endpoints were too few. */
  readonly shortMs: number;
  /** On-demand and reclaimable endpoints paid for, every second. */
  readonly counts: readonly string[];
}

const PRICES: Readonly<Record<string, number>> = {
  a: 1,
  b: 0.8,
  c: 1.25,
  d: 0.9,
};
const FLEET: FleetConfig = {
  least: 1,
  most: 56,
  bootMs: 4_000,
  reclaimablePrice: 0.22,
  prices: PRICES,
};
const INITIAL_ENDPOINTS = 78;
const BOOT_MS = 4_000;
const NOTICE_MS = 2_500;
/** Time for which a domain offers no reclaimable endpoints after a reclaim. */
const OUTAGE_MS = 13_000;
/** Time that a removed endpoint is paid for, to end its requests. */
const DRAIN_MS = 1_500;
export const TRAFFIC_START_MS = 16_000;
/** Time from the first request until the engine estimate is confident. */
const LEARNING_MS = 3_000;
const TICK_MS = 100;
/** Slot fill up to which requests rarely wait for a slot. */
const SERVED_FILL = 0.85;

/** Work per second at full load: long reports, chats and tags. */
const FULL_WORK: WorkRate = {
  ...ZERO_WORK,
  ownTokens: 1_240_000,
  answerTokens: 65_800,
};
/** Mean engine, a third of the fleet slower by 1.3. */
const ESTIMATE = {
  promptTokenMs: 0.0088,
  pairsMs: 0,
  rereadTokenMs: 0,
  stepMs: 4.1,
  requestStepMs: 0.088,
  contextStepMs: 0,
  isSure: true,
} as EngineEstimate;
const UTILIZATION = {usual: 0.39, brief: 0.45};

/** Waves of 40 s and bursts of 1.6 times the load for 3.5 s. */
function loadAt(atMs: number): number {
  const sinceMs = atMs - TRAFFIC_START_MS;
  if (sinceMs < 0) {
    return 0;
  }
  const wave = 1 + 0.3 * Math.sin((2 * Math.PI * sinceMs) / 40_000);
  return wave * (sinceMs % 12_000 >= 8_500 ? 1.6 : 1);
}

interface PaidEndpoint extends Omit<RegisteredEndpoint, 'state'> {
  readonly readyAtMs: number;
  drainingSinceMs: number;
  endsAtMs: number;
  isHidden: boolean;
}

/** Endpoints that follow orders, and reclaims. */
function createMarket(
  clock: Clock,
  {slots, showsRemovals}: Pick<DayPlay, 'slots' | 'showsRemovals'>,
) {
  let endpoints: PaidEndpoint[] = [];
  const outageEndsAt = new Map<string, number>();
  let nextId = 0;

  function start(
    failureDomain: string,
    isReclaimable: boolean,
    bootMs: number,
  ) {
    const id = `${failureDomain}${nextId++}`;
    endpoints.push({
      id,
      bornAt: clock.now(),
      service: 'chat',
      address: `${id}:1`,
      failureDomain,
      version: 'v1',
      slots,
      isReclaimable,
      readyAtMs: clock.now() + bootMs,
      drainingSinceMs: Infinity,
      endsAtMs: Infinity,
      isHidden: false,
    });
  }

  function end(endpoint: PaidEndpoint, afterMs: number): void {
    endpoint.drainingSinceMs = clock.now();
    endpoint.endsAtMs = clock.now() + afterMs;
  }

  function staying(domain: string, isReclaimable: boolean) {
    return endpoints.filter(
      endpoint =>
        endpoint.failureDomain === domain &&
        endpoint.isReclaimable === isReclaimable &&
        endpoint.drainingSinceMs === Infinity,
    );
  }

  for (let index = 0; index < INITIAL_ENDPOINTS; index++) {
    start(Object.keys(PRICES)[index % 4]!, false, 0);
  }
  return {
    paid: () => endpoints,
    removeEnded() {
      endpoints = endpoints.filter(({endsAtMs}) => endsAtMs > clock.now());
    },
    registered: (): RegisteredEndpoint[] =>
      endpoints
        .filter(
          ({readyAtMs, isHidden}) => readyAtMs <= clock.now() && !isHidden,
        )
        .map(({drainingSinceMs, ...endpoint}) => ({
          ...endpoint,
          state: drainingSinceMs <= clock.now() ? 'draining' : 'ready',
        })),
    reclaim(domain: string) {
      outageEndsAt.set(domain, clock.now() + OUTAGE_MS);
      staying(domain, true).forEach(endpoint => end(endpoint, NOTICE_MS));
    },
    order({failureDomain, isReclaimable, count}: EndpointOrder) {
      const present = staying(failureDomain, isReclaimable);
      const isOut = (outageEndsAt.get(failureDomain) ?? 0) > clock.now();
      if (isReclaimable && isOut && count > present.length) {
        return 'unavailable';
      }
      for (const endpoint of present.slice(count)) {
        end(endpoint, DRAIN_MS);
        endpoint.isHidden = !showsRemovals;
      }
      const room = FLEET.most - staying(failureDomain, !isReclaimable).length;
      for (let n = present.length; n < Math.min(count, room); n++) {
        start(failureDomain, isReclaimable, BOOT_MS);
      }
      return 'accepted';
    },
  };
}

/**
 * Plays a day and returns what was paid for and what was missing.
 *
 * @example
 * const {cost} = await playDay({slots: 12, countsSlots: true, lengthMs: 52_000,
 *   load: 1, showsRemovals: true, reclaims: [], latePartAt: () => 0});
 */
export async function playDay(play: DayPlay): Promise<DayResult> {
  const clock = createVirtualClock();
  const market = createMarket(clock, play);
  const meter = createWorkMeter(clock);
  const duty = startFleetDuty({
    term: {
      fencing: 1,
      signal: new AbortController().signal,
      isValid: () => true,
    } as never,
    holder: 'e1',
    orders: {
      reportUsage: async () => 'accepted',
      orderEndpoints: async (_, order): Promise<PlatformCallResult> =>
        market.order(order),
    },
    directory: {
      isDrained: () => false,
      endpointsOf: market.registered,
    } as unknown as EndpointDirectory,
    services: () => [
      {
        name: 'chat',
        mostConnections: 100,
        engine: {slots: play.slots, memoryTokens: 1e6, tokensPerEvent: 10},
        fleet: FLEET,
      },
    ],
    planningKind: service => planningKindOf(service, 12),
    demandSignals() {
      const work = meter.rates()['chat'] ?? ZERO_WORK;
      const isSure = clock.now() >= TRAFFIC_START_MS + LEARNING_MS;
      return {
        workRate: workMs(work, ESTIMATE),
        use: UTILIZATION,
        slotDemand:
          isSure && play.countsSlots
            ? estimateSlotDemand(work, ESTIMATE, 12)
            : undefined,
        latePart: play.latePartAt(clock.now()),
        isSure,
      };
    },
    clock,
    log: createSilentLogger(),
  });
  let cost = 0;
  let shortSeconds = 0;
  let shortMs = 0;
  const counts: string[] = [];
  for (let atMs = 0; atMs < play.lengthMs; atMs += TICK_MS) {
    for (const {domain} of play.reclaims.filter(r => r.atMs === atMs)) {
      market.reclaim(domain);
    }
    const load = play.load * loadAt(atMs);
    const demand = estimateSlotDemand(
      scaleWork(FULL_WORK, load),
      ESTIMATE,
      12,
    )!;
    const needed = load > 0 ? countEndpointsForSlots(demand, SERVED_FILL) : 0;
    const readyCount = market
      .registered()
      .filter(({state}) => state === 'ready').length;
    shortSeconds += (Math.max(0, needed - readyCount) * TICK_MS) / 1_000;
    shortMs += needed > readyCount ? TICK_MS : 0;
    for (const {failureDomain, isReclaimable} of market.paid()) {
      cost +=
        (PRICES[failureDomain]! * (isReclaimable ? 0.22 : 1) * TICK_MS) / 1_000;
    }
    if (atMs % 1_000 === 0) {
      const cheap = market.paid().filter(e => e.isReclaimable).length;
      counts.push(`${market.paid().length - cheap}+${cheap}`);
    }
    meter.record('chat', scaleWork(FULL_WORK, (load * TICK_MS) / 1_000));
    await clock.advance(TICK_MS);
    market.removeEnded();
  }
  duty.dispose();
  return {cost, shortSeconds, shortMs, counts};
}
