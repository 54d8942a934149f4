/** What has been seen of each failure domain: reclaims and refused starts. */
import type {Clock, Random} from '@skylarkfield/base';
import type {Host, Market, Supply} from './contracts.js';

const HOUR_MS = 3_600_000;
/** Time after which what was seen counts half, in milliseconds. */
const HALF_LIFE_MS = 6 * HOUR_MS;
/** Reclaims per host and hour assumed before anything was seen. */
const PRIOR_RATE = 0.02;
/** Host hours that the prior weighs. */
const PRIOR_HOURS = 20;
const FIRST_BACKOFF_MS = 5_000;
const LONGEST_BACKOFF_MS = 300_000;

export interface Supplies {
  /** Notes the hosts there are; called every round. */
  observe(hosts: readonly Host[]): void;
  noteReclaim(failureDomain: string, machineClass: string): void;
  noteRefusal(
    failureDomain: string,
    machineClass: string,
    market: Market,
  ): void;
  noteStart(failureDomain: string, machineClass: string, market: Market): void;
  list(): readonly Supply[];
}

interface Observed {
  readonly failureDomain: string;
  readonly machineClass: string;
  hostHours: number;
  reclaims: number;
  readonly refusals: Map<Market, {count: number; untilMs: number}>;
}

/**
 * Makes a record of what the cloud does, per failure domain and machine class.
 *
 * A refused start makes the place unusable for a while that doubles with each
 * refusal: asking again at once would use up calls while the hosts could be
 * started elsewhere.
 *
 * @example
 * const supplies = createSupplies({clock, random});
 * supplies.noteRefusal('a', 'gpu-small', 'reclaimable');
 */
export function createSupplies(options: {
  readonly clock: Clock;
  readonly random: Random;
}): Supplies {
  const {clock, random} = options;
  const seen = new Map<string, Observed>();
  let observedAt = clock.now();

  function of(failureDomain: string, machineClass: string): Observed {
    const key = `${failureDomain}/${machineClass}`;
    const item = seen.get(key) ?? {
      failureDomain,
      machineClass,
      hostHours: PRIOR_HOURS,
      reclaims: PRIOR_RATE * PRIOR_HOURS,
      refusals: new Map(),
    };
    seen.set(key, item);
    return item;
  }

  function decay(elapsedMs: number): void {
    const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    for (const item of seen.values()) {
      const prior = PRIOR_HOURS * (1 - kept);
      item.hostHours = item.hostHours * kept + prior;
      item.reclaims = item.reclaims * kept + prior * PRIOR_RATE;
    }
  }

  return {
    observe(hosts) {
      const elapsedMs = clock.now() - observedAt;
      observedAt = clock.now();
      decay(elapsedMs);
      for (const host of hosts) {
        if (host.market === 'reclaimable' && host.state === 'running') {
          of(host.failureDomain, host.machineClass).hostHours +=
            elapsedMs / HOUR_MS;
        }
      }
    },
    noteReclaim(failureDomain, machineClass) {
      of(failureDomain, machineClass).reclaims += 1;
    },
    noteRefusal(failureDomain, machineClass, market) {
      const {refusals} = of(failureDomain, machineClass);
      const count = (refusals.get(market)?.count ?? 0) + 1;
      const span = Math.min(
        LONGEST_BACKOFF_MS,
        FIRST_BACKOFF_MS * 2 ** (count - 1),
      );
      // Several services ask for the same place; jitter keeps them apart.
      const untilMs = clock.now() + span * (0.75 + random.next() / 2);
      refusals.set(market, {count, untilMs});
    },
    noteStart(failureDomain, machineClass, market) {
      of(failureDomain, machineClass).refusals.delete(market);
    },
    list: () =>
      [...seen.values()].map(item => ({
        failureDomain: item.failureDomain,
        machineClass: item.machineClass,
        reclaimRate: item.reclaims / item.hostHours,
        isRefused: market =>
          (item.refusals.get(market)?.untilMs ?? 0) > clock.now(),
      })),
  };
}
