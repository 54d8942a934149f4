/** Keeps requests that crash endpoints from being sent on, and notes what shows which they are. */
import type {CrashSuspects, Verdict} from '@skylarkfield/routing';
import type {AttemptEnd} from './attempt.js';
import {isServerError} from './attemptOutcome.js';
import type {EndpointDirectory} from './endpointDirectory.js';
import type {Progress} from './retryRules.js';

interface FingerprintedCall {
  fingerprint(): string;
}

export interface CrashGuard {
  /** Whether the request may be sent now; begins its trial where the verdict allows one. */
  checkSend(
    call: FingerprintedCall,
    progress: Pick<Progress, 'continuation'>,
  ): Verdict;
  isSuspected(call: FingerprintedCall): boolean;
  isQuarantined(call: FingerprintedCall): boolean;
  /** An attempt at an endpoint has ended, and nobody had told the endpoint to stop it. */
  noteAttemptEnd(
    call: FingerprintedCall,
    endpoint: string,
    end: AttemptEnd,
  ): void;
}

const CLEAR: Verdict = {type: 'clear'};

/**
 * The verdict on a call. Fingerprints cost processor time, so none is computed
 * while nothing is suspected.
 *
 * @example
 * if (verdictOn(call, suspects).type === 'quarantined') { return reject(); }
 */
export function verdictFor(
  call: FingerprintedCall,
  suspects: Pick<CrashSuspects, 'isEmpty' | 'judge'>,
): Verdict {
  return suspects.isEmpty() ? CLEAR : suspects.judge(call.fingerprint());
}

/**
 * Makes the suspicion of one entry's forwarding.
 *
 * @example
 * const verdict = suspicion.judge(call, progress);
 */
export function createCrashGuard(options: {
  readonly suspects: CrashSuspects;
  readonly directory: Pick<EndpointDirectory, 'get'>;
}): CrashGuard {
  const {suspects, directory} = options;

  function isSuccess(end: AttemptEnd): boolean {
    return (
      end.type === 'streamed' ||
      (end.type === 'answered' && !isServerError(end.status))
    );
  }

  function noteLoss(
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
      suspects.noteClosed(lostRequest);
    } else {
      suspects.noteSilent(lostRequest);
    }
  }

  return {
    checkSend(call, {continuation}) {
      // A stream that is being moved off its endpoint runs well so far.
      if (continuation !== undefined) {
        return CLEAR;
      }
      const verdict = verdictFor(call, suspects);
      if (verdict.type === 'trial') {
        suspects.beginTrial(call.fingerprint());
      }
      return verdict;
    },
    isSuspected: call => verdictFor(call, suspects).type !== 'clear',
    isQuarantined: call => verdictFor(call, suspects).type === 'quarantined',
    noteAttemptEnd(call, endpoint, end) {
      if (end.type === 'failed' && end.loss !== undefined) {
        noteLoss(call, endpoint, end.loss);
        return;
      }
      if (isSuccess(end) && !suspects.isEmpty()) {
        suspects.noteServed(call.fingerprint());
      }
    },
  };
}
