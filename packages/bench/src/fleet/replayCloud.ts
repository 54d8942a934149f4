/** Simulated cloud with drifting prices, waves of reclaims and refusals. */
import {
  ServingError,
  toDisposable,
  type Random,
  type VirtualClock,
} from '@skylarkfield/base';
import type {Cloud, Host, Offer, ReclaimNotice} from '@skylarkfield/providers';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
/** Time from the start of a host until its replica has loaded its weights. */
const HOST_START_MS = 3 * MINUTE_MS;
/** Time from the reclaim notice of a host until the host is gone. */
const NOTICE_MS = 30_000;
/** Mean time between waves; a wave reclaims one or two failure domains. */
const WAVE_INTERVAL_MS = 4 * HOUR_MS;
const SECOND_DOMAIN_PROBABILITY = 0.25;
/** Time for which a failure domain refuses reclaimable starts after a wave. */
const REFUSAL_MS = 40 * MINUTE_MS;
const PRICE_INTERVAL_MS = 30 * MINUTE_MS;
const ON_DEMAND_PRICE = 3;
const DOMAINS = ['a', 'b', 'c', 'd'];
export const REPLAY_MACHINE_CLASS = 'gpu';

export interface ReplayCloud {
  readonly cloud: Cloud;
  /** Returns the hosts that have finished starting and are not gone. */
  servingHosts(): readonly Host[];
  /** Returns the total price per hour of all hosts, starting hosts included. */
  pricePerHour(): number;
  waveCount(): number;
}

interface ReplayHost {
  host: Host;
  readonly servesFromMs: number;
}

/**
 * Creates a cloud on the given clock. Reclaim waves and prices depend only on
 * `random`, so that they are the same for every policy.
 *
 * @example
 * const replay = createReplayCloud(clock, seededRandom(1000));
 */
export function createReplayCloud(
  clock: VirtualClock,
  random: Random,
): ReplayCloud {
  const hosts = new Map<string, ReplayHost>();
  const prices = new Map(DOMAINS.map(domain => [domain, drawInitialPrice()]));
  const refusedUntilMs = new Map<string, number>();
  let notify: (notice: ReclaimNotice) => void = () => {};
  let startedCount = 0;
  let waveCount = 0;
  scheduleWave();
  schedulePriceChange();

  const cloud: Cloud = {
    listOffers: async () => DOMAINS.flatMap(offersOf),
    listHosts: async () => presentHosts().map(item => item.host),
    async start(request) {
      const untilMs = refusedUntilMs.get(request.failureDomain) ?? 0;
      if (request.market === 'reclaimable' && clock.now() < untilMs) {
        throw new ServingError(
          'overloaded',
          'failure domain has no reclaimable capacity',
        );
      }
      const host: Host = {
        ...request,
        id: `h${startedCount++}`,
        state: 'running',
      };
      hosts.set(host.id, {host, servesFromMs: clock.now() + HOST_START_MS});
      return host;
    },
    async stop(id) {
      hosts.delete(id);
    },
    watchNotices(listener) {
      notify = listener;
      return toDisposable(() => (notify = () => {}));
    },
  };

  return {
    cloud,
    servingHosts: () =>
      presentHosts()
        .filter(item => item.servesFromMs <= clock.now())
        .map(item => item.host),
    pricePerHour: () =>
      presentHosts().reduce((sum, item) => sum + priceOf(item.host), 0),
    waveCount: () => waveCount,
  };

  function presentHosts(): ReplayHost[] {
    return [...hosts.values()];
  }

  function drawInitialPrice(): number {
    return 0.8 + random.next() * 0.6;
  }

  function offersOf(failureDomain: string): Offer[] {
    const commonFields = {failureDomain, machineClass: REPLAY_MACHINE_CLASS};
    return [
      {
        ...commonFields,
        market: 'reclaimable',
        pricePerHour: prices.get(failureDomain)!,
      },
      {...commonFields, market: 'on-demand', pricePerHour: ON_DEMAND_PRICE},
    ];
  }

  function priceOf(host: Host): number {
    return host.market === 'on-demand'
      ? ON_DEMAND_PRICE
      : prices.get(host.failureDomain)!;
  }

  function schedulePriceChange(): void {
    clock.after(PRICE_INTERVAL_MS, () => {
      for (const domain of DOMAINS) {
        const driftFactor = 0.9 + random.next() * 0.2;
        const price = prices.get(domain)! * driftFactor;
        prices.set(domain, Math.min(2.5, Math.max(0.5, price)));
      }
      schedulePriceChange();
    });
  }

  function scheduleWave(): void {
    clock.after(random.exponential(WAVE_INTERVAL_MS), () => {
      waveCount += 1;
      const firstIndex = random.integer(0, DOMAINS.length - 1);
      reclaimDomain(DOMAINS[firstIndex]!);
      if (random.chance(SECOND_DOMAIN_PROBABILITY)) {
        reclaimDomain(DOMAINS[(firstIndex + 1) % DOMAINS.length]!);
      }
      scheduleWave();
    });
  }

  function reclaimDomain(domain: string): void {
    refusedUntilMs.set(domain, clock.now() + REFUSAL_MS);
    const goneAt = clock.wall() + NOTICE_MS;
    for (const item of presentHosts()) {
      const {host} = item;
      if (host.failureDomain !== domain || host.market !== 'reclaimable') {
        continue;
      }
      item.host = {...host, state: 'leaving', goneAt};
      clock.after(NOTICE_MS, () => hosts.delete(host.id));
      notify({host: host.id, goneAt});
    }
  }
}
