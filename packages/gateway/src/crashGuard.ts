/** Stops resending requests that crash endpoints, and collects the evidence. */
import type {CrashQuarantine, QuarantineVerdict} from '@skylarkfield/routing';
import type {AttemptEnd} from './attempt.js';
import {isServerError} from './attemptOutcome.js';
import type {EndpointDirectory} from './endpointDirectory.js';
import type {Progress} from './retryRules.js';

interface FingerprintedCall {
  fingerprint(): string;
}

export interface CrashGuard {
  /** Returns the verdict on a send; starts a trial if the verdict allows it. */
  checkSend(
    call: FingerprintedCall,
    progress: Pick<Progress, 'continuation'>,
  ): QuarantineVerdict;
  isSuspected(call: FingerprintedCall): boolean;
  isQuarantined(call: FingerprintedCall): boolean;
  /** Records an attempt's end, unless its endpoint was ordered to stop it. */
  recordAttemptEnd(
    call: FingerprintedCall,
    endpoint: string,
    end: AttemptEnd,
  ): void;
}

const CLEAR: QuarantineVerdict = {type: 'clear'};

/**
 * Returns the verdict on a call. Fingerprints cost processor time, so none is
 * computed while no request is suspected.
 *
 * @example
 * if (verdictFor(call, crashQuarantine).type === 'quarantined') { reject(); }
 */
export function verdictFor(
  call: FingerprintedCall,
  crashQuarantine: Pick<CrashQuarantine, 'isEmpty' | 'verdictFor'>,
): QuarantineVerdict {
  return crashQuarantine.isEmpty()
    ? CLEAR
    : crashQuarantine.verdictFor(call.fingerprint());
}

/**
 * Creates the guard of one entry's forwarding.
 *
 * @example
 * const verdict = crashGuard.checkSend(call, progress);
 */
export function createCrashGuard(options: {
  readonly crashQuarantine: CrashQuarantine;
  readonly directory: Pick<EndpointDirectory, 'get'>;
}): CrashGuard {
  const {crashQuarantine, directory} = options;

  function isSuccess(end: AttemptEnd): boolean {
    return (
      end.type === 'streamed' ||
      (end.type === 'answered' && !isServerError(end.status))
    );
  }

  function recordLoss(
    call: FingerprintedCall,
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
      // A stream that is being migrated has not failed so far.
      if (continuation !== undefined) {
        return CLEAR;
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
    recordAttemptEnd(call, endpoint, end) {
      if (end.type === 'failed' && end.loss !== undefined) {
        recordLoss(call, endpoint, end.loss);
        return;
      }
      if (isSuccess(end) && !crashQuarantine.isEmpty()) {
        crashQuarantine.recordCompleted(call.fingerprint());
      }
    },
  };
}
