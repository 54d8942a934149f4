/** A runner before three scripted engines, with everything that a caller sees. */
import {
  ServingError,
  toServingError,
  virtualClock,
  type ServingError as Failure,
} from '@skylarkfield/base';
import type {StreamPlace, StreamRequest, StreamSummary} from '../contracts.js';
import {createStreamRunner} from '../streamRunner.js';
import {ANSWER_LENGTH, createFakeEngine, type Plan} from './fakeEngine.js';

export const DEADLINE_MS = 20_000;
const ENGINES = 3;

export interface RigOptions {
  /** Faults in the order in which attempts meet them; none after the last. */
  readonly plans?: readonly Plan[];
  readonly retries?: number;
  readonly maxTokens?: number;
  /** Monotonic milliseconds by which leaving endpoints are gone. */
  readonly goneAt?: number;
  readonly deliver?: () => Promise<void> | undefined;
}

export function createRig(options: RigOptions = {}) {
  const clock = virtualClock();
  const plans = [...(options.plans ?? [])];
  const nextPlan = () => plans.shift() ?? {fault: 'none' as const, at: 0};
  const engines = Array.from({length: ENGINES}, () =>
    createFakeEngine(clock, nextPlan),
  );
  const leaving = engines.map(() => new AbortController());
  const caller = new AbortController();
  const runner = createStreamRunner({clock});
  const tokens: string[] = [];
  const placed: {endpoint: string; outcomes: string[]}[] = [];
  let retries = options.retries ?? 100;

  function place(excluded: ReadonlySet<string>): StreamPlace {
    const index = engines.findIndex(
      (_, i) => !excluded.has(`e${i}`) && !leaving[i]!.signal.aborted,
    );
    if (index < 0) {
      throw new ServingError('endpoint-unavailable', 'no endpoint is left');
    }
    const record = {endpoint: `e${index}`, outcomes: [] as string[]};
    placed.push(record);
    return {
      endpoint: record.endpoint,
      url: `fake://${index}`,
      engine: engines[index]!,
      leaving: leaving[index]!.signal,
      goneAt: () => options.goneAt,
      finish: ({outcome}) => void record.outcomes.push(outcome),
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

  function start(): void {
    const hooks = {
      place,
      mayRetry: () => (retries -= 1) >= 0,
      deliver(token: {readonly text: string}) {
        tokens.push(token.text);
        return options.deliver?.();
      },
    };
    runner.run(request, hooks, caller.signal).then(
      summary => (result.summary = summary),
      error => (result.error = toServingError(error)),
    );
  }

  return {
    clock,
    engines,
    leaving,
    caller,
    runner,
    tokens,
    placed,
    result,
    start,
  };
}
