/** Scripted engine for tests: each attempt gets the next fault plan. */
import {ServingError, sleep, type Clock} from '@skylarkfield/base';
import type {
  Engine,
  GenerationRequest,
  GenerationEvent,
} from '@skylarkfield/endpoints';

export type PlannedFault =
  | 'none'
  /** Refuses the connection. */
  | 'refused'
  /** Fails after it received the request. */
  | 'failed'
  /** Rejects the request for lack of capacity. */
  | 'overloaded'
  /** Breaks the connection. */
  | 'cut'
  /** Sends no further tokens, but responds to load requests. */
  | 'silent'
  /** Pauses between two tokens. */
  | 'busy'
  /** Sends a token of another attempt. */
  | 'crossed'
  /** Sends a token twice. */
  | 'doubled'
  /** Omits a token. */
  | 'gap'
  /** Sends a token again with another text. */
  | 'changed'
  /** Sends the end event before the last tokens. */
  | 'truncated'
  /** Closes the stream without an end event. */
  | 'endless';

export interface FaultPlan {
  readonly fault: PlannedFault;
  /** Number of tokens that the attempt sends before the fault. */
  readonly tokensBeforeFault: number;
}

/** Number of tokens of every answer, unless `maxTokens` is lower. */
export const ANSWER_LENGTH = 24;
const TOKEN_GAP_MS = 20;
const BUSY_PAUSE_MS = 700;
const IMPORT_DURATION_MS = 90;
const PAUSE_POLL_MS = 10;

/** Text of one token of the only correct answer. */
export function expectedToken(index: number): string {
  return ` t${index}`;
}

/** Texts of all tokens of the only correct answer. */
export function expectedAnswer(maxTokens = ANSWER_LENGTH): string[] {
  const length = Math.min(ANSWER_LENGTH, maxTokens);
  return Array.from({length}, (_, index) => expectedToken(index));
}

export interface FakeEngine extends Engine {
  readonly receivedRequests: GenerationRequest[];
  readonly cancelledAttempts: string[];
  /** When true, the engine does not respond, not even to load requests. */
  isHung: boolean;
  /** Like `isHung`, but streams go on where they were once it is false. */
  isPaused: boolean;
}

/** Errors of faults that reject a request before the engine runs it. */
const refusals: Partial<Record<PlannedFault, () => ServingError>> = {
  refused: () => new ServingError('endpoint-unavailable', 'refused'),
  overloaded: () => new ServingError('overloaded', 'full'),
};

/** Events that a fault sends instead of the correct token. */
const replacements: Partial<
  Record<PlannedFault, (token: GenerationEvent) => GenerationEvent[]>
> = {
  crossed: token => [{...token, attempt: 'another'} as GenerationEvent],
  doubled: token => [token, token],
  gap: () => [],
  changed: token => [token, {...token, text: ' changed'} as GenerationEvent],
};

export function createFakeEngine(
  clock: Clock,
  nextPlan: () => FaultPlan,
): FakeEngine {
  const receivedRequests: GenerationRequest[] = [];
  const cancelledAttempts: string[] = [];

  async function waitWhilePaused(signal?: AbortSignal): Promise<void> {
    while (engine.isPaused) {
      await sleep(clock, PAUSE_POLL_MS, signal);
    }
  }

  async function* generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent> {
    const {fault, tokensBeforeFault} = nextPlan();
    const refusal = refusals[fault];
    if (refusal !== undefined) {
      throw refusal();
    }
    receivedRequests.push(request);
    await waitWhilePaused(signal);
    if (fault === 'failed') {
      throw new ServingError('endpoint-failed', 'failed');
    }
    const {attempt, delivered, maxTokens} = request;
    const answerLength = Math.min(ANSWER_LENGTH, maxTokens);
    yield {type: 'start', attempt, promptTokens: 100, cachedTokens: 0};
    for (let index = delivered.length; index < answerLength; index++) {
      await sleep(clock, TOKEN_GAP_MS, signal);
      await waitWhilePaused(signal);
      const isFaultDue = index - delivered.length === tokensBeforeFault;
      if (engine.isHung || (isFaultDue && fault === 'silent')) {
        await sleep(clock, 1e9, signal);
      }
      if (isFaultDue && fault === 'busy') {
        await sleep(clock, BUSY_PAUSE_MS, signal);
      }
      if (isFaultDue && fault === 'cut') {
        throw new ServingError('interrupted', 'cut');
      }
      if (isFaultDue && fault === 'truncated') {
        break;
      }
      const token = {
        type: 'token' as const,
        attempt,
        index,
        text: expectedToken(index),
      };
      const replace = isFaultDue ? replacements[fault] : undefined;
      yield* replace === undefined ? [token] : replace(token);
    }
    if (fault === 'endless') {
      return;
    }
    yield {
      type: 'end',
      attempt,
      reason: answerLength === maxTokens ? 'length' : 'stop',
      promptTokens: 100,
      cachedTokens: 0,
      generatedTokens: answerLength,
    };
  }

  const engine: FakeEngine = {
    receivedRequests,
    cancelledAttempts,
    isHung: false,
    isPaused: false,
    generate,
    async cancel(attempt) {
      cancelledAttempts.push(attempt);
    },
    async load(signal) {
      await waitWhilePaused(signal);
      if (engine.isHung) {
        await sleep(clock, 1e9, signal);
      }
      return {
        sequence: 1,
        running: 0,
        waiting: 0,
        slots: 8,
        waitingPromptTokens: 0,
        cacheUse: 0,
      };
    },
    readCacheEvents: async () => [],
    exportCache: async attempt => ({handle: attempt, tokens: 90, bytes: 9e6}),
    async importCache({handle}, signal) {
      await sleep(clock, IMPORT_DURATION_MS, signal);
      return {handle, tokens: 90, bytes: 9e6};
    },
    sendCommand: async () => {},
    readRunningState: async () => ({
      version: 'v1',
      adapters: [],
      role: 'serving',
    }),
  };
  return engine;
}
