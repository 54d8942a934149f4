/** Stream runner with scripted engines; records received tokens. */
import {
  ServingError,
  toServingError,
  createVirtualClock,
  type ServingError as Failure,
} from '@skylarkfield/base';
import type {EndpointPick, StreamRequest, StreamSummary} from '../contracts.js';
import {createStreamRunner} from '../streamRunner.js';
import {ANSWER_LENGTH, createFakeEngine, type FaultPlan} from './fakeEngine.js';

export const DEADLINE_MS = 20_000;
const DEFAULT_ENGINE_COUNT = 3;

export interface RigOptions {
  /** One fault plan per attempt, in order; all later attempts have no fault. */
  readonly plans?: readonly FaultPlan[];
  readonly engineCount?: number;
  readonly retryBudget?: number;
  readonly maxTokens?: number;
  /** Monotonic milliseconds by which leaving endpoints are gone. */
  readonly goneAtMs?: number;
  readonly deliver?: () => Promise<void> | undefined;
  /** Versions of the engines; the first one is that of a started answer. */
  readonly versions?: readonly string[];
}

export function createRig(options: RigOptions = {}) {
  const clock = createVirtualClock();
  const plans = [...(options.plans ?? [])];
  const nextPlan = () =>
    plans.shift() ?? {fault: 'none' as const, tokensBeforeFault: 0};
  const engines = Array.from(
    {length: options.engineCount ?? DEFAULT_ENGINE_COUNT},
    () => createFakeEngine(clock, nextPlan),
  );
  const leavingControllers = engines.map(() => new AbortController());
  const callerController = new AbortController();
  const runner = createStreamRunner({clock});
  const tokens: string[] = [];
  const picks: {endpoint: string; outcomes: string[]}[] = [];
  let retriesLeft = options.retryBudget ?? 100;

  /** Whether an answer with these tokens may be run by a version. */
  function isEligible(version: string | undefined, delivered: number): boolean {
    return delivered === 0 || version === options.versions?.[0];
  }

  function pickEndpoint(
    excludedEndpoints: ReadonlySet<string>,
    deliveredTokens: readonly string[],
  ): EndpointPick {
    const index = engines.findIndex(
      (_, i) =>
        !excludedEndpoints.has(`e${i}`) &&
        !leavingControllers[i]!.signal.aborted &&
        isEligible(options.versions?.[i], deliveredTokens.length),
    );
    const version = options.versions?.[index];
    if (index < 0) {
      throw new ServingError('endpoint-unavailable', 'no endpoint is left');
    }
    const pick = {endpoint: `e${index}`, outcomes: [] as string[]};
    picks.push(pick);
    return {
      endpoint: pick.endpoint,
      url: `fake://${index}`,
      engine: engines[index]!,
      ...(version !== undefined && {version}),
      leavingSignal: leavingControllers[index]!.signal,
      goneAtMs: () => options.goneAtMs,
      finish: ({outcome}) => void pick.outcomes.push(outcome),
    };
  }

  const request: StreamRequest = {
    id: 'r1',
    prompt: 'p',
    maxTokens: options.maxTokens ?? ANSWER_LENGTH + 10,
    urgency: 3,
    seed: 1,
    firstTokenDeadline: 5000,
    deadline: DEADLINE_MS,
  };
  const result: {summary?: StreamSummary; error?: Failure} = {};

  function startRequest(): void {
    const hooks = {
      pickEndpoint,
      mayRetry: () => (retriesLeft -= 1) >= 0,
      deliver(token: {readonly text: string}) {
        tokens.push(token.text);
        return options.deliver?.();
      },
    };
    runner.run(request, hooks, callerController.signal).then(
      summary => (result.summary = summary),
      error => (result.error = toServingError(error)),
    );
  }

  return {
    clock,
    engines,
    leavingControllers,
    callerController,
    runner,
    tokens,
    picks,
    result,
    start: startRequest,
  };
}
