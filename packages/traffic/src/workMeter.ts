/** Smoothed rate of arriving work. */
import type {Clock} from '@skylarkfield/base';
import type {WorkRate} from '@skylarkfield/capacity';
import {addWork, ZERO_WORK, scaleWork} from './engineWork.js';

export interface WorkMeter {
  record(service: string, work: WorkRate): void;
  /** Returns the work per second by service. */
  rates(): Readonly<Record<string, WorkRate>>;
}

/**
 * Half-life of the exponential decay. Requests arrive in bursts, and endpoints
 * take seconds to start: following each burst would order endpoints that are
 * ready only after the burst.
 */
const HALF_LIFE_MS = 4_000;
const SECOND_MS = 1_000;

interface DecayingSum {
  work: WorkRate;
  at: number;
}

/**
 * Creates a meter at zero. It counts tokens, not engine time: the estimate of
 * engine speed may change after the work has arrived.
 *
 * @example
 * meter.record('chat', promptWork(demand));
 * const {chat} = meter.rates();
 */
export function createWorkMeter(clock: Clock): WorkMeter {
  const sums = new Map<string, DecayingSum>();

  function decayed({work, at}: DecayingSum): WorkRate {
    return scaleWork(work, 2 ** ((at - clock.now()) / HALF_LIFE_MS));
  }

  return {
    record(service, work) {
      const sum = sums.get(service) ?? {work: ZERO_WORK, at: clock.now()};
      sum.work = addWork(decayed(sum), work);
      sum.at = clock.now();
      sums.set(service, sum);
    },
    rates() {
      const perSecond = (Math.LN2 * SECOND_MS) / HALF_LIFE_MS;
      return Object.fromEntries(
        [...sums].map(([service, sum]) => [
          service,
          scaleWork(decayed(sum), perSecond),
        ]),
      );
    },
  };
}
