/** When an entry last received a complete response to each possible suspect. */

export interface ServedSuspects {
  /** Records a complete response, in wall-clock milliseconds. */
  record(suspects: readonly string[], wallMs: number): void;
  /** Returns the times of the last complete responses to those suspects. */
  timesOf(suspects: readonly string[]): Record<string, number>;
}

/** Maximum number of suspects; callers choose them, so they are endless. */
const MAX_SUSPECTS = 10_000;

/**
 * Creates the record of one entry. At the maximum, the suspects that were not
 * served for longest are forgotten, half of them at once.
 *
 * @example
 * servedSuspects.record(['part m/5c1e'], clock.wall());
 * servedSuspects.timesOf(['part m/5c1e', 'part m/91bd']); // {'part m/5c1e': …}
 */
export function createServedSuspects(
  maxSuspects = MAX_SUSPECTS,
): ServedSuspects {
  let recentTimes = new Map<string, number>();
  let earlierTimes: ReadonlyMap<string, number> = new Map();

  return {
    record(suspects, wallMs) {
      const servedAtMs = Math.round(wallMs);
      suspects.forEach(suspect => recentTimes.set(suspect, servedAtMs));
      if (recentTimes.size >= maxSuspects / 2) {
        earlierTimes = recentTimes;
        recentTimes = new Map();
      }
    },
    timesOf(suspects) {
      const times: Record<string, number> = {};
      for (const suspect of suspects) {
        const servedAtMs =
          recentTimes.get(suspect) ?? earlierTimes.get(suspect);
        if (servedAtMs !== undefined) {
          times[suspect] = servedAtMs;
        }
      }
      return times;
    },
  };
}
