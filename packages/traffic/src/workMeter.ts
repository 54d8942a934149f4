/** Measures the smoothed rate of arriving work by service. */
import type {Clock} from '@skylarkfield/base';
import type {WorkRate} from '@skylarkfield/capacity';
import {addWork, ZERO_WORK, scaleWork} from './engineWork.js';

/** Smoothed rate of arriving work by service. */
export interface WorkMeter {
  /** Records an amount of work that has arrived. */
  record(service: string, work: WorkRate): void;
  /** Returns the work per second by service. */
  rates(): Readonly<Record<string, WorkRate>>;
}

/**
 * Half-life of the exponential decay. Requests arrive in bursts, and endpoints
 * take seconds to start: endpoints requested for one burst would be ready only
 * after the burst.
 */
const HALF_LIFE_MS = 4_000;
const SECOND_MS = 1_000;

/** Sum of work that decays from `updatedAtMs` (monotonic) on. */
interface DecayingSum {
  work: WorkRate;
  updatedAtMs: number;
}

/**
 * Creates a meter without recorded work. It measures work in tokens, not in
 * engine time, because the estimate of engine speed may change after the work
 * has arrived.
 *
 * @example
 * meter.record('chat', promptWork(demand));
 * const {chat} = meter.rates();
 */
export function createWorkMeter(clock: Clock): WorkMeter {
  const sums = new Map<string, DecayingSum>();

  function decayWork({work, updatedAtMs}: DecayingSum): WorkRate {
    return scaleWork(work, 2 ** ((updatedAtMs - clock.now()) / HALF_LIFE_MS));
  }

  return {
    record(service, work) {
      const sum = sums.get(service) ?? {
        work: ZERO_WORK,
        updatedAtMs: clock.now(),
      };
      sum.work = addWork(decayWork(sum), work);
      sum.updatedAtMs = clock.now();
      sums.set(service, sum);
    },
    rates() {
      const perSecond = (Math.LN2 * SECOND_MS) / HALF_LIFE_MS;
      return Object.fromEntries(
        [...sums].map(([service, sum]) => [
          service,
          scaleWork(decayWork(sum), perSecond),
        ]),
      );
    },
  };
}
