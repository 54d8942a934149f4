/** Replays streams during a reclaim on a virtual clock. */
import {
  createDecisionLog,
  scheduleRepeatedly,
  seededRandom,
  createSilentLogger,
  toServingError,
  createVirtualClock,
} from '@skylarkfield/base';
import {
  hashPromptBlocks,
  tokenizePrompt,
  type Engine,
  type GenerationEvent,
} from '@skylarkfield/endpoints';
import {createRouter, type Router} from '@skylarkfield/routing';
import {generateAnswerTokens} from '@skylarkfield/standins';
import {
  createStreamRunner,
  type EndpointPick,
  type StreamRequest,
} from '@skylarkfield/streams';
import {distinctWords} from '../routing/workloads.js';
import {
  createEngineFleet,
  isAffected,
  reclaimDomain,
  type FleetEndpoint,
  type Reclaim,
} from './fleet.js';

/** `plain` restarts an interrupted answer; `skylarkfield` continues it. */
export type RetryPolicy = 'plain' | 'skylarkfield';

export interface ReclaimFigures {
  readonly streams: number;
  /** Streams with an attempt on an engine that was reclaimed. */
  readonly affected: number;
  /** Affected streams whose answer was delivered to its end. */
  readonly affectedCompleted: number;
  readonly otherCompleted: number;
  /** Answers that differ from the expected text; must be 0. */
  readonly wrong: number;
  readonly recomputedTokens: number;
  /** Attempts sent to an engine. */
  readonly sends: number;
  /** Retries taken from the retry budget. */
  readonly retries: number;
  /** Quantiles of the longest time without a new token per affected stream. */
  readonly pauseP50Ms: number;
  readonly pauseP95Ms: number;
  readonly pauseMaxMs: number;
}

interface StreamState {
  readonly request: StreamRequest;
  readonly tokens: string[];
  lastTokenMs: number;
  longestPauseMs: number;
  isAffected: boolean;
  isDone: boolean;
  recomputedTokens: number;
  sends: number;
  hasStarted: boolean;
  /** Engine of the latest attempt. */
  engineId: string;
}

const STREAMS_PER_SECOND = 12;
const RECLAIM_AT_MS = 12_000;
const ARRIVALS_END_MS = 20_000;
const RUN_MS = 60_000;
const STEP_MS = 1000;
const ENTRY_COUNT = 2;
const POLL_MS = 400;
const MAX_PLAIN_ATTEMPTS = 6;
/** Interval at which plain retry checks whether its engine is paused. */
const PLAIN_CHECK_MS = 800;
/** Retries allowed per request of an entry, beyond `MIN_RETRY_BUDGET`. */
const RETRY_BUDGET_FRACTION = 0.1;
const MIN_RETRY_BUDGET = 10;
const TIMEOUT_MS = 30_000;
const FIRST_TOKEN_TIMEOUT_MS = 10_000;

/**
 * Runs streams while a failure domain is reclaimed.
 *
 * @example
 * const figures = await replayReclaim('plain', {type: 'crash'}, 1);
 */
export async function replayReclaim(
  policy: RetryPolicy,
  reclaim: Reclaim,
  seed: number,
): Promise<ReclaimFigures> {
  const clock = createVirtualClock();
  const fleet = createEngineFleet(clock, seed);
  const endpointsById = new Map(fleet.map(item => [item.candidate.id, item]));
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
    createEntry(index),
  );
  const streams: StreamState[] = [];
  const arrivalRandom = seededRandom(seed);

  function createEntry(index: number) {
    const router = createRouter({
      clock,
      random: seededRandom(seed * 57 + index),
      decisions: createDecisionLog(clock, createSilentLogger()),
      failureDomain: index === 0 ? 'a' : 'c',
      self: `e${index}`,
    });
    router.setEndpoints(fleet.map(({candidate}) => candidate));
    scheduleRepeatedly(clock, POLL_MS, () => void pollLoads(router));
    const maxAttempts = policy === 'plain' ? 1 : undefined;
    const runner = createStreamRunner({
      clock,
      ...(maxAttempts === undefined ? {} : {maxAttempts}),
    });
    return {router, runner, requests: 0, retries: 0};
  }

  async function pollLoads(router: Router) {
    for (const {candidate, engine} of fleet) {
      const timeoutController = new AbortController();
      clock.after(POLL_MS, () => timeoutController.abort());
      engine.load(timeoutController.signal).then(
        report => router.recordLoadReport(candidate.id, report),
        () => {},
      );
    }
  }

  function chooseEndpoint(
    stream: StreamState,
    router: Router,
    excluded: ReadonlySet<string>,
    delivered: readonly string[],
  ): EndpointPick {
    const tokens = tokenizePrompt(
      `${stream.request.prompt}${delivered.length > 0 ? ' ' : ''}${delivered.join('')}`,
    );
    const choice = router.choose({
      service: 'assistant',
      version: 'v1',
      blocks: hashPromptBlocks(tokens),
      promptTokens: tokens.length,
      excluded,
    });
    if (choice === undefined) {
      throw new Error('the router found no usable endpoint');
    }
    const endpoint = endpointsById.get(choice.endpoint)!;
    return {
      endpoint: choice.endpoint,
      url: endpoint.url,
      engine: countRecomputedTokens(stream, endpoint),
      cachedTokens: choice.cachedTokens,
      // With plain retry, a stream detects a reclaim only when its connection
      // breaks.
      leavingSignal:
        policy === 'plain'
          ? new AbortController().signal
          : endpoint.leavingController.signal,
      goneAtMs: () => endpoint.goneAt,
      onStart: cachedTokens => choice.recordStart(cachedTokens),
      onFirstToken: () => choice.recordFirstToken(),
      finish: result => choice.finish(result),
    };
  }

  /** Wraps an endpoint's engine to count recomputed tokens of a stream. */
  function countRecomputedTokens(
    stream: StreamState,
    endpoint: FleetEndpoint,
  ): Engine {
    const {engine} =
      policy === 'plain' ? {engine: breakOffWhenPaused(endpoint)} : endpoint;
    async function* generate(
      ...[request, signal]: Parameters<Engine['generate']>
    ): AsyncGenerator<GenerationEvent> {
      stream.engineId = endpoint.candidate.id;
      stream.sends += 1;
      for await (const event of engine.generate(request, signal)) {
        if (event.type === 'start') {
          const total = event.promptTokens + request.delivered.length;
          // A refused attempt has computed no tokens that could be recomputed.
          stream.recomputedTokens += stream.hasStarted
            ? total - event.cachedTokens
            : 0;
          stream.hasStarted = true;
        }
        if (event.type === 'token' && event.index < stream.tokens.length) {
          stream.recomputedTokens += 1;
        }
        yield event;
      }
    }
    return {...engine, generate};
  }

  /** Wraps an engine to break off its streams while it is paused. */
  function breakOffWhenPaused({
    engine,
    simulatedEngine,
  }: FleetEndpoint): Engine {
    async function* generate(
      ...[request, signal]: Parameters<Engine['generate']>
    ): AsyncGenerator<GenerationEvent> {
      const controller = new AbortController();
      const checks = scheduleRepeatedly(clock, PLAIN_CHECK_MS, () => {
        if (simulatedEngine.hasFault('pause')) {
          controller.abort();
        }
      });
      try {
        yield* engine.generate(
          request,
          AbortSignal.any([signal, controller.signal]),
        );
      } finally {
        checks.dispose();
      }
    }
    return {...engine, generate};
  }

  function recordToken(stream: StreamState, index: number, text: string) {
    if (index < stream.tokens.length) {
      return;
    }
    const nowMs = clock.now();
    if (index > 0) {
      const pauseMs = nowMs - stream.lastTokenMs;
      stream.longestPauseMs = Math.max(stream.longestPauseMs, pauseMs);
    }
    stream.lastTokenMs = nowMs;
    stream.tokens.push(text);
  }

  async function runStream(stream: StreamState) {
    const entry = entries[streams.length % ENTRY_COUNT]!;
    entry.requests += 1;
    const maxAttempts = policy === 'plain' ? MAX_PLAIN_ATTEMPTS : 1;
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      const request = {
        ...stream.request,
        id: `${stream.request.id}.${attempt}`,
      };
      try {
        await entry.runner.run(
          request,
          {
            pickEndpoint: (excluded, delivered) =>
              chooseEndpoint(stream, entry.router, excluded, delivered),
            mayRetry() {
              const budget =
                MIN_RETRY_BUDGET + entry.requests * RETRY_BUDGET_FRACTION;
              if (entry.retries >= budget) {
                return false;
              }
              entry.retries += 1;
              return true;
            },
            deliver: token => recordToken(stream, token.index, token.text),
          },
          new AbortController().signal,
        );
        stream.isDone = true;
        return;
      } catch (error) {
        if (toServingError(error).kind === 'deadline-exceeded') {
          return;
        }
      }
    }
  }

  function handleArrival() {
    if (clock.now() >= ARRIVALS_END_MS) {
      return;
    }
    const id = streams.length;
    const stream: StreamState = {
      request: {
        id: `e${id % ENTRY_COUNT}-${id}`,
        prompt: distinctWords(
          `s${seed}-${id}`,
          arrivalRandom.integer(600, 3000),
        ),
        maxTokens: arrivalRandom.integer(100, 380),
        urgency: 3,
        seed: id,
        firstTokenDeadline: clock.now() + FIRST_TOKEN_TIMEOUT_MS,
        deadline: clock.now() + TIMEOUT_MS,
      },
      tokens: [],
      lastTokenMs: clock.now(),
      longestPauseMs: 0,
      isAffected: false,
      isDone: false,
      recomputedTokens: 0,
      sends: 0,
      hasStarted: false,
      engineId: '',
    };
    void runStream(stream);
    streams.push(stream);
    clock.after(
      arrivalRandom.exponential(1000 / STREAMS_PER_SECOND),
      handleArrival,
    );
  }

  function startReclaim() {
    const reclaimedIds = new Set(
      fleet
        .filter(endpoint => isAffected(endpoint, reclaim))
        .map(({candidate}) => candidate.id),
    );
    for (const stream of streams) {
      stream.isAffected = !stream.isDone && reclaimedIds.has(stream.engineId);
      stream.longestPauseMs = 0;
    }
    reclaimDomain(clock, fleet, reclaim, id =>
      entries.forEach(({router}) => router.markLeaving(id)),
    );
  }

  clock.after(0, handleArrival);
  clock.after(RECLAIM_AT_MS, startReclaim);
  for (let ms = 0; ms < RUN_MS; ms += STEP_MS) {
    await clock.advance(STEP_MS);
  }
  const retries = entries.reduce((sum, entry) => sum + entry.retries, 0);
  return summarize(streams, retries);
}

function summarize(
  streams: readonly StreamState[],
  retries: number,
): ReclaimFigures {
  const affectedStreams = streams.filter(({isAffected}) => isAffected);
  const otherStreams = streams.filter(({isAffected}) => !isAffected);
  const pausesMs = affectedStreams
    .map(({longestPauseMs}) => longestPauseMs)
    .sort((a, b) => a - b);
  const quantile = (fraction: number) =>
    Math.round(pausesMs[Math.floor((pausesMs.length - 1) * fraction)] ?? 0);
  return {
    streams: streams.length,
    affected: affectedStreams.length,
    affectedCompleted: affectedStreams.filter(({isDone}) => isDone).length,
    otherCompleted: otherStreams.filter(({isDone}) => isDone).length,
    wrong: streams.filter(isWrong).length,
    recomputedTokens: streams.reduce(
      (sum, {recomputedTokens}) => sum + recomputedTokens,
      0,
    ),
    sends: streams.reduce((sum, {sends}) => sum + sends, 0),
    retries,
    pauseP50Ms: quantile(0.5),
    pauseP95Ms: quantile(0.95),
    pauseMaxMs: quantile(1),
  };
}

function isWrong({request, tokens, isDone}: StreamState): boolean {
  const expectedTokens = generateAnswerTokens(
    request.prompt,
    request.seed,
    request.maxTokens,
  );
  const expectedSoFar = isDone
    ? expectedTokens
    : expectedTokens.slice(0, tokens.length);
  return expectedSoFar.join('') !== tokens.join('');
}
