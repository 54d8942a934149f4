/**
 * Detects pauses of this process. Its state may be stale afterwards: leases may
 * have expired and peers may have declared it gone. A heartbeat that waited in
 * a socket buffer during the pause proves nothing, so only the response to a
 * request sent after the pause makes the process current again.
 */
import type {Clock} from '@skylarkfield/base';

/** Tracks whether this process may act on its state. */
export interface PauseDetector {
  isCurrent(): boolean;
  /**
   * Must be called on every timer tick. Returns the duration of a pause that
   * just ended in milliseconds, or 0.
   */
  tick(): number;
  /** Records a response to a request sent at the given monotonic time. */
  confirm(requestedAt: number): void;
  dump(): unknown;
}

/**
 * Creates a detector for a process that is initially current.
 *
 * @example
 * if (!pauseDetector.isCurrent()) { return reject(); }
 */
export function createPauseDetector(
  clock: Clock,
  thresholdMs: number,
): PauseDetector {
  let lastTickAt = clock.now();
  let staleSince: number | undefined;
  let pauses = 0;

  /** Also used between ticks: other code may run first after a pause. */
  function msSinceTick(): number {
    return clock.now() - lastTickAt;
  }

  return {
    isCurrent: () => staleSince === undefined && msSinceTick() <= thresholdMs,
    tick() {
      const gapMs = msSinceTick();
      lastTickAt = clock.now();
      if (gapMs <= thresholdMs) {
        return 0;
      }
      pauses += 1;
      staleSince = lastTickAt;
      return gapMs;
    },
    confirm(requestedAt) {
      if (staleSince !== undefined && requestedAt >= staleSince) {
        staleSince = undefined;
      }
    },
    dump: () => ({pauses, staleSince}),
  };
}
