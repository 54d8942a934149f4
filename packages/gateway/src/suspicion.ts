/** Keeps requests that crash endpoints from being sent on, and notes what shows which they are. */
import type {CrashSuspects, Verdict} from '@skylarkfield/routing';
import type {AttemptEnd} from './attempt.js';
import {isServerFault} from './attemptOutcome.js';
import type {EndpointDirectory} from './endpointDirectory.js';
import type {Progress} from './sendRules.js';

interface SuspectedCall {
  fingerprint(): string;
}

export interface Suspicion {
  /** Whether the request may be sent now; begins its trial where the verdict allows one. */
  judge(call: SuspectedCall, progress: Pick<Progress, 'continuation'>): Verdict;
  isSuspected(call: SuspectedCall): boolean;
  isQuarantined(call: SuspectedCall): boolean;
  /** An attempt at an endpoint has ended, and nobody had told the endpoint to stop it. */
  noteEnd(call: SuspectedCall, endpoint: string, end: AttemptEnd): void;
}

const CLEAR: Verdict = {type: 'clear'};

/**
 * The verdict on a call. Fingerprints cost processor time, so none is computed
 * while nothing is suspected.
 *
 * @example
 * if (verdictOn(call, suspects).type === 'quarantined') { return reject(); }
 */
export function verdictOn(
  call: SuspectedCall,
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
export function createSuspicion(options: {
  readonly suspects: CrashSuspects;
  readonly directory: Pick<EndpointDirectory, 'get'>;
}): Suspicion {
  const {suspects, directory} = options;

  function isServed(end: AttemptEnd): boolean {
    return (
      end.type === 'streamed' ||
      (end.type === 'answered' && !isServerFault(end.status))
    );
  }

  function noteLoss(
    call: SuspectedCall,
    endpoint: string,
    loss: 'closed' | 'silent',
  ): void {
    const state = directory.get(endpoint)?.state;
    if (state === 'draining') {
      return;
    }
    const lost = {request: call.fingerprint(), endpoint};
    if (loss === 'closed' && state === 'ready') {
      suspects.noteClosed(lost);
    } else {
      suspects.noteSilent(lost);
    }
  }

  return {
    judge(call, {continuation}) {
      // A stream that is being moved off its endpoint runs well so far.
      if (continuation !== undefined) {
        return CLEAR;
      }
      const verdict = verdictOn(call, suspects);
      if (verdict.type === 'trial') {
        suspects.beginTrial(call.fingerprint());
      }
      return verdict;
    },
    isSuspected: call => verdictOn(call, suspects).type !== 'clear',
    isQuarantined: call => verdictOn(call, suspects).type === 'quarantined',
    noteEnd(call, endpoint, end) {
      if (end.type === 'failed' && end.loss !== undefined) {
        noteLoss(call, endpoint, end.loss);
        return;
      }
      if (isServed(end) && !suspects.isEmpty()) {
        suspects.noteServed(call.fingerprint());
      }
    },
  };
}
