/**
 * When a copy of what the platform holds was last known to be the newest.
 *
 * A customer's key that was taken away must stop working everywhere within
 * seconds, also at an entry that can't hear of it. Only positive knowledge
 * helps: an entry that can't show that its copy was the newest a moment ago
 * refuses requests with a key.
 */
import type {Clock} from '@skylarkfield/base';

/** A point in time on the monotonic and the wall clock. */
export interface Timestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export interface Confirmation {
  /** Confirms that the replica was up to date at this time; older confirmations are ignored. */
  confirm(timestamp: Timestamp): void;
  /** Milliseconds since the copy was last known to be the newest; infinite before the first time. */
  ageMs(): number;
}

/**
 * The present time, for `confirm`. Taken before the question is sent: an
 * answer may have been made any time after that.
 *
 * @example
 * const asked = timestampOf(clock);
 * await store.get('policy', 'main');
 * confirmation.confirm(asked);
 */
export function timestampOf(clock: Clock): Timestamp {
  return {monotonicMs: clock.now(), wallMs: clock.wall()};
}

/**
 * Returns the timestamp so many milliseconds earlier.
 *
 * @example
 * confirmation.confirm(before(heard, ageThereMs));
 */
export function before(timestamp: Timestamp, spanMs: number): Timestamp {
  return {
    monotonicMs: timestamp.monotonicMs - spanMs,
    wallMs: timestamp.wallMs - spanMs,
  };
}

/**
 * Makes a confirmation that is infinitely old.
 *
 * The age is the larger of what both clocks say: a host that was suspended
 * wakes with a monotonic clock that has stood still, and its copy would look
 * fresh when it is not.
 *
 * @example
 * const confirmation = createConfirmation(clock);
 * if (confirmation.ageMs() > 4_500) { refuse(); }
 */
export function createConfirmation(clock: Clock): Confirmation {
  let last: Timestamp | undefined;
  return {
    confirm(timestamp) {
      if (last === undefined || timestamp.monotonicMs > last.monotonicMs) {
        last = timestamp;
      }
    },
    ageMs() {
      if (last === undefined) {
        return Infinity;
      }
      return Math.max(
        clock.now() - last.monotonicMs,
        clock.wall() - last.wallMs,
      );
    },
  };
}
