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
  dump(): unknown;
}

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;

const NO_TIME: RouteTime = {firstMs: 0, holdMs: 0};

/**
 * Creates the times of one service, without samples.
 *
 * @example
 * const times = createRouteTimes();
 * times.record('lookup', 'firstMs', 60, 1);
 */
export function createRouteTimes(): RouteTimes {
  const timesByRoute = new Map<string, RouteTime>();
  return {
    record(route, name, timeMs, slowness) {
      const sample = timeMs / slowness;
      const times = timesByRoute.get(route) ?? NO_TIME;
      const mean = times[name] === 0 ? sample : times[name];
      timesByRoute.set(route, {
        ...times,
        [name]: mean + (sample - mean) * SAMPLE_WEIGHT,
      });
    },
    timeOf: route => timesByRoute.get(route) ?? NO_TIME,
    dump: () => Object.fromEntries(timesByRoute),
  };
}
