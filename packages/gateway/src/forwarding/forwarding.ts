/**
 * Forwards an admitted request to an endpoint, or hands it over to an entry that
 * reaches the endpoints, with retries.
 */
import {ServingError, type DrainGuard, type Logger} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import type {Rests} from '@skylarkfield/routing';
import type {AttemptResult} from '../attempts/attemptResult.js';
import {
  describeResult,
  errorOf,
  isServerError,
  lostServiceError,
  quarantinedError,
  rateLimitedError,
  unavailableError,
  waitTooLongError,
  withRunState,
} from '../attempts/attemptOutcome.js';
import type {CallerReply} from '../callers/callerReply.js';
import {createCrashGuard} from '../crashes/crashGuard.js';
import {
  createEndpointAttempts,
  type EndpointAttemptOptions,
} from './endpointAttempts.js';
import type {EndpointTarget} from './endpointTargets.js';
import type {ForwardedCall, ForwardingResult} from './forwardedCall.js';
import {createFurtherSends} from './furtherSends.js';
import type {Handovers} from '../handover/handovers.js';
import {
  createHedging,
  type Destination,
  type RacingAttempt,
} from '../attempts/hedging.js';
import {lossFields} from '../callers/requestLog.js';
import {createProgress, type Progress} from './retryRules.js';
import type {SendLog} from './sendLog.js';
import type {Stall} from '../attempts/stallTimer.js';

/** How a call is tried next. */
type NextStep =
  | Destination
  /** The call is not tried again; the error does not cover earlier runs. */
  | {readonly type: 'reject'; readonly error: ServingError};

/** The status of a concluded call, and its error or the end of its response. */
type Conclusion = Pick<ForwardingResult, 'status'> &
  Partial<Pick<ForwardingResult, 'error' | 'responseEnd'>>;

export interface Forwarding {
  forward(call: ForwardedCall, reply: CallerReply): Promise<ForwardingResult>;
}

/**
 * Creates the forwarding of one entry.
 *
 * @example
 * const {status} = await forwarding.forward(call, reply);
 */
export function createForwarding(
  options: Omit<EndpointAttemptOptions, 'crashGuard'> & {
    readonly handovers: Handovers;
    readonly rests: Pick<Rests, 'isResting'>;
    readonly sendLog: SendLog;
    readonly drainGuard: Pick<DrainGuard, 'rejectionFor'>;
    readonly log: Logger;
  },
): Forwarding {
  const {router, reach, engineObserver, retryRules, handovers} = options;
  const {sendLog, drainGuard, clock, log} = options;
  const crashGuard = createCrashGuard(options);
  const attempts = createEndpointAttempts({...options, crashGuard});
  const furtherSends = createFurtherSends({
    retryRules,
    reach,
    handovers,
    canHandOver: (call, progress) => choosePeer(call, progress) !== undefined,
  });
  const hedging = createHedging({
    runAttempt,
    chooseHedge(call, progress, stall) {
      const destination = chooseHedge(call, progress, stall);
      if (destination !== undefined) {
        sendLog.countHedge(call);
      }
      return destination;
    },
    isResponding: async ({service}, destination) =>
      destination.type === 'peer'
        ? handovers.canEnd(destination.peer)
        : reach.isResponding(service, destination.target.choice.endpoint),
    clock,
    log,
  });

  /**
   * Returns undefined if the call is to be retried; else responds to the caller
   * and returns the conclusion.
   */
  function conclude(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    destination: Destination,
    result: AttemptResult,
  ): Conclusion | undefined {
    if (result.type === 'streamed') {
      return {status: 200, responseEnd: result.end};
    }
    const isFinal = result.type === 'answered' && !isServerError(result.status);
    const isSentAgain =
      !isFinal &&
      furtherSends.maySendAgain(call, progress, destination, result);
    return isSentAgain ? undefined : respond(call, reply, progress, result);
  }

  /** Responds to the caller with what the last attempt has brought. */
  function respond(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    result: Exclude<AttemptResult, {readonly type: 'streamed'}>,
  ): Conclusion {
    if (result.type !== 'answered') {
      const error = errorOf(call.service, progress.endpoints.length, result);
      return respondWithError(reply, withRunState(error, progress.runCount));
    }
    if (reply.hasBegun()) {
      return respondWithError(
        reply,
        new ServingError('interrupted', 'the stream could not be resumed'),
      );
    }
    reply.sendResponse(result);
    return {status: result.status, responseEnd: result.end};
  }

  /** Whether the call cannot be sent over the paths of this entry. */
  function hasNoPath({service}: ForwardedCall, progress: Progress): boolean {
    return (
      reach.isLost(service) ||
      (progress.hasFailedToConnect && !reach.canConnect(service))
    );
  }

  /** Returns the entry to hand the call over to; undefined if it has a path. */
  function choosePeer(
    call: ForwardedCall,
    progress: Progress,
  ): Member | undefined {
    const isNeeded =
      call.handover === undefined &&
      hasNoPath(call, progress) &&
      reach.stateOf(call.service) !== 'gone';
    return isNeeded ? handovers.choosePeer(call, progress) : undefined;
  }

  /** Returns the error for a call that no endpoint can be chosen for. */
  function noEndpointError(service: string): ServingError {
    const waitMs = router.rateLimitWaitMs(service);
    return waitMs === undefined
      ? unavailableError(service, 'none is left to try')
      : rateLimitedError(service, waitMs);
  }

  /**
   * Returns the error for a request that has not run yet and that even the best
   * endpoint cannot answer before the deadline: the caller gets Retry-After
   * early, and no capacity is wasted on the request. Undefined if the request
   * is to be sent.
   */
  function rejectIfTooLate(
    call: ForwardedCall,
    progress: Progress,
    {choice, kvCache}: EndpointTarget,
  ): ServingError | undefined {
    const isPlaced = call.placement?.endpoint === choice.endpoint;
    const hasRun = progress.runCount > 0 || call.handover?.hasRun === true;
    if (hasRun || kvCache !== undefined || isPlaced) {
      return undefined;
    }
    const wait = engineObserver.expectedWait(
      call,
      choice,
      call.deadlineAt - clock.now(),
    );
    if (!wait.isTooLong) {
      return undefined;
    }
    choice.finish({outcome: 'cancelled', latencyMs: 0});
    log.info(
      {
        request: call.attemptId,
        endpoint: choice.endpoint,
        urgency: call.urgency,
        tokensAhead: Math.round(choice.tokensAhead),
        waitMs: Math.round(wait.ms),
        longestMs: Math.round(wait.longestMs),
      },
      'rejected because of the expected wait',
    );
    return waitTooLongError(call.service, wait);
  }

  /**
   * Whether the stream continues at its migration target. Releases the target
   * if the stream has ended, its caller is gone, or the target began to rest and
   * would reject the stream.
   */
  function confirmMigration(
    {signal}: ForwardedCall,
    progress: Progress,
    result: AttemptResult,
  ): boolean {
    const {continuation} = progress;
    if (continuation === undefined) {
      return false;
    }
    const isResting = options.rests.isResting(continuation.choice.endpoint);
    if (result.type === 'failed' && !signal.aborted && !isResting) {
      return true;
    }
    continuation.drop();
    progress.continuation = undefined;
    return false;
  }

  /** Sends the error, or aborts a response that has already begun. */
  function respondWithError(reply: CallerReply, error: ServingError) {
    if (reply.hasBegun()) {
      reply.abort();
      return {status: 0, error};
    }
    return {status: reply.sendError(error), error};
  }

  /**
   * Chooses the next endpoint, or the entry that takes the call over. A response
   * that has begun cannot be rejected, so it goes on at an endpoint even if none
   * responds at the moment.
   */
  function chooseNextStep(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
  ): NextStep {
    if (progress.continuation !== undefined) {
      return chooseEndpointStep(call, progress);
    }
    const rejection = drainGuard.rejectionFor(call.deadlineAt);
    if (rejection !== undefined && progress.runCount === 0) {
      return {type: 'reject', error: rejection};
    }
    const peer = choosePeer(call, progress);
    if (peer !== undefined) {
      return {type: 'peer', peer};
    }
    return reach.isLost(call.service) && !reply.hasBegun()
      ? {
          type: 'reject',
          error: lostServiceError(call.service, reach.stateOf(call.service)),
        }
      : chooseEndpointStep(call, progress);
  }

  function chooseEndpointStep(
    call: ForwardedCall,
    progress: Progress,
  ): NextStep {
    const verdict = crashGuard.checkSend(call, progress);
    if (verdict.type === 'quarantined') {
      return {type: 'reject', error: quarantinedError(verdict)};
    }
    const target = attempts.chooseTarget(call, progress);
    if (target === undefined) {
      return {type: 'reject', error: noEndpointError(call.service)};
    }
    const rejection = rejectIfTooLate(call, progress, target);
    if (rejection !== undefined) {
      return {type: 'reject', error: rejection};
    }
    crashGuard.recordSend(call, verdict);
    return {type: 'endpoint', target};
  }

  function runAttempt(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    destination: Destination,
    racingAttempt: RacingAttempt,
  ): Promise<AttemptResult> {
    return destination.type === 'endpoint'
      ? attempts.run(call, reply, progress, destination.target, racingAttempt)
      : handovers.run(call, reply, progress, destination.peer, racingAttempt);
  }

  /** Chooses where a call whose attempt has stalled is sent as well. */
  function chooseHedge(
    call: ForwardedCall,
    progress: Progress,
    stall: Stall,
  ): Destination | undefined {
    if (!retryRules.canHedge(call, progress) || crashGuard.isSuspected(call)) {
      return undefined;
    }
    const peer = choosePeer(call, progress);
    if (peer !== undefined) {
      return retryRules.mayHedge(call, progress)
        ? {type: 'peer', peer}
        : undefined;
    }
    const target = reach.isLost(call.service)
      ? undefined
      : attempts.chooseHedgeTarget(call, progress, stall);
    if (target === undefined) {
      return undefined;
    }
    if (!retryRules.mayHedge(call, progress)) {
      target.choice.finish({outcome: 'cancelled', latencyMs: 0});
      return undefined;
    }
    return {type: 'endpoint', target};
  }

  function logRetry(
    {attemptId, head}: ForwardedCall,
    progress: Progress,
    destination: Destination,
    result: AttemptResult,
  ): void {
    log.info(
      {
        request: attemptId,
        ...(destination.type === 'endpoint'
          ? {endpoint: destination.target.choice.endpoint}
          : {peer: destination.peer.id}),
        end: describeResult(result),
        runs: progress.runCount,
        sends: progress.endpoints.length,
        ...lossFields(progress.fingerprint, head),
      },
      'retrying at another endpoint',
    );
  }

  return {
    async forward(call, reply) {
      const progress = createProgress(clock.now(), call.handover);
      for (;;) {
        const step = chooseNextStep(call, reply, progress);
        if (step.type === 'reject') {
          const rejection = withRunState(step.error, progress.runCount);
          return toResult(respondWithError(reply, rejection), progress);
        }
        if (progress.firstSendAt !== undefined) {
          sendLog.record(call, progress, step, reply.lastEventId());
        }
        const {destination, result} = await hedging.run(
          call,
          reply,
          progress,
          step,
        );
        if (confirmMigration(call, progress, result)) {
          continue;
        }
        const conclusion = conclude(call, reply, progress, destination, result);
        if (conclusion !== undefined) {
          return toResult(conclusion, progress);
        }
        logRetry(call, progress, destination, result);
      }
    },
  };
}

function toResult(
  {status, error, responseEnd}: Conclusion,
  {
    firstByteMs,
    hostDelayMs,
    endpoints,
    lastEndpoint,
    peers,
    tokensAhead,
    firstSendAt,
    fingerprint,
    retryDenial,
    hasFailedAttempt,
    hasWaitedForStill,
    stillEndpoints,
  }: Progress,
): ForwardingResult {
  return {
    status,
    error,
    firstByteMs,
    endpoints,
    ...(lastEndpoint !== undefined && {lastEndpoint}),
    ...(hostDelayMs > 0 && {hostDelayMs}),
    ...(hasFailedAttempt && {hasFailedAttempt}),
    ...(hasWaitedForStill && {hasWaitedForStill}),
    ...(stillEndpoints.length > 0 && {stillEndpoints}),
    ...(peers.length > 0 && {peers}),
    ...(tokensAhead !== undefined && {tokensAhead}),
    ...(firstSendAt !== undefined && {firstSendAt}),
    ...(fingerprint !== undefined && {fingerprint}),
    ...(responseEnd && {responseEnd}),
    ...(error !== undefined && retryDenial !== undefined && {retryDenial}),
  };
}
