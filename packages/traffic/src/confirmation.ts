/**
 * When a copy of what the platform holds was last known to be the newest.
 *
 * A customer's key that was taken away must stop working everywhere within
 * seconds, also at an entry that can't hear of it. Only positive knowledge
 * helps: an entry that can't show that its copy was the newest a moment ago
 * refuses requests with a key.
 */
import type {Clock} from '@skylarkfield/base';

/** A moment on both clocks. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export interface Confirmation {
  /** The copy was the newest at this moment or later; an older one changes nothing. */
  confirm(moment: Moment): void;
  /** Milliseconds since the copy was last known to be the newest; infinite before the first time. */
  ageMs(): number;
}

/**
 * The present moment, for `confirm`. Taken before the question is sent: an
 * answer may have been made any time after that.
 *
 * @example
 * const asked = momentOf(clock);
 * await store.get('policy', 'main');
 * confirmation.confirm(asked);
 */
export function momentOf(clock: Clock): Moment {
  return {monotonicMs: clock.now(), wallMs: clock.wall()};
}

/**
 * A moment so many milliseconds before another one.
 *
 * @example
 * confirmation.confirm(before(heard, ageThereMs));
 */
export function before(moment: Moment, spanMs: number): Moment {
  return {
    monotonicMs: moment.monotonicMs - spanMs,
    wallMs: moment.wallMs - spanMs,
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
  let last: Moment | undefined;
  return {
    confirm(moment) {
      if (last === undefined || moment.monotonicMs > last.monotonicMs) {
        last = moment;
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
