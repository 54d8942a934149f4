/**
 * Measures the fraction of late requests by service.
 *
 * The estimate of engine speed may be wrong. Only request outcomes show an
 * overestimate: first events are late, requests are rejected or fail.
 */
import type {Clock} from '@skylarkfield/base';

/** Exponentially decayed counts of recent requests. */
export interface OutcomeCounts {
  readonly count: number;
  /** Requests that were late, rejected or failed; included in `count`. */
  readonly late: number;
}

export interface OutcomeMeter {
  /** Records a request; `isLate` also covers rejected and failed requests. */
  record(service: string, isLate: boolean): void;
  /** Returns the counts by service. */
  counts(): Readonly<Record<string, OutcomeCounts>>;
}

/** Half-life of counts in ms, about the time an endpoint takes to start. */
const HALF_LIFE_MS = 2_000;

/**
 * Creates a meter without counts.
 *
 * @example
 * outcomes.record('chat', firstMs > route.goalMs);
 */
export function createOutcomeMeter(clock: Clock): OutcomeMeter {
  const countsByService = new Map<
    string,
    OutcomeCounts & {readonly updatedAtMs: number}
  >();

  function decayedCounts(service: string): OutcomeCounts {
    const {count, late, updatedAtMs} = countsByService.get(service) ?? {
      count: 0,
      late: 0,
      updatedAtMs: clock.now(),
    };
    const factor = 2 ** ((updatedAtMs - clock.now()) / HALF_LIFE_MS);
    return {count: count * factor, late: late * factor};
  }

  return {
    record(service, isLate) {
      const {count, late} = decayedCounts(service);
      countsByService.set(service, {
        count: count + 1,
        late: late + (isLate ? 1 : 0),
        updatedAtMs: clock.now(),
      });
    },
    counts: () =>
      Object.fromEntries(
        [...countsByService.keys()].map(name => [name, decayedCounts(name)]),
      ),
  };
}

/** Minimum number of requests for a meaningful fraction of late requests. */
const MIN_COUNT = 8;

/**
 * Returns the fraction of late requests over all entries; 0 for fewer than
 * `MIN_COUNT` requests.
 *
 * @example
 * const fraction = lateRequestFraction([meter.counts().chat, ...peerCounts]);
 */
export function lateRequestFraction(
  entryCounts: readonly OutcomeCounts[],
): number {
  const count = entryCounts.reduce((sum, counts) => sum + counts.count, 0);
  const lateCount = entryCounts.reduce((sum, counts) => sum + counts.late, 0);
  return count < MIN_COUNT ? 0 : lateCount / count;
}
