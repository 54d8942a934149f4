/** Replays a workload against simulated engines on a virtual clock. */
import {
  scheduleRepeatedly,
  seededRandom,
  createVirtualClock,
  type Random,
  type VirtualClock,
} from '@skylarkfield/base';
import {
  TOKENS_PER_BLOCK,
  hashPromptBlocks,
  tokenizePrompt,
  type GenerationRequest,
} from '@skylarkfield/endpoints';
import type {
  Candidate,
  RoutingRequest,
  RouteWeights,
} from '@skylarkfield/routing';
import {
  createSimulatedEngine,
  type EngineCosts,
  type SimulatedEngine,
} from '@skylarkfield/standins';
import {policies, type Policy, type PolicyName} from './policies.js';
import {
  drawCustomer,
  type Session,
  type Turn,
  type Workload,
} from './workloads.js';

export interface RoutingReplayOptions {
  readonly workload: Workload;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly seconds: number;
  readonly weights?: Partial<RouteWeights>;
  readonly costs?: Partial<EngineCosts>;
  /** Factor on the session arrival rate of the workload; default: 1. */
  readonly rateFactor?: number;
}

export interface RoutingReplayResult {
  readonly requests: number;
  readonly promptTokens: number;
  /** Prompt tokens that the replicas computed. */
  readonly prefilledTokens: number;
  /** Lower bound of `prefilledTokens`, with one unlimited shared cache. */
  readonly boundTokens: number;
  readonly firstTokenMs: readonly number[];
  /** Requests of the busiest replica divided by the mean per replica. */
  readonly busiest: number;
}

const ENTRY_COUNT = 6;
const FAILURE_DOMAINS = ['a', 'b', 'c', 'd'];
const LOAD_POLL_MS = 750;
const CACHE_POLL_MS = 1000;
/** Probability that a caller switches to a random entry for its next turn. */
const ENTRY_CHANGE_PROBABILITY = 0.3;
const CACHE_EVENT_LOSS_PROBABILITY = 0.03;
/** Fraction of a run, from its start, not counted: caches are still cold. */
const WARM_UP_FRACTION = 0.2;
/** Maximum steps of 100 ms in which open requests end after the run. */
const MAX_DRAIN_STEPS = 600;

/**
 * Runs one policy over one workload. Runs with the same seed have the same
 * sessions.
 *
 * @example
 * const result = replayWorkload({
 *   workload, policy: 'roundRobin', seed: 1, seconds: 60,
 * });
 */
export function replayWorkload(
  options: RoutingReplayOptions,
): RoutingReplayResult {
  const {workload, seed, seconds} = options;
  const clock = createVirtualClock();
  const engines = createEngines(options, clock);
  const candidates = createCandidates(workload);
  const entries = createEntries(options, clock, candidates);
  startPolling(clock, engines, entries);

  const seenBlocks = new Set<string>();
  const firstTokenMs: number[] = [];
  const requestsByReplica = new Map<string, number>();
  const sums = {
    requests: 0,
    promptTokens: 0,
    boundTokens: 0,
    prefilledTokens: 0,
  };
  const warmUpMs = seconds * 1000 * WARM_UP_FRACTION;
  let openRequests = 0;
  let attemptCount = 0;

  /** Counts the tokens of a prompt that no replica has computed before. */
  function countUnseenTokens(
    blocks: readonly string[],
    promptTokens: number,
  ): number {
    const firstUnseen = blocks.findIndex(block => !seenBlocks.has(block));
    const seenPrefix = firstUnseen < 0 ? blocks.length : firstUnseen;
    return Math.max(1, promptTokens - seenPrefix * TOKENS_PER_BLOCK);
  }

  function runTurn(
    session: Session,
    turn: Turn,
    prompt: string,
    onDidAnswer: (answer: string) => void,
    entryIndex: number,
  ) {
    const tokens = tokenizePrompt(prompt);
    const blocks = hashPromptBlocks(tokens);
    const routingRequest: RoutingRequest = {
      service: workload.name,
      version: 'v1',
      blocks,
      promptTokens: tokens.length,
      excluded: new Set(),
    };
    const isPastWarmUp = clock.now() >= warmUpMs;
    if (isPastWarmUp) {
      sums.requests += 1;
      sums.promptTokens += tokens.length;
      sums.boundTokens += countUnseenTokens(blocks, tokens.length);
    }
    blocks.forEach(block => seenBlocks.add(block));
    const choice = entries[entryIndex]!.choose(routingRequest);
    requestsByReplica.set(
      choice.endpoint,
      (requestsByReplica.get(choice.endpoint) ?? 0) + 1,
    );
    const startMs = clock.now();
    let latencyMs = 0;
    const tokenTexts: string[] = [];
    openRequests += 1;
    attemptCount += 1;
    const generation: GenerationRequest = {
      attempt: `entry${entryIndex}-${attemptCount}`,
      prompt,
      maxTokens: turn.maxTokens,
      urgency: 3,
      delivered: [],
      seed: 1,
    };
    engines.get(choice.endpoint)!.submit(generation, {
      event(event) {
        if (event.type === 'start') {
          choice.recordStart(event.cachedTokens);
          if (isPastWarmUp) {
            sums.prefilledTokens += tokens.length - event.cachedTokens;
          }
        }
        if (event.type === 'token') {
          if (tokenTexts.length === 0) {
            latencyMs = clock.now() - startMs;
            choice.recordFirstToken();
            if (isPastWarmUp) {
              firstTokenMs.push(latencyMs);
            }
          }
          tokenTexts.push(event.text);
        }
        if (event.type === 'end') {
          openRequests -= 1;
          choice.finish({
            outcome: 'ok',
            latencyMs,
            cachedTokens: event.cachedTokens,
          });
          const answer = tokenTexts.join('');
          hashPromptBlocks(tokenizePrompt(`${prompt} ${answer}`)).forEach(
            block => seenBlocks.add(block),
          );
          onDidAnswer(answer);
        }
      },
      fail(error) {
        throw error;
      },
    });
  }

  function runSession(random: Random) {
    const session = workload.session(drawCustomer(workload, random), random);
    const maxTurns = session.turns.length;
    let entryIndex = random.integer(0, ENTRY_COUNT - 1);
    function runTurnAt(index: number, history: string) {
      const turn = session.turns[index];
      if (turn === undefined || index >= maxTurns) {
        return;
      }
      clock.after(turn.thinkMs, () => {
        if (random.chance(ENTRY_CHANGE_PROBABILITY)) {
          entryIndex = random.integer(0, ENTRY_COUNT - 1);
        }
        const prompt = `${history} ${turn.question}`;
        runTurn(
          session,
          turn,
          prompt,
          answer => runTurnAt(index + 1, `${prompt} ${answer}`),
          entryIndex,
        );
      });
    }
    runTurnAt(0, session.prompt);
  }

  const arrivalRandom = seededRandom(seed);
  const sessionsPerSecond =
    workload.sessionsPerSecond * (options.rateFactor ?? 1);
  let sessionCount = 0;
  function handleArrival() {
    if (clock.now() >= seconds * 1000) {
      return;
    }
    sessionCount += 1;
    runSession(seededRandom(seed * 100_003 + sessionCount));
    clock.after(
      arrivalRandom.exponential(1000 / sessionsPerSecond),
      handleArrival,
    );
  }
  clock.after(0, handleArrival);
  clock.advanceSync(seconds * 1000);
  for (let step = 0; openRequests > 0 && step < MAX_DRAIN_STEPS; step++) {
    clock.advanceSync(100);
  }
  const requestCounts = [...engines.keys()].map(
    id => requestsByReplica.get(id) ?? 0,
  );
  const meanRequests =
    requestCounts.reduce((a, b) => a + b, 0) / requestCounts.length;
  return {
    ...sums,
    firstTokenMs,
    busiest: Math.max(...requestCounts) / meanRequests,
  };
}

function createCandidates(workload: Workload): Candidate[] {
  return Array.from({length: workload.replicas}, (_, index) => ({
    id: `r${index}`,
    service: workload.name,
    version: 'v1',
    failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
    host: `h${index}`,
    type: 'model',
  }));
}

function createEngines(
  options: RoutingReplayOptions,
  clock: VirtualClock,
): Map<string, SimulatedEngine> {
  return new Map(
    createCandidates(options.workload).map(({id}, index) => [
      id,
      createSimulatedEngine({
        clock,
        random: seededRandom(options.seed * 31 + index),
        version: 'v1',
        costs: {cacheEventLoss: CACHE_EVENT_LOSS_PROBABILITY, ...options.costs},
      }),
    ]),
  );
}

function createEntries(
  options: RoutingReplayOptions,
  clock: VirtualClock,
  endpoints: readonly Candidate[],
): Policy[] {
  return Array.from({length: ENTRY_COUNT}, (_, index) =>
    policies[options.policy]({
      clock,
      random: seededRandom(options.seed * 57 + index),
      self: `entry${index}`,
      failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
      endpoints,
      sharedBlocks: options.workload.sharedBlocks,
      ...(options.weights === undefined ? {} : {weights: options.weights}),
    }),
  );
}

/** Starts load and cache polls, with a different phase for each entry. */
function startPolling(
  clock: VirtualClock,
  engines: ReadonlyMap<string, SimulatedEngine>,
  entries: readonly Policy[],
) {
  entries.forEach((entry, index) => {
    const phaseFraction = index / entries.length;
    const lastSequences = new Map<string, number>();
    function pollLoad() {
      for (const [id, engine] of engines) {
        entry.reportLoad(id, engine.load());
      }
    }
    function pollCache() {
      for (const [id, engine] of engines) {
        const events = engine.cacheEvents(lastSequences.get(id) ?? -1);
        lastSequences.set(id, entry.reportCache(id, events));
      }
    }
    clock.after(phaseFraction * LOAD_POLL_MS, () => {
      scheduleRepeatedly(clock, LOAD_POLL_MS, pollLoad);
    });
    clock.after(phaseFraction * CACHE_POLL_MS, () => {
      scheduleRepeatedly(clock, CACHE_POLL_MS, pollCache);
    });
  });
}
