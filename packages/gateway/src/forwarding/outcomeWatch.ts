/** Records whether requests to model services meet their latency target. */
import type {Clock, ErrorKind, ServingError} from '@skylarkfield/base';
import type {OutcomeMeter} from '@skylarkfield/capacity';
import type {Route} from '@skylarkfield/traffic';
import type {CallerReply} from '../callers/callerReply.js';
import type {CallHead} from '../contracts.js';

/** Records, for one request, whether it meets its latency target. */
export interface OutcomeWatch {
  /** Records the end of the request, with its error if the request failed. */
  recordEnd(error: ServingError | undefined): void;
}

/** Errors which indicate that a service has too few endpoints. */
const SHORTAGE_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'overloaded',
  'deadline-exceeded',
]);

/** Records nothing; for plain services and routes without a latency target. */
const NO_WATCH: OutcomeWatch = {recordEnd() {}};

/**
 * Records whether the first event of a request arrives within the latency
 * target of its route. The outcome is recorded as soon as the target time has
 * passed: under overload, first events arrive too late to be a signal.
 *
 * @example
 * const outcome = watchOutcome({head, route, service}, reply, {clock,
 *   outcomeMeter});
 * outcome.recordEnd(result.error);
 */
export function watchOutcome(
  call: {
    readonly head: Pick<CallHead, 'demand'>;
    readonly route: Pick<Route, 'goalMs'>;
    readonly service: string;
  },
  reply: Pick<CallerReply, 'hasBegun'>,
  {
    clock,
    outcomeMeter,
  }: {
    readonly clock: Clock;
    readonly outcomeMeter: Pick<OutcomeMeter, 'record'>;
  },
): OutcomeWatch {
  const {head, route, service} = call;
  if (head.demand === undefined || route.goalMs <= 0) {
    return NO_WATCH;
  }
  let isRecorded = false;
  function recordOnce(isLate: boolean): void {
    if (!isRecorded) {
      isRecorded = true;
      outcomeMeter.record(service, isLate);
    }
  }
  const timer = clock.after(route.goalMs, () => recordOnce(!reply.hasBegun()));
  return {
    recordEnd(error) {
      timer.dispose();
      if (error === undefined || SHORTAGE_ERRORS.has(error.kind)) {
        recordOnce(error !== undefined);
      }
    },
  };
}
