/**
 * Stops sending requests that crash endpoints, and records which requests were
 * running when an endpoint was lost.
 */
import type {CrashQuarantine, QuarantineVerdict} from '@skylarkfield/routing';
import type {AttemptResult} from './attempt.js';
import {isServerError} from './attemptOutcome.js';
import type {EndpointDirectory} from './endpointDirectory.js';
import type {Progress} from './retryRules.js';

interface CallWithFingerprint {
  fingerprint(): string;
}

export interface CrashGuard {
  /**
   * Returns the verdict on sending the call; starts a trial if the verdict is
   * `trial`. A migrated stream is always `clear`.
   */
  checkSend(
    call: CallWithFingerprint,
    progress: Pick<Progress, 'continuation'>,
  ): QuarantineVerdict;
  /** Whether the verdict on the call is any other than `clear`. */
  isSuspected(call: CallWithFingerprint): boolean;
  isQuarantined(call: CallWithFingerprint): boolean;
  /** Records an attempt's result, unless the attempt was stopped on request. */
  recordAttemptResult(
    call: CallWithFingerprint,
    endpoint: string,
    result: AttemptResult,
  ): void;
}

const CLEAR_VERDICT: QuarantineVerdict = {type: 'clear'};

/**
 * Returns the verdict on a call. Fingerprints cost processor time, so no
 * fingerprint is computed while no request is suspected.
 *
 * @example
 * if (verdictFor(call, crashQuarantine).type === 'quarantined') { reject(); }
 */
export function verdictFor(
  call: CallWithFingerprint,
  crashQuarantine: Pick<CrashQuarantine, 'isEmpty' | 'verdictFor'>,
): QuarantineVerdict {
  return crashQuarantine.isEmpty()
    ? CLEAR_VERDICT
    : crashQuarantine.verdictFor(call.fingerprint());
}

/**
 * Creates the crash guard of one entry's forwarding.
 *
 * @example
 * const verdict = crashGuard.checkSend(call, progress);
 */
export function createCrashGuard(options: {
  readonly crashQuarantine: CrashQuarantine;
  readonly directory: Pick<EndpointDirectory, 'get'>;
}): CrashGuard {
  const {crashQuarantine, directory} = options;

  function isSuccess(result: AttemptResult): boolean {
    return (
      result.type === 'streamed' ||
      (result.type === 'answered' && !isServerError(result.status))
    );
  }

  function recordLoss(
    call: CallWithFingerprint,
    endpoint: string,
    loss: 'closed' | 'silent',
  ): void {
    const state = directory.get(endpoint)?.state;
    if (state === 'draining') {
      return;
    }
    const lostRequest = {request: call.fingerprint(), endpoint};
    if (loss === 'closed' && state === 'ready') {
      crashQuarantine.recordConnectionLost(lostRequest);
    } else {
      crashQuarantine.recordUnanswered(lostRequest);
    }
  }

  return {
    checkSend(call, {continuation}) {
      // A stream that is being migrated has not failed.
      if (continuation !== undefined) {
        return CLEAR_VERDICT;
      }
      const verdict = verdictFor(call, crashQuarantine);
      if (verdict.type === 'trial') {
        crashQuarantine.beginTrial(call.fingerprint());
      }
      return verdict;
    },
    isSuspected: call => verdictFor(call, crashQuarantine).type !== 'clear',
    isQuarantined: call =>
      verdictFor(call, crashQuarantine).type === 'quarantined',
    recordAttemptResult(call, endpoint, result) {
      if (result.type === 'failed' && result.loss !== undefined) {
        recordLoss(call, endpoint, result.loss);
        return;
      }
      if (isSuccess(result) && !crashQuarantine.isEmpty()) {
        crashQuarantine.recordCompleted(call.fingerprint());
      }
    },
  };
}
