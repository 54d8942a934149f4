/** Work that comes in, as a smoothed rate. */
import type {Clock} from '@skylarkfield/base';
import type {WorkRate} from '@skylarkfield/capacity';
import {addWork, NO_WORK, scaleWork} from './engineWork.js';

export interface WorkMeter {
  note(service: string, work: WorkRate): void;
  /** Work a second, by service. */
  rates(): Readonly<Record<string, WorkRate>>;
}

/**
 * Half of what came in this long ago still counts. Callers come in clumps, and
 * a replica takes seconds to start: following each clump would order replicas
 * that are there when it is over.
 */
const HALF_LIFE_MS = 4_000;
const SECOND_MS = 1_000;

interface Sum {
  work: WorkRate;
  at: number;
}

/**
 * Makes a meter at zero. It counts tokens, not their time: what is believed of
 * engines may change after the work has come.
 *
 * @example
 * meter.note('chat', promptWork(demand));
 * const {chat} = meter.rates();
 */
export function createWorkMeter(clock: Clock): WorkMeter {
  const sums = new Map<string, Sum>();

  function decayed({work, at}: Sum): WorkRate {
    return scaleWork(work, 2 ** ((at - clock.now()) / HALF_LIFE_MS));
  }

  return {
    note(service, work) {
      const sum = sums.get(service) ?? {work: NO_WORK, at: clock.now()};
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
