/** Times that the requests of each route take at an endpoint. */

/** Mean times of a route, in milliseconds; 0 before the first request. */
export interface RouteTime {
  /** From the placement to the first byte or event. */
  readonly firstMs: number;
  /** From the placement to the end, for which a slot is taken. */
  readonly holdMs: number;
}

export interface RouteTimes {
  /**
   * Records one of the times of a successful request; `slowness` is that of its
   * endpoint, by which the time is divided.
   */
  record(
    route: string,
    name: keyof RouteTime,
    timeMs: number,
    slowness: number,
  ): void;
  /** Returns the times at an endpoint of usual speed. */
  timeOf(route: string): RouteTime;
  /**
   * Returns the same, with the mean of the other routes or a default in place of
   * times that are not known yet.
   */
  estimateOf(route: string): RouteTime;
  dump(): unknown;
}

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;

const NO_TIME: RouteTime = {firstMs: 0, holdMs: 0};

/**
 * Times while no route is known. Requests that cost nothing would all be told to
 * return at the same time.
 */
const DEFAULT_TIME: RouteTime = {firstMs: 0, holdMs: 50};

/**
 * Creates the times of one service, without samples.
 *
 * @example
 * const times = createRouteTimes();
 * times.record('lookup', 'firstMs', 60, 1);
 */
export function createRouteTimes(): RouteTimes {
  const timesByRoute = new Map<string, RouteTime>();
  const timeOf = (route: string) => timesByRoute.get(route) ?? NO_TIME;

  /** Returns the mean of the routes for which a time is known. */
  function meanOf(name: keyof RouteTime): number | undefined {
    let sum = 0;
    let count = 0;
    for (const times of timesByRoute.values()) {
      sum += times[name];
      count += times[name] > 0 ? 1 : 0;
    }
    return count === 0 ? undefined : sum / count;
  }

  const estimate = (name: keyof RouteTime, knownMs: number) =>
    knownMs > 0 ? knownMs : (meanOf(name) ?? DEFAULT_TIME[name]);

  return {
    record(route, name, timeMs, slowness) {
      const sample = timeMs / slowness;
      const times = timeOf(route);
      const mean = times[name] === 0 ? sample : times[name];
      timesByRoute.set(route, {
        ...times,
        [name]: mean + (sample - mean) * SAMPLE_WEIGHT,
      });
    },
    timeOf,
    estimateOf(route) {
      const {firstMs, holdMs} = timeOf(route);
      return {
        firstMs: estimate('firstMs', firstMs),
        holdMs: estimate('holdMs', holdMs),
      };
    },
    dump: () => Object.fromEntries(timesByRoute),
  };
}
