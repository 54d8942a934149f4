/**
 * Detects pauses of this process. After a pause the state of the process may be
 * stale: leases may have expired and peers may have declared it gone. A
 * heartbeat that waited in a socket buffer during the pause proves nothing, so
 * only the response to a request sent after the pause makes the process current
 * again.
 */
import type {Clock} from '@skylarkfield/base';

/** Tracks whether this process may act on its state. */
export interface PauseDetector {
  /** Returns false after a pause until a response has been recorded. */
  isCurrent(): boolean;
  /**
   * Must be called on every timer tick. Returns the duration of a pause that
   * just ended in milliseconds, or 0.
   */
  tick(): number;
  /** Records a response to a request sent at the given monotonic time. */
  recordResponse(requestedAt: number): void;
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
  /** Monotonic milliseconds at which the last pause was detected. */
  let staleSince: number | undefined;
  let pauses = 0;

  /**
   * Returns the time since the last tick. Also called between ticks, as other
   * code may run before the next tick after a pause.
   */
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
    recordResponse(requestedAt) {
      if (staleSince !== undefined && requestedAt >= staleSince) {
        staleSince = undefined;
      }
    },
    dump: () => ({pauses, staleSince}),
  };
}
