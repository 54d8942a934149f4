/** One attempt at one engine, until it completes, fails or is migrated. */
import {
  ServingError,
  createDisposableStore,
  toDisposable,
  toServingError,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {
  AttemptResult,
  GenerationRequest,
  GenerationEvent,
} from '@skylarkfield/endpoints';
import {createAttemptStateMachine} from './attemptMachine.js';
import {createAttemptAbortController} from './attemptAbortController.js';
import {createAttemptMeter} from './attemptMeter.js';
import type {EndpointPick, StreamToken} from './contracts.js';
import {validateEvent, type EventVerdict} from './eventValidation.js';
import {migrateWhenLeaving} from './leavingMigration.js';
import type {MigrationCosts} from './migrationCosts.js';
import type {AttemptTarget} from './migration.js';
import {probeLiveness} from './probe.js';
import type {RequestProgress} from './progress.js';
import {createStallDetector, type StallLimits} from './stallDetector.js';
import {raceAbort} from './raceAbort.js';

type EndEvent = GenerationEvent & {readonly type: 'end'};
type Outcome = AttemptResult['outcome'];

/** Why an attempt failed or stalled. */
export interface AttemptFailure {
  readonly error: ServingError;
  /** Whether the attempt has delivered a token. */
  readonly hasProgress: boolean;
  /** Whether the engine responds to probes; undefined if not known. */
  readonly isResponding?: boolean;
}

/** How an attempt ended: completed, failed, migrated or superseded. */
export type AttemptEnd =
  | {readonly type: 'ended'; readonly event: EndEvent}
  | ({readonly type: 'lost'} & AttemptFailure)
  | {readonly type: 'moved'; readonly target: AttemptTarget}
  | {readonly type: 'superseded'};

/** Control of a stalled attempt. */
export interface StalledAttempt {
  /** Waits for tokens again, as the engine responds again. */
  rearm(): void;
  /**
   * Finishes the pick as failed, as another engine responds; the attempt stays
   * open. Otherwise further requests would be sent to the silent engine.
   */
  finishPick(): void;
}

export interface AttemptOptions {
  readonly clock: Clock;
  readonly limits: StallLimits;
  readonly costs: MigrationCosts;
  readonly progress: RequestProgress;
  /** Prepended to the attempt id to make it unique across entries. */
  readonly attemptIdPrefix: string;
  readonly target: AttemptTarget;
  /** Picks an endpoint other than `target`'s; throws if none is available. */
  pickEndpoint(): EndpointPick;
  deliver(token: StreamToken): void | Promise<void>;
  /**
   * Called before each token and before the end event; supersedes all other
   * open attempts of the request.
   */
  claim(): void;
  /** Called when the engine has stalled; the attempt stays open. */
  onStall(failure: AttemptFailure, attempt: StalledAttempt): void;
  /** Aborts when another attempt has sent the next event. */
  readonly supersededSignal: AbortSignal;
  /** Aborts when the caller aborts the request. */
  readonly signal: AbortSignal;
}

/**
 * Runs one attempt, which stays open when its engine stalls: only a superseding
 * attempt or the request's deadline ends it then. Rejects only when the whole request has to end, because the
 * caller aborted it or a deadline passed.
 *
 * @example
 * const end = await runAttempt({clock, limits, costs, target, ...options});
 */
export async function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  const {clock, limits, costs, progress, target} = options;
  const {request, deliveredTokens} = progress;
  const {pick} = target;
  const {engine} = pick;
  const stateMachine = createAttemptStateMachine();
  beginAttempt(progress, pick, stateMachine);
  const generationRequest = createGenerationRequest(options);
  const disposables = createDisposableStore();
  const abortController = disposables.add(
    createAttemptAbortController(clock, options.signal),
  );
  /** Set while the engine is stalled. */
  let stallError: ServingError | undefined;
  let isPickFinished = false;
  const meter = createAttemptMeter({
    clock,
    costs,
    progress,
    resumedTokens: generationRequest.delivered.length,
  });

  const stallDetector = disposables.add(
    createStallDetector({
      clock,
      limits,
      probe: () => probeLiveness(clock, engine, limits.probeTimeoutMs),
      onStall({message, isResponding}) {
        stallError = new ServingError('interrupted', message);
        const hasProgress = meter.hasFirstToken;
        options.onStall(
          {error: stallError, hasProgress, isResponding},
          {rearm, finishPick: () => finishPick('failed')},
        );
      },
    }),
  );

  function rearm() {
    stallError = undefined;
    armStallDetector(limits.firstTokenProbeDelayMs * limits.stallTimeoutFactor);
  }

  function claim() {
    stallError = undefined;
    progress.endpoint = pick.endpoint;
    progress.stateMachine = stateMachine;
    options.claim();
  }

  /**
   * Estimated milliseconds until the answer reaches `maxTokens`; undefined
   * while the engine sends no tokens.
   */
  function remainingMs(): number | undefined {
    const meanGapMs = stallDetector.meanTokenGapMs();
    const isStreaming = stateMachine.current === 'streaming' && meanGapMs > 0;
    return isStreaming
      ? (request.maxTokens - deliveredTokens.length) * meanGapMs
      : undefined;
  }

  function handleFirstToken() {
    meter.recordFirstToken();
    stateMachine.send('token');
    pick.onFirstToken?.();
    firstTokenTimeout?.dispose();
  }

  async function deliverToken(text: string) {
    stallDetector.recordToken();
    if (!meter.hasFirstToken) {
      handleFirstToken();
    }
    const index = deliveredTokens.length;
    deliveredTokens.push(text);
    const delivery = options.deliver({index, text});
    if (delivery !== undefined) {
      stallDetector.disarm();
      await raceAbort(delivery, abortController.signal);
    }
  }

  /** Applies the verdict on an event; returns the event if it is `end`. */
  async function handleVerdict(
    verdict: EventVerdict,
  ): Promise<EndEvent | undefined> {
    if (verdict.type === 'reject') {
      throw new ServingError('protocol-violation', verdict.message);
    }
    if (verdict.type === 'end') {
      claim();
      meter.recordStart(verdict.event);
      return verdict.event;
    }
    if (verdict.type === 'start' && !meter.hasStarted) {
      stateMachine.send('start');
      pick.onStart?.(verdict.event.cachedTokens);
      meter.recordStart(verdict.event);
    }
    if (verdict.type === 'deliver') {
      claim();
      await deliverToken(verdict.text);
    }
    return undefined;
  }

  async function readEvents(): Promise<EndEvent> {
    for await (const event of engine.generate(
      generationRequest,
      abortController.signal,
    )) {
      if (abortController.reason !== undefined) {
        break;
      }
      progress.mayHaveRun = true;
      const endEvent = await handleVerdict(
        validateEvent(event, generationRequest, deliveredTokens),
      );
      if (endEvent !== undefined) {
        return endEvent;
      }
      armStallDetector();
    }
    throw new ServingError(
      'interrupted',
      'the stream ended without an end event',
    );
  }

  function armStallDetector(maxFirstTokenMs = Number.POSITIVE_INFINITY) {
    if (meter.hasFirstToken) {
      stallDetector.arm();
      return;
    }
    const deadline =
      deliveredTokens.length === 0
        ? request.firstTokenDeadline
        : request.deadline;
    const remainingMs = deadline - clock.now();
    stallDetector.armForFirstToken(
      Math.min(
        maxFirstTokenMs,
        remainingMs * limits.firstTokenDeadlineFraction,
      ),
    );
  }

  function finishPick(outcome: Outcome, cachedTokens?: number) {
    if (isPickFinished) {
      return;
    }
    isPickFinished = true;
    pick.finish({
      outcome,
      latencyMs: meter.latencyMs(),
      ...(cachedTokens === undefined ? {} : {cachedTokens}),
    });
  }

  function handleFailure(error: ServingError): AttemptEnd {
    if (error.run === 'may-have-run') {
      progress.mayHaveRun = true;
      // Closing the connection also cancels the attempt, but an engine may
      // notice a closed connection late.
      engine.cancel(generationRequest.attempt).catch(() => {});
    }
    const reason = abortController.reason ?? {type: 'lost' as const, error};
    if (reason.type === 'request-ended') {
      stateMachine.send('cancel');
      finishPick(
        reason.error.kind === 'cancelled' ? 'cancelled' : 'overloaded',
      );
      throw reason.error;
    }
    if (reason.type === 'moved') {
      stateMachine.send('move');
      finishPick(meter.hasFirstToken ? 'ok' : 'cancelled');
      return reason;
    }
    if (reason.type === 'superseded') {
      stateMachine.send('cancel');
      finishPick('cancelled');
      return reason;
    }
    stateMachine.send('lose');
    finishPick(outcomeOf(reason.error));
    return {...reason, hasProgress: meter.hasFirstToken};
  }

  const firstTokenTimeout =
    deliveredTokens.length === 0
      ? abortController.abortAt(
          request.firstTokenDeadline,
          'no token was received before the first-token deadline',
        )
      : undefined;
  abortController.abortAt(
    request.deadline,
    'the answer was not complete before its deadline',
  );
  disposables.add(
    migrateWhenLeaving({
      clock,
      costs,
      pick,
      attemptId: generationRequest.attempt,
      abortController,
      remainingMs,
      onPreparing: () => stateMachine.send('leave'),
      pickEndpoint: options.pickEndpoint,
    }),
  );
  disposables.add(
    onAbort(options.supersededSignal, () =>
      abortController.abort(
        stallError === undefined
          ? {type: 'superseded'}
          : {type: 'lost', error: stallError},
      ),
    ),
  );
  armStallDetector();
  try {
    const event = await readEvents();
    stateMachine.send('end');
    finishPick('ok', event.cachedTokens);
    return {type: 'ended', event};
  } catch (caught) {
    return handleFailure(toServingError(caught));
  } finally {
    disposables.dispose();
  }
}

function beginAttempt(
  progress: RequestProgress,
  pick: EndpointPick,
  stateMachine: RequestProgress['stateMachine'],
) {
  progress.attemptCount += 1;
  progress.endpoint = pick.endpoint;
  progress.stateMachine = stateMachine;
}

function createGenerationRequest({
  attemptIdPrefix,
  progress,
  target,
}: AttemptOptions): GenerationRequest {
  const {request, deliveredTokens, attemptCount} = progress;
  return {
    attempt: `${attemptIdPrefix}${request.id}#${attemptCount}`,
    prompt: request.prompt,
    maxTokens: request.maxTokens,
    urgency: request.urgency,
    seed: request.seed,
    delivered: [...deliveredTokens],
    ...(target.importedCache === undefined
      ? {}
      : {importedCache: target.importedCache}),
  };
}

function onAbort(signal: AbortSignal, listener: () => void): Disposable {
  signal.addEventListener('abort', listener, {once: true});
  return toDisposable(() => signal.removeEventListener('abort', listener));
}

function outcomeOf(error: ServingError): Outcome {
  if (error.kind === 'endpoint-unavailable') {
    return 'unreachable';
  }
  return error.kind === 'overloaded' ? 'overloaded' : 'failed';
}
