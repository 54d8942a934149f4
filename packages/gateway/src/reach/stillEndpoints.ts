/**
 * Tells requests that wait for an endpoint that stands still, as when its host is
 * paused, from those that their endpoint serves slowly. The time of the former
 * says nothing about the version that the endpoint runs.
 */
import type {Clock, Disposable} from '@skylarkfield/base';
import type {EndpointReach} from '@skylarkfield/routing';

/** A request while it waits for the first bytes of its response. */
export interface StillnessWatch extends Disposable {
  /** Whether the endpoint stands still, as far as is known now. */
  isStill(): boolean;
  /**
   * Whether the endpoint, which was left after it had sent nothing for a time, in
   * milliseconds, sent nothing to others either.
   */
  isStillAfter(silentMs: number): boolean;
}

export interface StillEndpoints {
  /** Watches an endpoint that a request was sent to. */
  watch(
    service: string,
    endpoint: string,
    hasBegun: () => boolean,
  ): StillnessWatch;
}

/**
 * Interval at which it is checked whether an endpoint responds while a request
 * waits, in milliseconds; short against a pause.
 */
const CHECK_INTERVAL_MS = 150;

/**
 * Time within which an endpoint that does not stand still answers a probe, in
 * milliseconds: many round trips between failure domains. It rejects a probe at
 * once, however slow its version is.
 */
const ANSWER_MS = 50;

const NO_WATCH: StillnessWatch = {
  isStill: () => false,
  isStillAfter: () => false,
  dispose() {},
};

/**
 * Creates the watches of one entry. Only services whose version is judged are
 * watched, since each probe is billed.
 *
 * @example
 * const watch = stillEndpoints.watch('chat', choice.endpoint);
 * const wasStill = watch.isStill();
 */
export function createStillEndpoints({
  reach,
  clock,
  isRollingOut,
}: {
  readonly reach: Pick<EndpointReach, 'isResponding' | 'hasRespondedSince'>;
  readonly clock: Clock;
  /** Whether a rollout of the service is in progress. */
  isRollingOut(service: string): boolean;
}): StillEndpoints {
  return {
    watch(service, endpoint, hasBegun) {
      if (!isRollingOut(service)) {
        return NO_WATCH;
      }
      let timer: Disposable;
      let isDisposed = false;
      /** Time of the check that is not answered yet. */
      let askedAt = Infinity;

      function isStill(): boolean {
        return clock.now() - askedAt > ANSWER_MS;
      }

      function check(): void {
        askedAt = clock.now();
        void reach.isResponding(service, endpoint).then(isResponding => {
          // One that was late to answer has stood still during this request.
          if (isResponding && !isStill() && !isDisposed) {
            scheduleCheck();
          }
        });
      }

      function scheduleCheck(): void {
        askedAt = Infinity;
        timer = clock.after(CHECK_INTERVAL_MS, check);
      }

      scheduleCheck();
      return {
        isStill,
        isStillAfter: silentMs =>
          hasBegun()
            ? !reach.hasRespondedSince(
                service,
                endpoint,
                clock.now() - silentMs,
              )
            : isStill(),
        dispose() {
          isDisposed = true;
          timer.dispose();
        },
      };
    },
  };
}
