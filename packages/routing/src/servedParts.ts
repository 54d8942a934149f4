/** When an entry last received a complete response to each prompt part. */

export interface ServedParts {
  /** Records a complete response, in wall-clock milliseconds. */
  record(parts: readonly string[], wallMs: number): void;
  /** Returns the times of the last complete responses to those parts. */
  timesOf(parts: readonly string[]): Record<string, number>;
}

/** Maximum number of parts; callers choose them, so they are endless. */
const MAX_PARTS = 10_000;

/**
 * Creates the record of one entry. The parts that were not served for longest
 * are forgotten first.
 *
 * @example
 * servedParts.record(['part m/5c1e'], clock.wall());
 * servedParts.timesOf(['part m/5c1e', 'part m/91bd']); // {'part m/5c1e': …}
 */
export function createServedParts(maxParts = MAX_PARTS): ServedParts {
  /** Ascending by time: a part that is served again moves to the end. */
  const timesByPart = new Map<string, number>();

  return {
    record(parts, wallMs) {
      for (const part of parts) {
        timesByPart.delete(part);
        timesByPart.set(part, Math.round(wallMs));
      }
      while (timesByPart.size > maxParts) {
        const [oldestPart] = timesByPart.keys();
        timesByPart.delete(oldestPart!);
      }
    },
    timesOf(parts) {
      const times: Record<string, number> = {};
      for (const part of parts) {
        const wallMs = timesByPart.get(part);
        if (wallMs !== undefined) {
          times[part] = wallMs;
        }
      }
      return times;
    },
  };
}
