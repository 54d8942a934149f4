/**
 * Stops sending requests that crash endpoints, and records which requests were
 * running when an endpoint was lost.
 */
import {
  promptPartSuspects,
  type CrashQuarantine,
  type QuarantineVerdict,
} from '@skylarkfield/routing';
import type {ModelDemand} from '@skylarkfield/traffic';
import type {AttemptResult} from '../attempts/attemptResult.js';
import {isServerError, outcomeOf} from '../attempts/attemptOutcome.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {Progress} from '../forwarding/retryRules.js';

/** What a call is known by when its endpoint crashes. */
interface SuspectCall {
  fingerprint(): string;
  readonly suspectParts: readonly string[];
}

export interface CrashGuard {
  /**
   * Returns the verdict on sending the call. A migrated stream is always
   * `clear`.
   */
  checkSend(
    call: SuspectCall,
    progress: Pick<Progress, 'continuation'>,
  ): QuarantineVerdict;
  /** Records that the call is sent under the verdict, which may be a trial. */
  recordSend(call: SuspectCall, verdict: QuarantineVerdict): void;
  /** Whether the verdict on the call is any other than `clear`. */
  isSuspected(call: SuspectCall): boolean;
  isQuarantined(call: SuspectCall): boolean;
  /**
   * Records an attempt's result, unless the attempt was stopped on request.
   * `answeredForMs` is the time since the response began; 0 if it has not.
   */
  recordAttemptResult(
    call: SuspectCall,
    endpoint: string,
    result: AttemptResult,
    answeredForMs: number,
  ): void;
}

/**
 * Time after which a response that goes on shows that the parts of its prompt
 * crash no endpoint, in milliseconds: they do so when the response begins.
 */
const PART_SURVIVAL_MS = 1_000;

const CLEAR_VERDICT: QuarantineVerdict = {type: 'clear'};

/**
 * Returns the verdict on a call. Fingerprints cost processor time, so no
 * fingerprint is computed while no request is suspected.
 *
 * @example
 * if (verdictFor(call, crashQuarantine).type === 'quarantined') { reject(); }
 */
export function verdictFor(
  call: SuspectCall,
  crashQuarantine: Pick<CrashQuarantine, 'isEmpty' | 'verdictFor'>,
): QuarantineVerdict {
  return crashQuarantine.isEmpty()
    ? CLEAR_VERDICT
    : crashQuarantine.verdictFor(call.fingerprint(), call.suspectParts);
}

/**
 * Returns the keys by which the parts of a prompt are suspected.
 *
 * @example
 * const suspectParts = suspectPartsOf(head.demand);
 */
export function suspectPartsOf(
  demand: Pick<ModelDemand, 'model' | 'parts'> | undefined,
): readonly string[] {
  return demand === undefined
    ? []
    : promptPartSuspects(
        demand.model,
        demand.parts.map(({id}) => id),
      );
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

  function recordLoss(
    call: SuspectCall,
    endpoint: string,
    loss: 'closed' | 'silent',
    answeredForMs: number,
  ): void {
    const state = directory.get(endpoint)?.state;
    if (state === 'draining') {
      return;
    }
    const parts = answeredForMs < PART_SURVIVAL_MS ? call.suspectParts : [];
    const lostRequest = {request: call.fingerprint(), parts, endpoint};
    if (loss === 'closed' && state === 'ready') {
      crashQuarantine.recordConnectionLost(lostRequest);
    } else {
      crashQuarantine.recordUnanswered(lostRequest);
    }
  }

  function recordSuccess(
    call: SuspectCall,
    endpoint: string,
    {end}: Extract<AttemptResult, {type: 'streamed' | 'answered'}>,
  ): void {
    const {suspectParts: parts} = call;
    if (end.framing !== 'close') {
      recordCompleted(call);
      return;
    }
    if (directory.get(endpoint)?.state === 'ready') {
      const request = call.fingerprint();
      crashQuarantine.recordUnmarkedEnd({request, parts, endpoint});
    }
  }

  function recordCompleted(call: SuspectCall): void {
    if (crashQuarantine.isEmpty()) {
      crashQuarantine.recordPartsServed(call.suspectParts);
      return;
    }
    crashQuarantine.recordCompleted(call.fingerprint(), call.suspectParts);
  }

  return {
    // A stream that is being migrated has not failed.
    checkSend: (call, {continuation}) =>
      continuation === undefined
        ? verdictFor(call, crashQuarantine)
        : CLEAR_VERDICT,
    recordSend(call, {type}) {
      if (type === 'trial') {
        crashQuarantine.beginTrial(call.fingerprint(), call.suspectParts);
      }
    },
    isSuspected: call => verdictFor(call, crashQuarantine).type !== 'clear',
    isQuarantined: call =>
      verdictFor(call, crashQuarantine).type === 'quarantined',
    recordAttemptResult(call, endpoint, result, answeredForMs) {
      if (isSuccess(result)) {
        recordSuccess(call, endpoint, result);
        return;
      }
      if (result.type !== 'failed') {
        return;
      }
      if (result.loss !== undefined) {
        recordLoss(call, endpoint, result.loss, answeredForMs);
        return;
      }
      if (outcomeOf(result) === 'unreachable') {
        crashQuarantine.recordUnreachable(endpoint);
      }
    },
  };
}

function isSuccess(
  result: AttemptResult,
): result is Extract<AttemptResult, {type: 'streamed' | 'answered'}> {
  return (
    result.type === 'streamed' ||
    (result.type === 'answered' && !isServerError(result.status))
  );
}
