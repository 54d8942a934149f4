/** Records what the results of attempts tell about endpoints. */
import type {EndpointReach, WarmUps} from '@skylarkfield/routing';
import type {AttemptResult} from './attemptResult.js';
import {outcomeOf} from './attemptOutcome.js';
import type {CrashGuard} from '../crashes/crashGuard.js';
import type {ForwardedCall} from '../forwarding/forwardedCall.js';

export interface AttemptEvidence {
  /**
   * Records the result of an attempt at an endpoint. `answeredForMs` is the time
   * since the response began; 0 if it has not.
   */
  record(
    call: ForwardedCall,
    endpoint: string,
    result: AttemptResult,
    answeredForMs: number,
  ): void;
}

/**
 * Creates the evidence of one entry. A loss while this entry is cut off tells
 * nothing about the endpoint, so it is recorded once that is ruled out.
 *
 * @example
 * evidence.record(call, choice.endpoint, result, 0);
 */
export function createAttemptEvidence({
  reach,
  warmUps,
  crashGuard,
}: {
  readonly reach: Pick<EndpointReach, 'recordFailure' | 'whenDecided'>;
  readonly warmUps: Pick<WarmUps, 'recordUnreachable'>;
  readonly crashGuard: Pick<CrashGuard, 'recordAttemptResult'>;
}): AttemptEvidence {
  return {
    record(call, endpoint, result, answeredForMs) {
      const record = () =>
        crashGuard.recordAttemptResult(call, endpoint, result, answeredForMs);
      if (result.type !== 'failed') {
        record();
        return;
      }
      const isUnreachable = outcomeOf(result) === 'unreachable';
      if (!isUnreachable && result.loss === undefined) {
        return;
      }
      reach.recordFailure(call.service, endpoint);
      reach.whenDecided(call.service, isEvidence => {
        if (!isEvidence) {
          return;
        }
        if (isUnreachable) {
          warmUps.recordUnreachable(endpoint);
        }
        record();
      });
    },
  };
}
