/** Runs one attempt at one engine to its end, its loss or its move. */
import {
  ServingError,
  disposableStore,
  sleep,
  toServingError,
  type Clock,
} from '@skylarkfield/base';
import type {Generation, GenerationEvent} from '@skylarkfield/endpoints';
import {createAttemptStates} from './attemptMachine.js';
import type {StreamPlace, StreamToken} from './contracts.js';
import {judgeEvent} from './eventJudgement.js';
import type {MoveCosts} from './moveCosts.js';
import {prepareMove, type PreparedPlace} from './movePlan.js';
import {isAlive} from './probe.js';
import type {Progress} from './progress.js';
import {createStallWatch, type StallLimits} from './stallWatch.js';

type EndEvent = GenerationEvent & {readonly type: 'end'};

export type AttemptEnd =
  | {readonly type: 'ended'; readonly event: EndEvent}
  | {readonly type: 'lost'; readonly error: ServingError}
  | {readonly type: 'moved'; readonly to: PreparedPlace};

export interface AttemptOptions {
  readonly clock: Clock;
  readonly limits: StallLimits;
  readonly costs: MoveCosts;
  readonly progress: Progress;
  readonly at: PreparedPlace;
  /** Takes a place other than this one; throws when there is none. */
  takePlace(): StreamPlace;
  deliver(token: StreamToken): void | Promise<void>;
  /** The caller's signal. */
  readonly signal: AbortSignal;
}

/** Part of a leaving endpoint's time within which a stream may simply end there. */
const FINISH_SHARE = 0.5;
/** Time a leaving endpoint is thought to have when nobody said. */
const ASSUMED_NOTICE_MS = 2000;
/** Shortest wait before a stream that may end in time is looked at again. */
const MIN_RECHECK_MS = 50;

/**
 * Runs one attempt. Rejects only when the request as a whole has to end:
 * the caller went or a deadline passed.
 *
 * @example
 * const end = await runAttempt({clock, limits, costs, progress, at, ...hooks});
 */
export async function runAttempt(options: AttemptOptions): Promise<AttemptEnd> {
  const {clock, limits, costs, progress, at, signal} = options;
  const {request, delivered} = progress;
  const {place} = at;
  const {engine} = place;
  progress.attempts += 1;
  progress.deliveredBefore = delivered.length;
  progress.endpoint = place.endpoint;
  const states = createAttemptStates();
  progress.states = states;
  const generation: Generation = {
    attempt: `${request.id}#${progress.attempts}`,
    prompt: request.prompt,
    maxTokens: request.maxTokens,
    urgency: request.urgency,
    seed: request.seed,
    delivered: [...delivered],
    ...(at.importedCache === undefined
      ? {}
      : {importedCache: at.importedCache}),
  };

  const stop = new AbortController();
  const owned = disposableStore();
  /** Why the attempt was stopped from here; the first reason counts. */
  let stopped: AttemptEnd | {type: 'over'; error: ServingError} | undefined;
  const startMs = clock.now();
  let startedMs = startMs;
  let uncachedTokens = 0;
  let firstTokenMs: number | undefined;
  let isStartSeen = false;

  function halt(why: NonNullable<typeof stopped>) {
    stopped ??= why;
    stop.abort();
  }

  function lose(error: ServingError) {
    halt({type: 'lost', error});
  }

  function giveUp(error: ServingError) {
    halt({type: 'over', error});
  }

  const watch = owned.add(
    createStallWatch({
      clock,
      limits,
      probe: () => isAlive(clock, engine, limits.probeMs),
      stalled: why => lose(new ServingError('interrupted', why)),
    }),
  );

  function watchCaller() {
    const onAbort = () =>
      giveUp(new ServingError('cancelled', 'the caller has gone'));
    if (signal.aborted) {
      onAbort();
    }
    signal.addEventListener('abort', onAbort, {once: true});
    owned.add({dispose: () => signal.removeEventListener('abort', onAbort)});
  }

  function watchDeadline(atMs: number, what: string) {
    return owned.add(
      clock.after(atMs - clock.now(), () =>
        giveUp(new ServingError('deadline-exceeded', what)),
      ),
    );
  }

  /** Waits as long as the stream may still end where it is; true when it has to move. */
  async function hasToMove(goneAtMs: number): Promise<boolean> {
    for (;;) {
      const remainingMs = Math.max(0, goneAtMs - clock.now());
      const neededMs = (request.maxTokens - delivered.length) * watch.gapMs();
      const isStreaming = states.current === 'streaming' && neededMs > 0;
      if (!isStreaming || neededMs > remainingMs * FINISH_SHARE) {
        return true;
      }
      await sleep(clock, Math.max(MIN_RECHECK_MS, neededMs / 2), stop.signal);
    }
  }

  async function move() {
    const goneAtMs = place.goneAt?.() ?? clock.now() + ASSUMED_NOTICE_MS;
    if (!(await hasToMove(goneAtMs))) {
      return;
    }
    states.send('leave');
    const to = await prepareMove({
      clock,
      costs,
      old: place,
      attempt: generation.attempt,
      goneAtMs,
      takePlace: options.takePlace,
      signal: stop.signal,
    });
    if (stopped !== undefined) {
      to.place.finish({outcome: 'cancelled', latencyMs: 0});
      return;
    }
    halt({type: 'moved', to});
  }

  function watchLeaving() {
    // Preparing ends by itself when the attempt does: the error is that it was stopped.
    const onLeaving = () => void move().catch(() => {});
    if (place.leaving.aborted) {
      onLeaving();
      return;
    }
    place.leaving.addEventListener('abort', onLeaving, {once: true});
    owned.add({
      dispose: () => place.leaving.removeEventListener('abort', onLeaving),
    });
  }

  function countWork(event: {promptTokens: number; cachedTokens: number}) {
    isStartSeen = true;
    startedMs = clock.now();
    uncachedTokens = Math.max(
      0,
      event.promptTokens + generation.delivered.length - event.cachedTokens,
    );
    if (progress.hasComputed) {
      progress.recomputedTokens += uncachedTokens;
    }
    progress.hasComputed = true;
  }

  async function deliverToken(text: string) {
    if (firstTokenMs === undefined) {
      firstTokenMs = clock.now();
      states.send('token');
      place.streaming?.();
      progress.hasComputed = true;
      costs.observePrefill(uncachedTokens, firstTokenMs - startedMs);
      firstTokenTimer?.dispose();
    }
    const index = delivered.length;
    delivered.push(text);
    const held = options.deliver({index, text});
    if (held !== undefined) {
      watch.disarm();
      await untilAborted(held, stop.signal);
    }
  }

  async function read(): Promise<AttemptEnd> {
    for await (const event of engine.generate(generation, stop.signal)) {
      if (stopped !== undefined) {
        break;
      }
      progress.mayHaveRun = true;
      watch.touch();
      const judgement = judgeEvent(event, generation, delivered);
      if (judgement.type === 'reject') {
        throw new ServingError('protocol-violation', judgement.why);
      }
      if (judgement.type === 'end') {
        if (!isStartSeen) {
          countWork(judgement.event);
        }
        return {type: 'ended', event: judgement.event};
      }
      if (judgement.type === 'start') {
        states.send('start');
        place.started?.(judgement.event.cachedTokens);
        countWork(judgement.event);
      }
      if (judgement.type === 'deliver') {
        await deliverToken(judgement.text);
      }
      armWatch();
    }
    throw new ServingError('interrupted', 'the answer broke off');
  }

  function armWatch() {
    if (firstTokenMs !== undefined) {
      watch.arm();
      return;
    }
    const deadline =
      delivered.length === 0 ? request.firstTokenDeadline : request.deadline;
    const leftMs = (deadline - clock.now()) * limits.firstTokenShare;
    watch.arm(Math.max(limits.minSilenceMs, leftMs));
  }

  const firstTokenTimer =
    delivered.length === 0
      ? watchDeadline(request.firstTokenDeadline, 'no token came in time')
      : undefined;
  watchDeadline(request.deadline, 'the answer did not end in time');
  watchCaller();
  watchLeaving();
  armWatch();
  try {
    const end = await read();
    states.send('end');
    finish('ok', end.type === 'ended' ? end.event.cachedTokens : undefined);
    return end;
  } catch (caught) {
    return close(toServingError(caught));
  } finally {
    // Whoever still prepares a move has to see that it is too late.
    stopped ??= {type: 'lost', error: new ServingError('cancelled', 'over')};
    stop.abort();
    owned.dispose();
  }

  function close(error: ServingError): AttemptEnd {
    if (error.run === 'may-have-run') {
      progress.mayHaveRun = true;
      cancelAtEngine();
    }
    const reason = stopped ?? {type: 'lost' as const, error};
    if (reason.type === 'over') {
      states.send('cancel');
      finish(reason.error.kind === 'cancelled' ? 'cancelled' : 'overloaded');
      throw reason.error;
    }
    if (reason.type === 'moved') {
      states.send('move');
      finish(firstTokenMs === undefined ? 'cancelled' : 'ok');
      return reason;
    }
    states.send('lose');
    finish(outcomeOf(reason.type === 'lost' ? reason.error : error));
    return reason;
  }

  function cancelAtEngine() {
    // The connection's end cancels too; an engine may notice that late.
    engine.cancel(generation.attempt).catch(() => {});
  }

  function finish(
    outcome: Parameters<StreamPlace['finish']>[0]['outcome'],
    cachedTokens?: number,
  ) {
    const latencyMs = (firstTokenMs ?? clock.now()) - startMs;
    place.finish({
      outcome,
      latencyMs,
      ...(cachedTokens === undefined ? {} : {cachedTokens}),
    });
  }
}

function outcomeOf(
  error: ServingError,
): 'failed' | 'unreachable' | 'overloaded' {
  if (error.kind === 'endpoint-unavailable') {
    return 'unreachable';
  }
  return error.kind === 'overloaded' ? 'overloaded' : 'failed';
}

/** Waits for a promise, but no longer than until the signal aborts. */
async function untilAborted(
  promise: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  let onAbort = () => {};
  const aborted = new Promise<void>((_, reject) => {
    onAbort = () => reject(new ServingError('cancelled', 'stopped'));
    signal.addEventListener('abort', onAbort, {once: true});
  });
  try {
    await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
