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
 * Creates the record of one entry. The suspects that were not served for
 * longest are forgotten first.
 *
 * @example
 * servedSuspects.record(['part m/5c1e'], clock.wall());
 * servedSuspects.timesOf(['part m/5c1e', 'part m/91bd']); // {'part m/5c1e': …}
 */
export function createServedSuspects(
  maxSuspects = MAX_SUSPECTS,
): ServedSuspects {
  /** Ascending by time: a suspect that is served again moves to the end. */
  const timesBySuspect = new Map<string, number>();

  return {
    record(suspects, wallMs) {
      for (const suspect of suspects) {
        timesBySuspect.delete(suspect);
        timesBySuspect.set(suspect, Math.round(wallMs));
      }
      while (timesBySuspect.size > maxSuspects) {
        const [oldestSuspect] = timesBySuspect.keys();
        timesBySuspect.delete(oldestSuspect!);
      }
    },
    timesOf(suspects) {
      const times: Record<string, number> = {};
      for (const suspect of suspects) {
        const wallMs = timesBySuspect.get(suspect);
        if (wallMs !== undefined) {
          times[suspect] = wallMs;
        }
      }
      return times;
    },
  };
}
