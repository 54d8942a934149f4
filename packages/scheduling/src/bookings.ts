/**
 * Times at which rejected callers are told to return, and which of them return
 * as told.
 *
 * Room that is free outside of bursts is handed out to one caller after the
 * other. If all of them were told the same time, they would return together and
 * most would be rejected again.
 */
import type {Clock} from '@skylarkfield/base';
import type {ClosedUrgency, UnaskedRequest} from './contracts.js';

/** A request that is rejected. */
export interface BookedRequest {
  /** Time of the whole service that the request takes, in milliseconds. */
  readonly costMs: number;
  readonly fingerprint: string | undefined;
}

export interface Bookings {
  /**
   * Books room, and returns the time until it is free, in milliseconds.
   * `freeFraction` is the part of the service that is free in usual times.
   */
  book(request: BookedRequest, freeFraction: number): number;
  /**
   * Closes an urgency after a rejection. Notes when the callers that were
   * rejected without asking return, and books room for as many of them, each with
   * `costMs`, since their number is expected to be the same after the rejection.
   */
  close(
    closing: {
      readonly urgency: number;
      readonly costMs: number;
      readonly unasked: readonly UnaskedRequest[];
    },
    freeFraction: number,
  ): ClosedUrgency;
  /**
   * Returns whether the request has a booking that is due, and removes the
   * booking.
   */
  redeem(fingerprint: string | undefined): boolean;
  readonly size: number;
}

/** Bounds of the time until a caller returns, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 12_000;

/**
 * Upper bound of the time for which an overload is expected to go on, in
 * milliseconds; otherwise as long as it has lasted.
 */
const MAX_EXPECTED_OVERLOAD_MS = 2_000;

/** Time without rejections after which an overload is over, in milliseconds. */
const OVERLOAD_GAP_MS = 500;

/** Time for which entries reject requests without asking, in milliseconds. */
const CLOSED_MS = 200;

/** Minimum interval between the first and the last of several returns, in ms. */
const MIN_RETURN_SPREAD_MS = 500;

/** Fraction of the room that is handed out even if none seems to be free. */
const MIN_FREE_FRACTION = 0.1;

/** Time before and after the booked time in which a caller is expected, in ms. */
const EARLY_MS = 100;
const LATE_MS = 3_000;

/** Maximum number of bookings; further callers return without one. */
const MAX_BOOKINGS = 10_000;

/**
 * Creates the bookings of one service.
 *
 * @example
 * const retryAfterMs = bookings.book({costMs: 2.5, fingerprint}, 0.4);
 */
export function createBookings(clock: Clock): Bookings {
  /** Times of the bookings by fingerprint, in monotonic milliseconds. */
  const dueTimes = new Map<string, number[]>();
  let bookingCount = 0;
  let nextFreeAt = -Infinity;
  let overloadedSince = -Infinity;
  let lastRejectionAt = -Infinity;

  function recordRejection(): void {
    const now = clock.now();
    if (now - lastRejectionAt > OVERLOAD_GAP_MS) {
      overloadedSince = now;
    }
    lastRejectionAt = now;
  }

  function removeExpired(): void {
    const now = clock.now();
    for (const [fingerprint, times] of dueTimes) {
      const kept = times.filter(time => time + LATE_MS > now);
      bookingCount -= times.length - kept.length;
      if (kept.length === 0) {
        dueTimes.delete(fingerprint);
      } else {
        dueTimes.set(fingerprint, kept);
      }
    }
  }

  function add(fingerprint: string, dueAt: number): void {
    if (bookingCount >= MAX_BOOKINGS) {
      removeExpired();
    }
    if (bookingCount < MAX_BOOKINGS) {
      dueTimes.set(fingerprint, [...(dueTimes.get(fingerprint) ?? []), dueAt]);
      bookingCount += 1;
    }
  }

  /** Returns the time from which room can be booked. */
  function firstFreeAt(): number {
    const now = clock.now();
    const expectedOverloadMs = Math.min(
      MAX_EXPECTED_OVERLOAD_MS,
      now - overloadedSince,
    );
    return Math.max(nextFreeAt, now + expectedOverloadMs + MIN_RETRY_AFTER_MS);
  }

  return {
    book({costMs, fingerprint}, freeFraction) {
      recordRejection();
      const now = clock.now();
      const freeAt =
        firstFreeAt() + costMs / Math.max(MIN_FREE_FRACTION, freeFraction);
      if (freeAt - now > MAX_RETRY_AFTER_MS) {
        return MAX_RETRY_AFTER_MS;
      }
      nextFreeAt = freeAt;
      if (fingerprint !== undefined) {
        add(fingerprint, freeAt);
      }
      return Math.ceil(freeAt - now);
    },
    close({urgency, costMs, unasked}, freeFraction) {
      const now = clock.now();
      for (const {fingerprint, returnAt} of unasked) {
        add(fingerprint, returnAt);
      }
      const fromAt = firstFreeAt();
      const lastAt = now + MAX_RETRY_AFTER_MS;
      const freeAt =
        fromAt +
        (costMs * unasked.length) / Math.max(MIN_FREE_FRACTION, freeFraction);
      nextFreeAt = Math.min(freeAt, lastAt);
      const toAt = Math.min(
        lastAt,
        Math.max(freeAt, fromAt + MIN_RETURN_SPREAD_MS),
      );
      return {
        urgency,
        forMs: CLOSED_MS,
        returnFromMs: Math.ceil(
          Math.min(fromAt, toAt - MIN_RETURN_SPREAD_MS) - now,
        ),
        returnToMs: Math.ceil(toAt - now),
      };
    },
    redeem(fingerprint) {
      const times =
        fingerprint === undefined ? undefined : dueTimes.get(fingerprint);
      if (fingerprint === undefined || times === undefined) {
        return false;
      }
      const now = clock.now();
      const index = times.findIndex(
        time => now >= time - EARLY_MS && now <= time + LATE_MS,
      );
      if (index < 0) {
        return false;
      }
      times.splice(index, 1);
      bookingCount -= 1;
      if (times.length === 0) {
        dueTimes.delete(fingerprint);
      }
      return true;
    },
    get size() {
      return bookingCount;
    },
  };
}
