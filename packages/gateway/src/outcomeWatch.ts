/** Records whether requests to model services meet their latency target. */
import type {Clock, ErrorKind, ServingError} from '@skylarkfield/base';
import type {OutcomeMeter} from '@skylarkfield/capacity';
import type {Route} from '@skylarkfield/traffic';
import type {CallerReply} from './callerReply.js';
import type {CallHead} from './contracts.js';

/** A request being watched. */
export interface WatchedOutcome {
  /** Called at the end of the request, with its error if it failed. */
  end(error: ServingError | undefined): void;
}

/** Errors that indicate too few endpoints. */
const SHORTAGE_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'overloaded',
  'deadline-exceeded',
]);

/** Used for plain services and routes without a target. */
const UNWATCHED: WatchedOutcome = {end() {}};

/**
 * Records whether the first event arrives within the route's target as soon
 * as that is known: under overload the events themselves arrive far too late to
 * be a signal.
 *
 * @example
 * const outcome = watchOutcome({head, route, service}, reply, {clock,
 *   outcomes});
 * outcome.end(result.error);
 */
export function watchOutcome(
  call: {
    readonly head: Pick<CallHead, 'demand'>;
    readonly route: Pick<Route, 'goalMs'>;
    readonly service: string;
  },
  reply: Pick<CallerReply, 'hasBegun'>,
  {clock, outcomes}: {readonly clock: Clock; readonly outcomes: OutcomeMeter},
): WatchedOutcome {
  const {head, route, service} = call;
  if (head.demand === undefined || route.goalMs <= 0) {
    return UNWATCHED;
  }
  let isRecorded = false;
  function recordOnce(isLate: boolean): void {
    if (!isRecorded) {
      isRecorded = true;
      outcomes.record(service, isLate);
    }
  }
  const timer = clock.after(route.goalMs, () => recordOnce(!reply.hasBegun()));
  return {
    end(error) {
      timer.dispose();
      if (error === undefined || SHORTAGE_ERRORS.has(error.kind)) {
        recordOnce(error !== undefined);
      }
    },
  };
}
