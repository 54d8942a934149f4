/** Decides whether a call whose attempt brought no answer is sent again. */
import type {ServingError} from '@skylarkfield/base';
import type {EndpointReach} from '@skylarkfield/routing';
import type {AttemptResult} from '../attempts/attemptResult.js';
import {isConnectionRefused} from '../attempts/attemptOutcome.js';
import type {Destination} from '../attempts/hedging.js';
import type {Handovers} from '../handover/handovers.js';
import type {ForwardedCall} from './forwardedCall.js';
import type {Progress, RetryRules} from './retryRules.js';

/** How far an attempt without an answer has come. */
type Delivery =
  /** An endpoint received the call, and may have run it or declined it. */
  | 'received'
  /** The endpoint stopped accepting requests before the call was sent. */
  | 'withdrawn'
  /** No process listens at the endpoint's address. */
  | 'refused'
  /** No connection to the endpoint could be opened. */
  | 'not-connected'
  /** Another entry did not take the call over. */
  | 'not-handed-over'
  /** The call was not sent for another reason. */
  | 'not-sent';

/** What a further send takes; `denied` if there is none. */
type SendCost = 'free' | 'retry' | 'denied';

type CostRule = (
  call: ForwardedCall,
  progress: Progress,
  error: ServingError | undefined,
) => SendCost;

export interface FurtherSends {
  /**
   * Whether the call is sent again. The runs of all its attempts go before what
   * the last attempt tells: an endpoint that has not received a migrated stream
   * does not undo the run at the endpoint before. Consumes one retry of the
   * service's retry budget if endpoints may receive the call once more for it.
   */
  maySendAgain(
    call: ForwardedCall,
    progress: Progress,
    destination: Destination,
    result: AttemptResult,
  ): boolean;
}

/**
 * Creates the decisions of one entry.
 *
 * @example
 * if (furtherSends.maySendAgain(call, progress, destination, result)) {
 *   return chooseNextStep(call, reply, progress);
 * }
 */
export function createFurtherSends(options: {
  readonly retryRules: RetryRules;
  readonly reach: Pick<EndpointReach, 'stateOf'>;
  readonly handovers: Pick<Handovers, 'mayHandOn'>;
  /** Whether an entry that has a path can take the call over. */
  canHandOver(call: ForwardedCall, progress: Progress): boolean;
}): FurtherSends {
  const {retryRules, reach} = options;

  /** Whether a call that could not be sent is tried again, here or elsewhere. */
  function mayGoElsewhere(call: ForwardedCall, progress: Progress): boolean {
    const isPathDoubted = reach.stateOf(call.service) !== 'reachable';
    return (
      (isPathDoubted && retryRules.hasSendsLeft(progress)) ||
      options.canHandOver(call, progress)
    );
  }

  /**
   * The retry budget bounds what endpoints receive, so a call that an endpoint
   * has not received is sent again for free.
   */
  const costRules: Readonly<Record<Delivery, CostRule>> = {
    received: () => 'retry',
    withdrawn: () => 'free',
    refused: (call, progress) =>
      retryRules.hasSendsLeft(progress) || mayGoElsewhere(call, progress)
        ? 'free'
        : 'retry',
    'not-connected': (call, progress) =>
      mayGoElsewhere(call, progress) ? 'free' : 'retry',
    'not-handed-over': (_, progress, error) =>
      error !== undefined && options.handovers.mayHandOn(progress, error)
        ? 'free'
        : 'denied',
    'not-sent': () => 'retry',
  };

  return {
    maySendAgain(call, progress, destination, result) {
      if (call.signal.aborted || !retryRules.canRun(call, progress)) {
        return false;
      }
      const error = result.type === 'failed' ? result.error : undefined;
      const delivery = deliveryOf(progress, destination, result);
      const cost = costRules[delivery](call, progress, error);
      if (cost === 'free' && !retryRules.needsRetry(progress)) {
        return true;
      }
      return cost !== 'denied' && retryRules.maySend(call, progress);
    },
  };
}

function deliveryOf(
  progress: Progress,
  destination: Destination,
  result: AttemptResult,
): Delivery {
  if (result.type === 'withdrawn') {
    return 'withdrawn';
  }
  if (result.type !== 'failed' || result.error.run === 'may-have-run') {
    return 'received';
  }
  return destination.type === 'peer'
    ? 'not-handed-over'
    : unsentDeliveryOf(progress, result.error);
}

function unsentDeliveryOf(
  {hasFailedToConnect}: Progress,
  error: ServingError,
): Delivery {
  if (isConnectionRefused(error)) {
    return 'refused';
  }
  return hasFailedToConnect ? 'not-connected' : 'not-sent';
}
