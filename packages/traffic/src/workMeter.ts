/** Work that comes in, as a smoothed rate. */
import type {Clock} from '@skylarkfield/base';

export interface WorkMeter {
  note(service: string, workMs: number): void;
  /** Milliseconds of engine time a second, by service. */
  rates(): Readonly<Record<string, number>>;
}

/**
 * Half of what came in this long ago still counts. Callers come in clumps, and
 * a replica takes seconds to start: following each clump would order replicas
 * that are there when it is over.
 */
const HALF_LIFE_MS = 4_000;
const SECOND_MS = 1_000;

interface Rate {
  sum: number;
  at: number;
}

/**
 * Makes a meter at zero.
 *
 * @example
 * meter.note('chat', promptWorkMs(demand, speed));
 * const {chat} = meter.rates();
 */
export function createWorkMeter(clock: Clock): WorkMeter {
  const rates = new Map<string, Rate>();

  function decayed(rate: Rate): number {
    return rate.sum * 2 ** ((rate.at - clock.now()) / HALF_LIFE_MS);
  }

  return {
    note(service, workMs) {
      const rate = rates.get(service) ?? {sum: 0, at: clock.now()};
      rate.sum = decayed(rate) + workMs;
      rate.at = clock.now();
      rates.set(service, rate);
    },
    rates() {
      const perSecond = (Math.LN2 * SECOND_MS) / HALF_LIFE_MS;
      return Object.fromEntries(
        [...rates].map(([service, rate]) => [
          service,
          Math.round(decayed(rate) * perSecond),
        ]),
      );
    },
  };
}
