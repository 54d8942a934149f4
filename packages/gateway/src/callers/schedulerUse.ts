/** Decides which requests ask the scheduler of their service. */
import type {Clock} from '@skylarkfield/base';

/**
 * Minimum equal part of the slots within which requests are admitted without
 * asking: requests arrive about three at a time, so an entry with a smaller part
 * would hold back the third one while other entries' slots are idle.
 */
const MIN_EQUAL_PART = 3;

export interface SchedulerUse {
  /**
   * Whether a request with a deadline asks; `localCount` is the number of
   * requests in progress that this entry has admitted on its own.
   */
  asks(service: string, deadlineAt: number, localCount: number): boolean;
}

/**
 * Creates the decision. All requests to models ask, because a model's endpoints
 * differ in speed and cached prompts. A plain request asks if it exceeds this
 * entry's part of the slots or the service is contended, so that scheduling
 * costs nothing where it changes nothing.
 *
 * @example
 * if (schedulerUse.asks('booking', deadlineAt, localCount)) { await ask(); }
 */
export function createSchedulerUse(options: {
  readonly clock: Clock;
  /** Whether the requests of a service are scheduled now. */
  isScheduled(service: string): boolean;
  isModel(service: string): boolean;
  /** Whether a service has little room, as a scheduler has told recently. */
  isContended(service: string): boolean;
  /** Returns the slots of a service that are this entry's equal part. */
  equalPart(service: string): number;
}): SchedulerUse {
  return {
    asks(service, deadlineAt, localCount) {
      if (!options.isScheduled(service) || options.clock.now() >= deadlineAt) {
        return false;
      }
      if (options.isModel(service) || options.isContended(service)) {
        return true;
      }
      const part = options.equalPart(service);
      return part < MIN_EQUAL_PART || localCount >= part;
    },
  };
}
