/** Runs one attempt at one engine to its end, its loss or its move. */
import {
  ServingError,
  disposableStore,
  toServingError,
  type Clock,
} from '@skylarkfield/base';
import type {
  AttemptResult,
  Generation,
  GenerationEvent,
} from '@skylarkfield/endpoints';
import {createAttemptStates} from './attemptMachine.js';
import {createAttemptStop} from './attemptStop.js';
import {createAttemptWork} from './attemptWork.js';
import type {StreamPlace, StreamToken} from './contracts.js';
import {judgeEvent, type Judgement} from './eventJudgement.js';
import {followLeaving} from './leavingMove.js';
import type {MoveCosts} from './moveCosts.js';
import type {PreparedPlace} from './movePlan.js';
import {isAlive} from './probe.js';
import type {Progress} from './progress.js';
import {createStallWatch, type StallLimits} from './stallWatch.js';
import {untilAborted} from './untilAborted.js';

type EndEvent = GenerationEvent & {readonly type: 'end'};
type Outcome = AttemptResult['outcome'];

export type AttemptEnd =
  | {readonly type: 'ended'; readonly event: EndEvent}
  | {readonly type: 'lost'; readonly error: ServingError}
  | {readonly type: 'moved'; readonly to: PreparedPlace};

export interface AttemptOptions {
  readonly clock: Clock;
  readonly limits: StallLimits;
  readonly costs: MoveCosts;
  readonly progress: Progress;
  /** Start of the attempt's id. */
  readonly prefix: string;
  readonly at: PreparedPlace;
  /** Takes a place other than this one; throws when there is none. */
  takePlace(): StreamPlace;
  deliver(token: StreamToken): void | Promise<void>;
  /** The caller's signal. */
  readonly signal: AbortSignal;
}

/**
 * Runs one attempt. Rejects only when the request as a whole has to end:
 * the caller went or a deadline passed.
 *
 * @example
 * const end = await runAttempt({clock, limits, costs, progress, at, ...hooks});
 */
export async function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  const {clock, limits, costs, progress, at} = options;
  const {request, delivered} = progress;
  const {place} = at;
  const {engine} = place;
  const states = createAttemptStates();
  beginAttempt(progress, place, states);
  const generation = toGeneration(options);
  const owned = disposableStore();
  const stop = owned.add(createAttemptStop(clock, options.signal));
  const work = createAttemptWork({
    clock,
    costs,
    progress,
    givenTokens: generation.delivered.length,
  });

  const watch = owned.add(
    createStallWatch({
      clock,
      limits,
      probe: () => isAlive(clock, engine, limits.probeMs),
      stalled: why =>
        stop.stop({
          type: 'lost',
          error: new ServingError('interrupted', why),
        }),
    }),
  );

  /** Milliseconds until the answer ends, by its usual pace; undefined before it streams. */
  function remainingMs(): number | undefined {
    const gapMs = watch.gapMs();
    const isStreaming = states.current === 'streaming' && gapMs > 0;
    return isStreaming
      ? (request.maxTokens - delivered.length) * gapMs
      : undefined;
  }

  function noteFirstToken() {
    work.firstToken();
    states.send('token');
    place.streaming?.();
    firstTokenLimit?.dispose();
  }

  async function deliver(text: string) {
    watch.touch();
    if (!work.hasToken) {
      noteFirstToken();
    }
    const index = delivered.length;
    delivered.push(text);
    const held = options.deliver({index, text});
    if (held !== undefined) {
      watch.disarm();
      await untilAborted(held, stop.signal);
    }
  }

  /** Takes one event; the end event when it was the last. */
  async function take(judgement: Judgement): Promise<EndEvent | undefined> {
    if (judgement.type === 'reject') {
      throw new ServingError('protocol-violation', judgement.why);
    }
    if (judgement.type === 'end') {
      work.started(judgement.event);
      return judgement.event;
    }
    if (judgement.type === 'start' && !work.isStartSeen) {
      states.send('start');
      place.started?.(judgement.event.cachedTokens);
      work.started(judgement.event);
    }
    if (judgement.type === 'deliver') {
      await deliver(judgement.text);
    }
    return undefined;
  }

  async function read(): Promise<EndEvent> {
    for await (const event of engine.generate(generation, stop.signal)) {
      if (stop.reason !== undefined) {
        break;
      }
      progress.mayHaveRun = true;
      const end = await take(judgeEvent(event, generation, delivered));
      if (end !== undefined) {
        return end;
      }
      armWatch();
    }
    throw new ServingError('interrupted', 'the answer broke off');
  }

  function armWatch() {
    if (work.hasToken) {
      watch.arm();
      return;
    }
    const deadline =
      delivered.length === 0 ? request.firstTokenDeadline : request.deadline;
    watch.armFirst((deadline - clock.now()) * limits.firstTokenShare);
  }

  function finish(outcome: Outcome, cachedTokens?: number) {
    place.finish({
      outcome,
      latencyMs: work.latencyMs(),
      ...(cachedTokens === undefined ? {} : {cachedTokens}),
    });
  }

  function closeLost(error: ServingError): AttemptEnd {
    if (error.run === 'may-have-run') {
      progress.mayHaveRun = true;
      // The connection's end cancels too; an engine may notice that late.
      engine.cancel(generation.attempt).catch(() => {});
    }
    const reason = stop.reason ?? {type: 'lost' as const, error};
    if (reason.type === 'over') {
      states.send('cancel');
      finish(reason.error.kind === 'cancelled' ? 'cancelled' : 'overloaded');
      throw reason.error;
    }
    if (reason.type === 'moved') {
      states.send('move');
      finish(work.hasToken ? 'ok' : 'cancelled');
      return reason;
    }
    states.send('lose');
    finish(outcomeOf(reason.error));
    return reason;
  }

  const firstTokenLimit =
    delivered.length === 0
      ? stop.endAt(request.firstTokenDeadline, 'no token came in time')
      : undefined;
  stop.endAt(request.deadline, 'the answer did not end in time');
  owned.add(
    followLeaving({
      clock,
      costs,
      place,
      attempt: generation.attempt,
      stop,
      remainingMs,
      preparing: () => states.send('leave'),
      takePlace: options.takePlace,
    }),
  );
  armWatch();
  try {
    const event = await read();
    states.send('end');
    finish('ok', event.cachedTokens);
    return {type: 'ended', event};
  } catch (caught) {
    return closeLost(toServingError(caught));
  } finally {
    owned.dispose();
  }
}

function beginAttempt(
  progress: Progress,
  place: StreamPlace,
  states: Progress['states'],
) {
  progress.attempts += 1;
  progress.deliveredBefore = progress.delivered.length;
  progress.endpoint = place.endpoint;
  progress.states = states;
}

function toGeneration({prefix, progress, at}: AttemptOptions): Generation {
  const {request, delivered, attempts} = progress;
  return {
    attempt: `${prefix}${request.id}#${attempts}`,
    prompt: request.prompt,
    maxTokens: request.maxTokens,
    urgency: request.urgency,
    seed: request.seed,
    delivered: [...delivered],
    ...(at.importedCache === undefined
      ? {}
      : {importedCache: at.importedCache}),
  };
}

function outcomeOf(error: ServingError): Outcome {
  if (error.kind === 'endpoint-unavailable') {
    return 'unreachable';
  }
  return error.kind === 'overloaded' ? 'overloaded' : 'failed';
}
