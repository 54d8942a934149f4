/** One attempt at one engine, until it completes, fails or is migrated. */
import {
  ServingError,
  disposableStore,
  toServingError,
  type Clock,
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
import {isAlive} from './probe.js';
import type {RequestProgress} from './progress.js';
import {createStallDetector, type StallLimits} from './stallDetector.js';
import {raceAbort} from './raceAbort.js';

type EndEvent = GenerationEvent & {readonly type: 'end'};
type Outcome = AttemptResult['outcome'];

export type AttemptEnd =
  | {readonly type: 'ended'; readonly event: EndEvent}
  | {readonly type: 'lost'; readonly error: ServingError}
  | {readonly type: 'moved'; readonly target: AttemptTarget};

export interface AttemptOptions {
  readonly clock: Clock;
  readonly limits: StallLimits;
  readonly costs: MigrationCosts;
  readonly progress: RequestProgress;
  /** Prefix of the attempt id. */
  readonly attemptIdPrefix: string;
  readonly target: AttemptTarget;
  /** Picks an endpoint other than the current one, or throws. */
  pickEndpoint(): EndpointPick;
  deliver(token: StreamToken): void | Promise<void>;
  /** The caller's signal. */
  readonly signal: AbortSignal;
}

/**
 * Runs one attempt. Rejects only when the whole request has to end: the caller
 * aborted it or a deadline passed.
 *
 * @example
 * const end = await runAttempt({clock, limits, costs, target, ...options});
 */
export async function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  const {clock, limits, costs, progress, target} = options;
  const {request, delivered} = progress;
  const {pick} = target;
  const {engine} = pick;
  const stateMachine = createAttemptStateMachine();
  beginAttempt(progress, pick, stateMachine);
  const generation = createGeneration(options);
  const disposables = disposableStore();
  const abortController = disposables.add(
    createAttemptAbortController(clock, options.signal),
  );
  const meter = createAttemptMeter({
    clock,
    costs,
    progress,
    resumedTokens: generation.delivered.length,
  });

  const stallDetector = disposables.add(
    createStallDetector({
      clock,
      limits,
      probe: () => isAlive(clock, engine, limits.probeTimeoutMs),
      onStall: message =>
        abortController.abort({
          type: 'lost',
          error: new ServingError('interrupted', message),
        }),
    }),
  );

  /** Estimated time until the answer ends; undefined while not streaming. */
  function remainingMs(): number | undefined {
    const meanGapMs = stallDetector.meanTokenGapMs();
    const isStreaming = stateMachine.current === 'streaming' && meanGapMs > 0;
    return isStreaming
      ? (request.maxTokens - delivered.length) * meanGapMs
      : undefined;
  }

  function handleFirstToken() {
    meter.recordFirstToken();
    stateMachine.send('token');
    pick.onFirstToken?.();
    firstTokenTimeout?.dispose();
  }

  async function deliver(text: string) {
    stallDetector.recordToken();
    if (!meter.hasFirstToken) {
      handleFirstToken();
    }
    const index = delivered.length;
    delivered.push(text);
    const delivery = options.deliver({index, text});
    if (delivery !== undefined) {
      stallDetector.disarm();
      await raceAbort(delivery, abortController.signal);
    }
  }

  /** Applies the verdict on an event; returns the event if it is the end. */
  async function handleVerdict(
    verdict: EventVerdict,
  ): Promise<EndEvent | undefined> {
    if (verdict.type === 'reject') {
      throw new ServingError('protocol-violation', verdict.message);
    }
    if (verdict.type === 'end') {
      meter.recordStart(verdict.event);
      return verdict.event;
    }
    if (verdict.type === 'start' && !meter.hasStarted) {
      stateMachine.send('start');
      pick.onStart?.(verdict.event.cachedTokens);
      meter.recordStart(verdict.event);
    }
    if (verdict.type === 'deliver') {
      await deliver(verdict.text);
    }
    return undefined;
  }

  async function readEvents(): Promise<EndEvent> {
    for await (const event of engine.generate(
      generation,
      abortController.signal,
    )) {
      if (abortController.reason !== undefined) {
        break;
      }
      progress.mayHaveRun = true;
      const end = await handleVerdict(
        validateEvent(event, generation, delivered),
      );
      if (end !== undefined) {
        return end;
      }
      armStallDetector();
    }
    throw new ServingError(
      'interrupted',
      'the stream ended without an end event',
    );
  }

  function armStallDetector() {
    if (meter.hasFirstToken) {
      stallDetector.arm();
      return;
    }
    const deadline =
      delivered.length === 0 ? request.firstTokenDeadline : request.deadline;
    stallDetector.armForFirstToken(
      (deadline - clock.now()) * limits.firstTokenDeadlineFraction,
    );
  }

  function finish(outcome: Outcome, cachedTokens?: number) {
    pick.finish({
      outcome,
      latencyMs: meter.latencyMs(),
      ...(cachedTokens === undefined ? {} : {cachedTokens}),
    });
  }

  function handleFailure(error: ServingError): AttemptEnd {
    if (error.run === 'may-have-run') {
      progress.mayHaveRun = true;
      // Closing the connection cancels too, but an engine may notice it late.
      engine.cancel(generation.attempt).catch(() => {});
    }
    const reason = abortController.reason ?? {type: 'lost' as const, error};
    if (reason.type === 'request-ended') {
      stateMachine.send('cancel');
      finish(reason.error.kind === 'cancelled' ? 'cancelled' : 'overloaded');
      throw reason.error;
    }
    if (reason.type === 'moved') {
      stateMachine.send('move');
      finish(meter.hasFirstToken ? 'ok' : 'cancelled');
      return reason;
    }
    stateMachine.send('lose');
    finish(outcomeOf(reason.error));
    return reason;
  }

  const firstTokenTimeout =
    delivered.length === 0
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
      attempt: generation.attempt,
      abortController,
      remainingMs,
      onPreparing: () => stateMachine.send('leave'),
      pickEndpoint: options.pickEndpoint,
    }),
  );
  armStallDetector();
  try {
    const event = await readEvents();
    stateMachine.send('end');
    finish('ok', event.cachedTokens);
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
  progress.attempts += 1;
  progress.deliveredAtAttemptStart = progress.delivered.length;
  progress.endpoint = pick.endpoint;
  progress.stateMachine = stateMachine;
}

function createGeneration({
  attemptIdPrefix,
  progress,
  target,
}: AttemptOptions): GenerationRequest {
  const {request, delivered, attempts} = progress;
  return {
    attempt: `${attemptIdPrefix}${request.id}#${attempts}`,
    prompt: request.prompt,
    maxTokens: request.maxTokens,
    urgency: request.urgency,
    seed: request.seed,
    delivered: [...delivered],
    ...(target.importedCache === undefined
      ? {}
      : {importedCache: target.importedCache}),
  };
}

function outcomeOf(error: ServingError): Outcome {
  if (error.kind === 'endpoint-unavailable') {
    return 'unreachable';
  }
  return error.kind === 'overloaded' ? 'overloaded' : 'failed';
}
