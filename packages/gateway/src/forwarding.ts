/** Forwards an admitted request, with retries at other endpoints. */
import {ServingError, type Clock, type Logger} from '@skylarkfield/base';
import type {AdmissionController} from '@skylarkfield/admission';
import type {
  Choice,
  CrashQuarantine,
  RateLimits,
  Router,
} from '@skylarkfield/routing';
import {ownTokens, type Route} from '@skylarkfield/traffic';
import {runAttempt, type AttemptEnd} from './attempt.js';
import {
  describeEnd,
  isServerError,
  rateLimited,
  mayHaveRun,
  waitTooLong,
  allDeclined,
  outcomeOf,
  quarantined,
  unavailable,
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
  readonly urgency: number | undefined;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  /** Identical for all attempts of the caller; computed on first use. */
  fingerprint(): string;
  /** Keys of the prompt's shared parts; empty for a plain service. */
  readonly promptKeys: readonly string[];
  /** Monotonic milliseconds. */
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
  readonly firstMs: number | undefined;
  /** Endpoints that the call was sent to, in order. */
  readonly endpoints: readonly string[];
  /** Monotonic milliseconds of the first send; undefined if there was none. */
  readonly firstSendAt?: number;
  /** Prompt tokens queued at the first endpoint before the call was sent. */
  readonly tokensAhead?: number;
  /** Set if an endpoint closed its connection during the request. */
  readonly fingerprint?: string;
  /** Undefined if an endpoint's complete response was passed on. */
  readonly error: ServingError | undefined;
}

export interface Forwarding {
  forward(call: ForwardedCall, reply: CallerReply): Promise<ForwardingResult>;
}

/** The endpoint of an attempt, and the KV cache it resumes from. */
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
  readonly crashQuarantine: CrashQuarantine;
  readonly directory: EndpointDirectory;
  readonly admission: AdmissionController;
  readonly upstreams: Upstreams;
  readonly migrator: StreamMigrator;
  readonly engineObserver: EngineObserver;
  readonly format: CallFormat;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called with the wall-clock time at which a request started to run. */
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
  const rules = createRetryRules({admission: options.admission, clock});

  /** Chooses an endpoint of the call's version group, else an incumbent. */
  function choose(call: ForwardedCall, excluded: ReadonlySet<string>) {
    const {demand} = call.head;
    const routingRequest = {
      service: call.service,
      version: call.version,
      blocks: call.promptKeys,
      promptTokens: demand?.promptTokens ?? 0,
      ...(demand && {ownTokens: ownTokens(demand)}),
      ...(call.urgency !== undefined && {urgency: call.urgency}),
      excluded,
      isSuspected: crashGuard.isSuspected(call),
    };
    return (
      router.choose(routingRequest) ??
      router.choose({...routingRequest, version: 'incumbent'})
    );
  }

  async function attempt(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    {choice, kvCache}: AttemptTarget,
  ): Promise<AttemptEnd> {
    const endpoint = directory.get(choice.endpoint);
    if (endpoint === undefined) {
      choice.finish({outcome: 'unreachable', latencyMs: 0});
      return {
        type: 'failed',
        error: unavailable(
          call.service,
          'the chosen endpoint was just removed',
        ),
      };
    }
    progress.endpoints.push(endpoint.id);
    progress.excluded.add(choice.endpoint);
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
      choose: () =>
        crashGuard.isQuarantined(call)
          ? undefined
          : choose(call, progress.excluded),
    });
    const end = await runAttempt({
      address: endpoint.address,
      request: {
        method: call.method,
        path: call.path,
        headers: format.upstreamHeaders(call.rawHeaders, {
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
      idleTimeoutMs: rules.idleTimeoutMs(call, progress),
      isStopRequested: watchedStream.isStopRequested,
      onDidRespond({limitPerSecond}) {
        options.rateLimits.recordLimit(choice.endpoint, limitPerSecond);
        options.crashQuarantine.recordResponse(choice.endpoint, sentAt);
      },
      onDidBegin(head) {
        beganAt = clock.now();
        observer.recordBegin();
        progress.firstMs ??= beganAt - progress.startedAt;
        choice.recordFirstToken();
        recordLoad(choice.endpoint, head);
        countRun(isStream ? clock.wall() : sentWallMs);
      },
    });
    watchedStream.dispose();
    progress.continuation = await watchedStream.continuation();
    const latencyMs = (beganAt ?? clock.now()) - sentAt;
    // A migrated stream ended because its endpoint was ordered to stop it.
    const outcome = progress.continuation ? 'ok' : outcomeOf(end);
    choice.finish({outcome, latencyMs});
    observer.recordEnd();
    if (end.type === 'failed' && end.loss === 'closed') {
      progress.fingerprint = call.fingerprint();
    }
    if (!watchedStream.isStopRequested()) {
      crashGuard.recordAttemptEnd(call, choice.endpoint, end);
    }
    if (mayHaveRun(end) && kvCache === undefined) {
      progress.runs += 1;
      if (!isStream) {
        countRun(sentWallMs);
      }
    }
    return end;

    /**
     * Counts a call once over all attempts. A stream counts as run at its first
     * event, any other call at its send.
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
    router.reportLoad(endpoint, {
      sequence: loadReportCount,
      ...load,
      waitingPromptTokens: 0,
      cacheUse: 0,
    });
  }

  /** Returns the final result of the call, or undefined to retry. */
  function conclude(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    end: AttemptEnd,
  ): {status: number; error?: ServingError} | undefined {
    if (end.type === 'streamed') {
      return {status: 200};
    }
    if (end.type === 'answered') {
      const isFault = isServerError(end.status);
      if (isFault && !reply.hasBegun() && rules.mayRerun(call, progress)) {
        return undefined;
      }
      if (reply.hasBegun()) {
        return respondWithError(
          reply,
          new ServingError('interrupted', 'the stream could not be resumed'),
        );
      }
      reply.sendWhole(end.status, end.headers, end.body);
      return {status: end.status};
    }
    if (end.type === 'declined') {
      if (rules.mayResend(call, progress)) {
        return undefined;
      }
      const {endpoints, runs} = progress;
      const error = allDeclined(call.service, endpoints.length);
      return respondWithError(reply, withRunState(error, runs));
    }
    const hasRun = end.error.run === 'may-have-run';
    const mayRetry = hasRun
      ? rules.mayRerun(call, progress)
      : rules.mayResend(call, progress);
    return mayRetry
      ? undefined
      : respondWithError(reply, withRunState(end.error, progress.runs));
  }

  function nextTarget(
    call: ForwardedCall,
    progress: Progress,
  ): AttemptTarget | undefined {
    const {continuation} = progress;
    progress.continuation = undefined;
    if (continuation !== undefined) {
      return continuation;
    }
    const choice = choose(call, progress.excluded);
    return choice && {choice};
  }

  /** Returns the reason why no endpoint can be tried. */
  function noEndpointError(service: string): ServingError {
    const waitMs = router.rateLimitWaitMs(service);
    return waitMs === undefined
      ? unavailable(service, 'none is left to try')
      : rateLimited(service, waitMs);
  }

  /**
   * Rejects a request that has not run yet and cannot be answered before its
   * deadline even at the best endpoint: the caller gets Retry-After early, and
   * no capacity is wasted on it.
   */
  function rejectIfTooLate(
    call: ForwardedCall,
    progress: Progress,
    {choice, kvCache}: AttemptTarget,
  ): ServingError | undefined {
    if (progress.runs > 0 || kvCache !== undefined) {
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
    return waitTooLong(call.service, wait);
  }

  /** Whether the request continues at its migration target. */
  function isMigrated(
    {signal}: ForwardedCall,
    progress: Progress,
    end: AttemptEnd,
  ): boolean {
    const {continuation} = progress;
    if (continuation === undefined) {
      return false;
    }
    if (end.type === 'failed' && !signal.aborted) {
      return true;
    }
    continuation.choice.finish({outcome: 'cancelled', latencyMs: 0});
    progress.continuation = undefined;
    return false;
  }

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
          const error = withRunState(quarantined(verdict), progress.runs);
          return toResult(respondWithError(reply, error), progress);
        }
        const target = nextTarget(call, progress);
        if (target === undefined) {
          const error = noEndpointError(call.service);
          const rejection = withRunState(error, progress.runs);
          return toResult(respondWithError(reply, rejection), progress);
        }
        const rejection = rejectIfTooLate(call, progress, target);
        if (rejection !== undefined) {
          return toResult(respondWithError(reply, rejection), progress);
        }
        const end = await attempt(call, reply, progress, target);
        if (isMigrated(call, progress, end)) {
          continue;
        }
        const conclusion = conclude(call, reply, progress, end);
        if (conclusion !== undefined) {
          return toResult(conclusion, progress);
        }
        log.info(
          {
            request: call.attemptId,
            endpoint: target.choice.endpoint,
            end: describeEnd(end),
            runs: progress.runs,
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
  {firstMs, endpoints, tokensAhead, firstSendAt, fingerprint}: Progress,
): ForwardingResult {
  return {
    status,
    error,
    firstMs,
    endpoints,
    ...(tokensAhead !== undefined && {tokensAhead}),
    ...(firstSendAt !== undefined && {firstSendAt}),
    ...(fingerprint !== undefined && {fingerprint}),
  };
}
