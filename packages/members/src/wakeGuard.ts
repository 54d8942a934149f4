/**
 * Notices that this process was paused. What it believed before may be wrong by
 * then: its leases may have lapsed and others may have counted it as gone. A
 * heartbeat that waited in a socket during the pause proves nothing, so only an
 * answer to a question asked after waking makes the process current again.
 */
import type {Clock} from '@skylarkfield/base';

/** Tells whether this process may act on what it believes. */
export interface WakeGuard {
  isCurrent(): boolean;
  /** Call it with every timer run; returns the length of a pause that just ended, or 0. */
  tick(): number;
  /** Notes that something answered a question asked at the given monotonic time. */
  confirm(askedAt: number): void;
  dump(): unknown;
}

/**
 * Makes a guard for a process that is current at first.
 *
 * @example
 * if (!guard.isCurrent()) { return refuse(); }
 */
export function createWakeGuard(clock: Clock, pauseMs: number): WakeGuard {
  let tickedAt = clock.now();
  let staleSince: number | undefined;
  let pauses = 0;

  /** Also called between timers: what runs first after a pause must see it. */
  function gap(): number {
    return clock.now() - tickedAt;
  }

  return {
    isCurrent: () => staleSince === undefined && gap() <= pauseMs,
    tick() {
      const gapMs = gap();
      tickedAt = clock.now();
      if (gapMs <= pauseMs) {
        return 0;
      }
      pauses += 1;
      staleSince = tickedAt;
      return gapMs;
    },
    confirm(askedAt) {
      if (staleSince !== undefined && askedAt >= staleSince) {
        staleSince = undefined;
      }
    },
    dump: () => ({pauses, staleSince}),
  };
}
