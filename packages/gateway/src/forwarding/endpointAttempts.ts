/** Attempts of requests at endpoints: running them and learning from them. */
import type {Clock, Event} from '@skylarkfield/base';
import type {
  Choice,
  CrashQuarantine,
  EndpointReach,
  Router,
  SlotShares,
  WarmUps,
} from '@skylarkfield/routing';
import type {RegisteredEndpoint} from '@skylarkfield/traffic';
import {runAttempt} from '../attempts/attempt.js';
import type {AttemptResult} from '../attempts/attemptResult.js';
import {createAttemptEvidence} from '../attempts/attemptEvidence.js';
import {
  isReceived,
  mayHaveRun,
  outcomeOf,
  unavailableError,
  wasLeft,
  type AttemptOutcome,
} from '../attempts/attemptOutcome.js';
import type {EndConfirmation} from '../attempts/endConfirmation.js';
import type {CallerReply} from '../callers/callerReply.js';
import type {CallFormat, ResponseHead} from '../contracts.js';
import type {EndpointReports} from '../endpoints/endpointReports.js';
import type {CrashGuard} from '../crashes/crashGuard.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {
  EngineObserver,
  AttemptObserver,
} from '../endpoints/engineObserver.js';
import {
  createEndpointTargets,
  type EndpointTarget,
  type EndpointTargets,
} from './endpointTargets.js';
import type {ForwardedCall} from './forwardedCall.js';
import type {RacingAttempt} from '../attempts/hedging.js';
import type {Progress, RetryRules} from './retryRules.js';
import {
  createStillEndpoints,
  type StillnessWatch,
} from '../reach/stillEndpoints.js';
import type {
  Continuation,
  StreamMigrator,
  WatchedStream,
} from './streamMigration.js';
import type {Upstreams} from '../attempts/upstream.js';

export interface EndpointAttempts extends EndpointTargets {
  /** Runs one attempt at the target and records its outcome. */
  run(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    target: EndpointTarget,
    racingAttempt: RacingAttempt,
  ): Promise<AttemptResult>;
}

/** Dependencies of the attempts of one entry. */
export interface EndpointAttemptOptions {
  readonly router: Router;
  readonly endpointReports: EndpointReports;
  readonly slotShares: Pick<SlotShares, 'recordRejection'>;
  readonly warmUps: Pick<WarmUps, 'recordUnreachable'>;
  readonly crashQuarantine: CrashQuarantine;
  readonly crashGuard: CrashGuard;
  readonly retryRules: RetryRules;
  readonly reach: EndpointReach;
  readonly directory: EndpointDirectory;
  readonly upstreams: Upstreams;
  readonly endConfirmation: EndConfirmation;
  readonly migrator: StreamMigrator;
  readonly engineObserver: EngineObserver;
  readonly format: CallFormat;
  readonly clock: Clock;
  /** Fires with the router key of an endpoint that gets no further requests. */
  readonly onDidStopAccepting: Event<string>;
  /** Whether a rollout of the service is in progress. */
  isRollingOut(service: string): boolean;
  /** Called once per call, with the wall-clock time at which the call ran. */
  onDidRun(customer: string | undefined, wallMs: number): void;
}

/** Status with which an endpoint declines a request because it is full. */
const FULL_STATUS = 503;

/** An attempt that is running. */
interface RunningAttempt {
  readonly endpoint: RegisteredEndpoint;
  readonly observer: AttemptObserver;
  readonly watchedStream: WatchedStream;
  readonly stillnessWatch: StillnessWatch;
  /** Time without data after which it has stalled; undefined if it never does. */
  readonly stallTimeoutMs: number | undefined;
  readonly sentAt: number;
  readonly sentWallMs: number;
  /** Slowness of the endpoint's host when the attempt was sent. */
  readonly slownessAtSend: number;
  /** Monotonic milliseconds of the first byte or event. */
  beganAt: number | undefined;
}

/**
 * Creates the attempts of one entry.
 *
 * @example
 * const target = attempts.chooseTarget(call, progress);
 * const result = target && await attempts.run(call, reply, progress, target);
 */
export function createEndpointAttempts(
  options: EndpointAttemptOptions,
): EndpointAttempts {
  const {directory, reach, format, clock} = options;
  const targets = createEndpointTargets(options);
  const evidence = createAttemptEvidence(options);
  const stillEndpoints = createStillEndpoints(options);

  function startAttempt(
    call: ForwardedCall,
    progress: Progress,
    {choice, kvCache}: EndpointTarget,
    endpoint: RegisteredEndpoint,
    lastEventId: string | undefined,
  ): RunningAttempt {
    progress.endpoints.push(endpoint.id);
    progress.excludedEndpoints.add(choice.endpoint);
    progress.lastEndpoint = choice.endpoint;
    progress.tokensAhead ??= choice.tokensAhead;
    const sentAt = clock.now();
    progress.firstSendAt ??= sentAt;
    progress.hasFailedToConnect = false;
    const isFresh = kvCache === undefined && lastEventId === undefined;
    const attempt: RunningAttempt = {
      endpoint,
      observer: options.engineObserver.observe(call, choice, isFresh),
      watchedStream: options.migrator.watch({
        endpoint: choice.endpoint,
        attemptId: call.attemptId,
        hasBegun: () => isStream(call) && attempt.beganAt !== undefined,
        chooseEndpoint: () => targets.chooseMigrationTarget(call, progress),
      }),
      stillnessWatch: stillEndpoints.watch(
        call.service,
        choice.endpoint,
        () => attempt.beganAt !== undefined,
      ),
      stallTimeoutMs: options.retryRules.stallTimeoutMs(call, progress),
      sentAt,
      sentWallMs: clock.wall(),
      slownessAtSend: choice.slowness(),
      beganAt: undefined,
    };
    return attempt;
  }

  /**
   * Counts a call once over all its attempts. A stream counts as run at its
   * first event, any other call at its first send that may have run.
   */
  function countRun(
    call: ForwardedCall,
    progress: Progress,
    wallMs: number,
  ): void {
    if (!progress.isCounted) {
      progress.isCounted = true;
      options.onDidRun(call.customer, wallMs);
    }
  }

  /** Records the time to the first byte of the first response that begins. */
  function recordFirstByte(
    progress: Progress,
    choice: Choice,
    {sentAt, slownessAtSend}: RunningAttempt,
    beganAt: number,
  ): void {
    if (progress.firstByteMs !== undefined) {
      return;
    }
    const slowness = Math.max(slownessAtSend, choice.slowness());
    progress.firstByteMs = beganAt - progress.startedAt;
    progress.hostDelayMs = (beganAt - sentAt) * (1 - 1 / slowness);
  }

  function recordBegin(
    call: ForwardedCall,
    progress: Progress,
    choice: Choice,
    attempt: RunningAttempt,
    head: ResponseHead,
  ): void {
    recordWait(progress, attempt);
    attempt.beganAt = clock.now();
    // What the endpoint says of its host applies to this response as well.
    options.endpointReports.recordLoad(choice.endpoint, head);
    call.placement?.recordBegin(choice.endpoint, head.load);
    attempt.observer.recordBegin();
    recordFirstByte(progress, choice, attempt, attempt.beganAt);
    choice.recordFirstToken();
    countRun(
      call,
      progress,
      isStream(call) ? clock.wall() : attempt.sentWallMs,
    );
  }

  function send(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    {choice, kvCache}: EndpointTarget,
    attempt: RunningAttempt,
    lastEventId: string | undefined,
    {race, onDidStall}: RacingAttempt,
  ): Promise<AttemptResult> {
    const {endpoint, observer, watchedStream, stallTimeoutMs, sentAt} = attempt;
    const {goalMs, longestPauseMs} = call.route;
    const exchange = reach.beginExchange(
      call.service,
      choice.endpoint,
      Math.max(goalMs, longestPauseMs),
    );
    return runAttempt({
      address: endpoint.address,
      request: {
        method: call.method,
        path: call.path,
        headers: format.buildUpstreamHeaders(call.rawHeaders, {
          timeoutMs: Math.max(1, Math.floor(call.deadlineAt - sentAt)),
          endpointId: endpoint.id,
          customer: call.customer,
          urgency: call.urgency,
          lastEventId,
          kvCache,
        }),
        body: call.body,
      },
      attemptId: call.attemptId,
      upstreams: options.upstreams,
      // The target of a migration holds a slot for the stream.
      connectionClass: kvCache === undefined ? 'shared' : 'reserved',
      format,
      clock,
      signal: call.signal,
      sink: isStream(call) ? observer.wrap(reply.sink) : undefined,
      race,
      stallTimeoutMs,
      onDidStall(stall) {
        observer.recordStall();
        if (!watchedStream.isMigrating()) {
          onDidStall(stall);
        }
      },
      onDidLosePath: listener =>
        reach.onDidCutOff(service => service === call.service && listener()),
      onDidStopAccepting: listener =>
        options.onDidStopAccepting(
          key => key === choice.endpoint && listener(),
        ),
      isStopRequested: watchedStream.isStopRequested,
      confirmEnd(signal) {
        call.onDidEndWork?.(choice.endpoint, progress.firstByteMs);
        return options.endConfirmation.confirm(
          endpoint.address,
          call.route.kind,
          signal,
        );
      },
      onDidReceive(mayHaveWaited) {
        exchange.recordContact();
        if (attempt.beganAt !== undefined && !mayHaveWaited) {
          options.endpointReports.recordData(choice.endpoint, sentAt);
        }
      },
      onDidRespond: head =>
        options.endpointReports.recordHead(choice.endpoint, head, sentAt),
      onDidBegin: head => recordBegin(call, progress, choice, attempt, head),
    }).finally(() => exchange.dispose());
  }

  /** Records whether the call waited in vain for its response to begin. */
  function recordWait(
    progress: Progress,
    {beganAt, stillnessWatch}: RunningAttempt,
  ): void {
    progress.hasWaitedForStill ||=
      beganAt === undefined && stillnessWatch.isStill();
  }

  /** Records a failure, unless the endpoint may only have stood still. */
  function recordFailure(
    progress: Progress,
    {endpoint}: Choice,
    attempt: RunningAttempt,
    result: AttemptResult,
    outcome: AttemptOutcome,
  ): void {
    if (outcome === 'ok' || outcome === 'cancelled') {
      return;
    }
    const {stillnessWatch, stallTimeoutMs} = attempt;
    const silentMs = wasLeft(result) ? stallTimeoutMs : undefined;
    if (silentMs !== undefined && stillnessWatch.isStillAfter(silentMs)) {
      progress.stillEndpoints.push(endpoint);
      return;
    }
    progress.hasFailedAttempt = true;
  }

  function recordEnd(
    call: ForwardedCall,
    progress: Progress,
    {choice, kvCache}: EndpointTarget,
    attempt: RunningAttempt,
    result: AttemptResult,
    isMigrated: boolean,
  ): void {
    const latencyMs = (attempt.beganAt ?? clock.now()) - attempt.sentAt;
    // The endpoint stopped a migrated stream on request, so the end of the
    // stream is not a failure of the endpoint.
    const outcome = isMigrated ? 'ok' : outcomeOf(result);
    choice.finish({
      outcome: outcome !== 'ok' && isCutOff(call) ? 'cancelled' : outcome,
      latencyMs,
    });
    recordWait(progress, attempt);
    recordFailure(progress, choice, attempt, result, outcome);
    progress.hasFailedToConnect = outcome === 'unreachable';
    if (progress.hasFailedToConnect) {
      reach.recordConnectFailure(call.service, choice.endpoint);
    }
    attempt.observer.recordEnd();
    if (result.type === 'withdrawn') {
      // The endpoint has not received the request.
      progress.endpoints.splice(
        progress.endpoints.lastIndexOf(attempt.endpoint.id),
        1,
      );
      return;
    }
    if (result.type === 'declined' && result.status === FULL_STATUS) {
      options.slotShares.recordRejection(choice.endpoint);
    }
    if (result.type === 'failed' && result.loss === 'closed') {
      progress.fingerprint = call.fingerprint();
    }
    if (!attempt.watchedStream.isStopRequested()) {
      const answeredForMs =
        attempt.beganAt === undefined ? 0 : clock.now() - attempt.beganAt;
      evidence.record(call, choice.endpoint, result, answeredForMs);
    }
    if (kvCache !== undefined) {
      return;
    }
    progress.receivedCount += isReceived(result) ? 1 : 0;
    if (mayHaveRun(result)) {
      progress.runCount += 1;
      // A call that was lost with the paths has hardly reached its endpoint.
      if (!isStream(call) && !isCutOff(call)) {
        countRun(call, progress, attempt.sentWallMs);
      }
    }
  }

  function isCutOff({service}: ForwardedCall): boolean {
    return reach.stateOf(service) === 'cut-off';
  }

  return {
    ...targets,
    async run(call, reply, progress, target, racingAttempt) {
      const {choice} = target;
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
      const resumedId = reply.lastEventId() ?? call.head.lastEventId;
      const lastEventId =
        resumedId === undefined ? undefined : String(resumedId);
      const attempt = startAttempt(
        call,
        progress,
        target,
        endpoint,
        lastEventId,
      );
      const result = await send(
        call,
        reply,
        progress,
        target,
        attempt,
        lastEventId,
        racingAttempt,
      );
      attempt.watchedStream.dispose();
      attempt.stillnessWatch.dispose();
      const continuation = await attempt.watchedStream.continuation();
      keepContinuation(progress, continuation, racingAttempt);
      const isMigrated = continuation !== undefined;
      recordEnd(call, progress, target, attempt, result, isMigrated);
      return result;
    },
  };
}

/** Keeps the migration target of the attempt that decides on the call. */
function keepContinuation(
  progress: Progress,
  continuation: Continuation | undefined,
  {race}: RacingAttempt,
): void {
  if (race.isSuperseded() || progress.continuation !== undefined) {
    continuation?.drop();
    return;
  }
  progress.continuation = continuation;
}

function isStream({route}: ForwardedCall): boolean {
  return route.kind === 'streaming';
}
