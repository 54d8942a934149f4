/** Forwards an admitted request, with retries at other endpoints. */
import {ServingError, type Clock, type Logger} from '@skylarkfield/base';
import type {AdmissionController} from '@skylarkfield/admission';
import type {
  Choice,
  CrashQuarantine,
  RateLimits,
  Router,
  WarmUps,
} from '@skylarkfield/routing';
import {countOwnTokens, type Route} from '@skylarkfield/traffic';
import {runAttempt, type AttemptResult} from './attempt.js';
import {
  describeResult,
  isServerError,
  rateLimitedError,
  mayHaveRun,
  waitTooLongError,
  allDeclinedError,
  outcomeOf,
  quarantinedError,
  unavailableError,
  withRunState,
} from './attemptOutcome.js';
import type {CallerReply} from './callerReply.js';
import type {CallFormat, CallHead, ResponseHead} from './contracts.js';
import type {EngineObserver} from './engineObserver.js';
import type {EndpointDirectory, VersionGroup} from './endpointDirectory.js';
import {createProgress, createRetryRules, type Progress} from './retryRules.js';
import {createCrashGuard} from './crashGuard.js';
import type {Continuation, StreamMigrator} from './streamMigration.js';
import type {Upstreams} from './upstream.js';

/** A request that was admitted. */
export interface ForwardedCall {
  readonly head: CallHead;
  readonly attemptId: string;
  readonly route: Route;
  readonly service: string;
  readonly version: VersionGroup;
  readonly customer: string | undefined;
  /** Regions in which the call may run; absent for all. */
  readonly regions?: readonly string[] | undefined;
  readonly urgency: number | undefined;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  /**
   * Returns the crash fingerprint, identical for all attempts that the caller
   * makes; computed on first use.
   */
  fingerprint(): string;
  /** Keys of the prompt's shared parts; empty for a plain service. */
  readonly promptKeys: readonly string[];
  /** Deadline of the response, in monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}

/** Result of a forwarded call. */
export interface ForwardingResult {
  readonly status: number;
  /**
   * Milliseconds from the start of forwarding to the first byte or event;
   * undefined if none arrived.
   */
  readonly firstByteMs: number | undefined;
  /** Ids of the endpoints that the call was sent to, in order. */
  readonly endpoints: readonly string[];
  /** Monotonic milliseconds of the first send; undefined if never sent. */
  readonly firstSendAt?: number;
  /** Prompt tokens queued at the first endpoint before the call was sent. */
  readonly tokensAhead?: number;
  /** Crash fingerprint; set if an endpoint closed its connection. */
  readonly fingerprint?: string;
  /** Undefined if an endpoint's complete response was passed on. */
  readonly error: ServingError | undefined;
}

export interface Forwarding {
  forward(call: ForwardedCall, reply: CallerReply): Promise<ForwardingResult>;
}

/** The endpoint of an attempt, and the KV cache that it resumes from. */
interface AttemptTarget {
  readonly choice: Choice;
  readonly kvCache?: Continuation['kvCache'];
}

/**
 * Creates the forwarding of one entry.
 *
 * @example
 * const {status} = await forwarding.forward(call, reply);
 */
export function createForwarding(options: {
  readonly router: Router;
  readonly rateLimits: Pick<RateLimits, 'recordLimit'>;
  readonly warmUps: Pick<WarmUps, 'recordUnreachable' | 'recordResponse'>;
  readonly crashQuarantine: CrashQuarantine;
  readonly directory: EndpointDirectory;
  readonly admission: AdmissionController;
  readonly upstreams: Upstreams;
  readonly migrator: StreamMigrator;
  readonly engineObserver: EngineObserver;
  readonly format: CallFormat;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called once per call, with the wall-clock time at which the call ran. */
  onDidRun(customer: string | undefined, wallMs: number): void;
}): Forwarding {
  const {
    router,
    directory,
    upstreams,
    migrator,
    engineObserver,
    format,
    clock,
    log,
  } = options;
  const crashGuard = createCrashGuard(options);
  const retryRules = createRetryRules({admission: options.admission, clock});

  /**
   * Chooses an endpoint of the call's version group or, if none is available,
   * an endpoint of the incumbent group.
   */
  function chooseEndpoint(
    call: ForwardedCall,
    excludedEndpoints: ReadonlySet<string>,
  ) {
    const {demand} = call.head;
    const routingRequest = {
      service: call.service,
      version: call.version,
      blocks: call.promptKeys,
      promptTokens: demand?.promptTokens ?? 0,
      ...(demand && {ownTokens: countOwnTokens(demand)}),
      ...(call.urgency !== undefined && {urgency: call.urgency}),
      regions: call.regions,
      excluded: excludedEndpoints,
      isSuspected: crashGuard.isSuspected(call),
    };
    return (
      router.choose(routingRequest) ??
      router.choose({...routingRequest, version: 'incumbent'})
    );
  }

  /** Runs one attempt at the target and records its outcome. */
  async function tryTarget(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    {choice, kvCache}: AttemptTarget,
  ): Promise<AttemptResult> {
    const endpoint = directory.get(choice.endpoint);
    if (endpoint === undefined) {
      choice.finish({outcome: 'unreachable', latencyMs: 0});
      return {
        type: 'failed',
        error: unavailableError(
          call.service,
          'the chosen endpoint was just removed',
        ),
      };
    }
    progress.endpoints.push(endpoint.id);
    progress.excludedEndpoints.add(choice.endpoint);
    progress.tokensAhead ??= choice.tokensAhead;
    const sentAt = clock.now();
    progress.firstSendAt ??= sentAt;
    const sentWallMs = clock.wall();
    const isStream = call.route.kind === 'streaming';
    let beganAt: number | undefined;
    const lastEventId = reply.lastEventId() ?? call.head.lastEventId;
    const isFresh = kvCache === undefined && lastEventId === undefined;
    const observer = engineObserver.observe(call, choice, isFresh);
    const watchedStream = migrator.watch({
      endpoint: choice.endpoint,
      attemptId: call.attemptId,
      hasBegun: () => isStream && beganAt !== undefined,
      chooseEndpoint: () =>
        crashGuard.isQuarantined(call)
          ? undefined
          : chooseEndpoint(call, progress.excludedEndpoints),
    });
    const result = await runAttempt({
      address: endpoint.address,
      request: {
        method: call.method,
        path: call.path,
        headers: format.buildUpstreamHeaders(call.rawHeaders, {
          timeoutMs: Math.max(1, Math.floor(call.deadlineAt - sentAt)),
          endpointId: endpoint.id,
          customer: call.customer,
          urgency: call.urgency,
          lastEventId:
            lastEventId === undefined ? undefined : String(lastEventId),
          kvCache,
        }),
        body: call.body,
      },
      attemptId: call.attemptId,
      upstreams,
      format,
      clock,
      signal: call.signal,
      sink: isStream ? observer.wrap(reply.sink) : undefined,
      idleTimeoutMs: retryRules.idleTimeoutMs(call, progress),
      isStopRequested: watchedStream.isStopRequested,
      onDidRespond({limitPerSecond}) {
        options.rateLimits.recordLimit(choice.endpoint, limitPerSecond);
        options.warmUps.recordResponse(choice.endpoint);
        options.crashQuarantine.recordResponse(choice.endpoint, sentAt);
      },
      onDidBegin(head) {
        beganAt = clock.now();
        observer.recordBegin();
        progress.firstByteMs ??= beganAt - progress.startedAt;
        choice.recordFirstToken();
        recordLoad(choice.endpoint, head);
        countRun(isStream ? clock.wall() : sentWallMs);
      },
    });
    watchedStream.dispose();
    progress.continuation = await watchedStream.continuation();
    const latencyMs = (beganAt ?? clock.now()) - sentAt;
    // The endpoint stopped a migrated stream on request, so the end of the
    // stream is not a failure of the endpoint.
    const outcome = progress.continuation ? 'ok' : outcomeOf(result);
    choice.finish({outcome, latencyMs});
    if (outcome === 'unreachable') {
      options.warmUps.recordUnreachable(choice.endpoint);
    }
    observer.recordEnd();
    if (result.type === 'failed' && result.loss === 'closed') {
      progress.fingerprint = call.fingerprint();
    }
    if (!watchedStream.isStopRequested()) {
      crashGuard.recordAttemptResult(call, choice.endpoint, result);
    }
    if (mayHaveRun(result) && kvCache === undefined) {
      progress.runCount += 1;
      if (!isStream) {
        countRun(sentWallMs);
      }
    }
    return result;

    /**
     * Counts a call once over all its attempts. A stream counts as run at its
     * first event, any other call at its first send that may have run.
     */
    function countRun(wallMs: number): void {
      if (!progress.isCounted) {
        progress.isCounted = true;
        options.onDidRun(call.customer, wallMs);
      }
    }
  }

  let loadReportCount = 0;
  function recordLoad(endpoint: string, {load}: ResponseHead): void {
    if (load === undefined) {
      return;
    }
    loadReportCount += 1;
    router.recordLoadReport(endpoint, {
      sequence: loadReportCount,
      ...load,
      waitingPromptTokens: 0,
      cacheUse: 0,
    });
  }

  /**
   * Returns undefined if the call is to be retried; else responds to the caller
   * and returns the status and error of the call.
   */
  function conclude(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    result: AttemptResult,
  ): {status: number; error?: ServingError} | undefined {
    if (result.type === 'streamed') {
      return {status: 200};
    }
    if (result.type === 'answered') {
      const isFault = isServerError(result.status);
      if (isFault && !reply.hasBegun() && retryRules.mayRerun(call, progress)) {
        return undefined;
      }
      if (reply.hasBegun()) {
        return respondWithError(
          reply,
          new ServingError('interrupted', 'the stream could not be resumed'),
        );
      }
      reply.sendResponse(result.status, result.headers, result.body);
      return {status: result.status};
    }
    if (result.type === 'declined') {
      if (retryRules.mayResend(call, progress)) {
        return undefined;
      }
      const {endpoints, runCount} = progress;
      const error = allDeclinedError(call.service, endpoints.length);
      return respondWithError(reply, withRunState(error, runCount));
    }
    const isRunPossible = result.error.run === 'may-have-run';
    const mayRetry = isRunPossible
      ? retryRules.mayRerun(call, progress)
      : retryRules.mayResend(call, progress);
    return mayRetry
      ? undefined
      : respondWithError(reply, withRunState(result.error, progress.runCount));
  }

  /**
   * Returns the migration target of the stream, or else a newly chosen
   * endpoint; undefined if there is no endpoint to choose.
   */
  function chooseTarget(
    call: ForwardedCall,
    progress: Progress,
  ): AttemptTarget | undefined {
    const {continuation} = progress;
    progress.continuation = undefined;
    if (continuation !== undefined) {
      return continuation;
    }
    const choice = chooseEndpoint(call, progress.excludedEndpoints);
    return choice && {choice};
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
    {choice, kvCache}: AttemptTarget,
  ): ServingError | undefined {
    if (progress.runCount > 0 || kvCache !== undefined) {
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
   * if the stream has ended or its caller is gone.
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
    if (result.type === 'failed' && !signal.aborted) {
      return true;
    }
    continuation.choice.finish({outcome: 'cancelled', latencyMs: 0});
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

  return {
    async forward(call, reply) {
      const progress = createProgress(clock.now());
      for (;;) {
        const verdict = crashGuard.checkSend(call, progress);
        if (verdict.type === 'quarantined') {
          const error = withRunState(
            quarantinedError(verdict),
            progress.runCount,
          );
          return toResult(respondWithError(reply, error), progress);
        }
        const target = chooseTarget(call, progress);
        if (target === undefined) {
          const error = noEndpointError(call.service);
          const rejection = withRunState(error, progress.runCount);
          return toResult(respondWithError(reply, rejection), progress);
        }
        const rejection = rejectIfTooLate(call, progress, target);
        if (rejection !== undefined) {
          return toResult(respondWithError(reply, rejection), progress);
        }
        const result = await tryTarget(call, reply, progress, target);
        if (confirmMigration(call, progress, result)) {
          continue;
        }
        const conclusion = conclude(call, reply, progress, result);
        if (conclusion !== undefined) {
          return toResult(conclusion, progress);
        }
        log.info(
          {
            request: call.attemptId,
            endpoint: target.choice.endpoint,
            end: describeResult(result),
            runs: progress.runCount,
            sends: progress.endpoints.length,
            fingerprint: progress.fingerprint,
          },
          'retrying at another endpoint',
        );
      }
    },
  };
}

function toResult(
  {status, error}: {status: number; error?: ServingError},
  {firstByteMs, endpoints, tokensAhead, firstSendAt, fingerprint}: Progress,
): ForwardingResult {
  return {
    status,
    error,
    firstByteMs,
    endpoints,
    ...(tokensAhead !== undefined && {tokensAhead}),
    ...(firstSendAt !== undefined && {firstSendAt}),
    ...(fingerprint !== undefined && {fingerprint}),
  };
}
