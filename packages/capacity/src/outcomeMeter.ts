/**
 * Measures the fraction of late requests by service.
 *
 * The estimate of engine speed may be wrong, and only request outcomes show it:
 * first events are late, requests are rejected or fail.
 */
import type {Clock} from '@skylarkfield/base';

/** Exponentially decayed counts of recent requests. */
export interface OutcomeCounts {
  readonly count: number;
  readonly late: number;
}

export interface OutcomeMeter {
  record(service: string, isLate: boolean): void;
  counts(): Readonly<Record<string, OutcomeCounts>>;
}

/** Half-life in milliseconds, about the time an endpoint takes to start. */
const HALF_LIFE_MS = 2_000;

/**
 * Creates a meter without counts.
 *
 * @example
 * outcomes.record('chat', firstMs > route.goalMs);
 */
export function createOutcomeMeter(clock: Clock): OutcomeMeter {
  const services = new Map<string, OutcomeCounts & {readonly at: number}>();

  function decayed(service: string): OutcomeCounts {
    const {count, late, at} = services.get(service) ?? {
      count: 0,
      late: 0,
      at: clock.now(),
    };
    const factor = 2 ** ((at - clock.now()) / HALF_LIFE_MS);
    return {count: count * factor, late: late * factor};
  }

  return {
    record(service, isLate) {
      const {count, late} = decayed(service);
      services.set(service, {
        count: count + 1,
        late: late + (isLate ? 1 : 0),
        at: clock.now(),
      });
    },
    counts: () =>
      Object.fromEntries(
        [...services.keys()].map(name => [name, decayed(name)]),
      ),
  };
}

/** Minimum number of requests for a meaningful fraction. */
const MIN_COUNT = 8;

/**
 * Returns the fraction of late requests, 0 for too few requests.
 *
 * @example
 * const fraction = lateRequestFraction([own.chat, ...peers]);
 */
export function lateRequestFraction(parts: readonly OutcomeCounts[]): number {
  const count = parts.reduce((sum, part) => sum + part.count, 0);
  const late = parts.reduce((sum, part) => sum + part.late, 0);
  return count < MIN_COUNT ? 0 : late / count;
}
