/**
 * Tracks when a replica of the platform's data was last confirmed up to date.
 *
 * A revoked customer key must stop working everywhere within seconds, also at
 * an entry that is cut off from updates. So an entry without a recent
 * confirmation rejects requests with a key.
 */
import type {Clock} from '@skylarkfield/base';

/** A point in time on the monotonic and the wall clock. */
export interface Timestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export interface Confirmation {
  /** Confirms that the replica was current then; ignored if before the last. */
  confirm(timestamp: Timestamp): void;
  /** Milliseconds since the last confirmation; Infinity before the first. */
  ageMs(): number;
}

/**
 * Returns the present time for `confirm`. Take it before sending the request:
 * the response may reflect any moment after that.
 *
 * @example
 * const requestedAt = timestampOf(clock);
 * await store.get('policy', 'main');
 * confirmation.confirm(requestedAt);
 */
export function timestampOf(clock: Clock): Timestamp {
  return {monotonicMs: clock.now(), wallMs: clock.wall()};
}

/**
 * Returns the timestamp `spanMs` milliseconds earlier.
 *
 * @example
 * confirmation.confirm(earlierTimestamp(receivedAt, ageAtPeerMs));
 */
export function earlierTimestamp(
  timestamp: Timestamp,
  spanMs: number,
): Timestamp {
  return {
    monotonicMs: timestamp.monotonicMs - spanMs,
    wallMs: timestamp.wallMs - spanMs,
  };
}

/**
 * Creates a confirmation of infinite age.
 *
 * The age is the larger one of both clocks: the monotonic clock stops while a
 * host is suspended, so by it alone a stale replica would look fresh.
 *
 * @example
 * const confirmation = createConfirmation(clock);
 * if (confirmation.ageMs() > 4_500) { reject(); }
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
