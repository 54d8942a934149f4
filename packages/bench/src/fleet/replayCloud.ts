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
const NOTICE_MS = 30_000;
/** Mean time between waves; each reclaims one or two failure domains. */
const WAVE_INTERVAL_MS = 4 * HOUR_MS;
const SECOND_DOMAIN_CHANCE = 0.25;
/** Time for which a failure domain refuses reclaimable starts after a wave. */
const REFUSAL_MS = 40 * MINUTE_MS;
const PRICE_INTERVAL_MS = 30 * MINUTE_MS;
const ON_DEMAND_PRICE = 3;
const DOMAINS = ['a', 'b', 'c', 'd'];
export const REPLAY_MACHINE_CLASS = 'gpu';

export interface ReplayCloud {
  readonly cloud: Cloud;
  /** Returns the hosts that have finished starting and are not gone. */
  serving(): readonly Host[];
  /** Returns the cost per hour of all present hosts. */
  pricePerHour(): number;
  waves(): number;
}

interface ReplayHost {
  host: Host;
  readonly servesFromMs: number;
}

/**
 * Creates a cloud on the given clock. Waves and prices depend only on `random`,
 * so that every policy gets the same waves and prices.
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
  const refusedUntil = new Map<string, number>();
  let notify: (notice: ReclaimNotice) => void = () => {};
  let started = 0;
  let waveCount = 0;
  scheduleWave();
  schedulePriceChange();

  const cloud: Cloud = {
    offers: async () => DOMAINS.flatMap(offersOf),
    hosts: async () => present().map(item => item.host),
    async start(request) {
      const until = refusedUntil.get(request.failureDomain) ?? 0;
      if (request.market === 'reclaimable' && clock.now() < until) {
        throw new ServingError('overloaded', 'no reclaimable capacity');
      }
      const host: Host = {...request, id: `h${started++}`, state: 'running'};
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
    serving: () =>
      present()
        .filter(item => item.servesFromMs <= clock.now())
        .map(item => item.host),
    pricePerHour: () =>
      present().reduce((sum, item) => sum + priceOf(item.host), 0),
    waves: () => waveCount,
  };

  function present(): ReplayHost[] {
    return [...hosts.values()];
  }

  function drawInitialPrice(): number {
    return 0.8 + random.next() * 0.6;
  }

  function offersOf(failureDomain: string): Offer[] {
    const shared = {failureDomain, machineClass: REPLAY_MACHINE_CLASS};
    return [
      {
        ...shared,
        market: 'reclaimable',
        pricePerHour: prices.get(failureDomain)!,
      },
      {...shared, market: 'on-demand', pricePerHour: ON_DEMAND_PRICE},
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
        const drift = 0.9 + random.next() * 0.2;
        const price = prices.get(domain)! * drift;
        prices.set(domain, Math.min(2.5, Math.max(0.5, price)));
      }
      schedulePriceChange();
    });
  }

  function scheduleWave(): void {
    clock.after(random.exponential(WAVE_INTERVAL_MS), () => {
      waveCount += 1;
      const first = random.integer(0, DOMAINS.length - 1);
      reclaim(DOMAINS[first]!);
      if (random.chance(SECOND_DOMAIN_CHANCE)) {
        reclaim(DOMAINS[(first + 1) % DOMAINS.length]!);
      }
      scheduleWave();
    });
  }

  function reclaim(domain: string): void {
    refusedUntil.set(domain, clock.now() + REFUSAL_MS);
    const goneAt = clock.wall() + NOTICE_MS;
    for (const item of present()) {
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
