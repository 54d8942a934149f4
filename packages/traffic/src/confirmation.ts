/**
 * Tracks when an entry's replica of the platform's data was last confirmed to
 * be up to date.
 *
 * A revoked customer key must stop working everywhere within seconds, also at
 * an entry that receives no updates. So an entry without a recent confirmation
 * rejects requests with a key.
 */
import type {Clock} from '@skylarkfield/base';

/** A point in time on the monotonic and the wall clock. */
export interface Timestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Last confirmation that a replica was up to date. */
export interface Confirmation {
  /**
   * Records that the replica was up to date at this time; ignored if a later
   * time was already recorded.
   */
  confirm(timestamp: Timestamp): void;
  /**
   * Returns the ms since the last confirmed time; Infinity if there is none.
   */
  ageMs(): number;
}

/**
 * Returns the current time, to be passed to `confirm`. Call this function
 * before sending the request for the data: the response may reflect any later
 * moment.
 *
 * @example
 * const requestedAt = currentTimestamp(clock);
 * await store.get('policy', 'main');
 * confirmation.confirm(requestedAt);
 */
export function currentTimestamp(clock: Clock): Timestamp {
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
 * Creates a confirmation without a confirmed time, so that its age is Infinity.
 *
 * The age is measured on the monotonic and on the wall clock, and the larger
 * value counts. The monotonic clock stops while a host is suspended, so by this
 * clock alone a stale replica would look fresh.
 *
 * @example
 * const confirmation = createConfirmation(clock);
 * if (confirmation.ageMs() > 4_500) { reject(); }
 */
export function createConfirmation(clock: Clock): Confirmation {
  let lastConfirmed: Timestamp | undefined;
  return {
    confirm(timestamp) {
      if (
        lastConfirmed === undefined ||
        timestamp.monotonicMs > lastConfirmed.monotonicMs
      ) {
        lastConfirmed = timestamp;
      }
    },
    ageMs() {
      if (lastConfirmed === undefined) {
        return Infinity;
      }
      return Math.max(
        clock.now() - lastConfirmed.monotonicMs,
        clock.wall() - lastConfirmed.wallMs,
      );
    },
  };
}
