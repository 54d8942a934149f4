/** Simulated batching engine with chunked prefill in order of urgency. */
import type {Clock} from '@skylarkfield/base';
import type {EngineProfile} from './profiles.js';

/** Request to the simulated engine. */
export interface EngineRequest {
  readonly ownTokens: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly urgency: number;
  /** Called for each answer event; the first event ends the prefill. */
  onDidEvent(): void;
  onDidEnd(): void;
}

export interface ReplayEngine {
  submit(request: EngineRequest): void;
  cancel(request: EngineRequest): void;
  /** Returns the milliseconds spent on cancelled requests. */
  wastedMs(): number;
}

interface Sequence {
  readonly request: EngineRequest;
  promptTokensLeft: number;
  generatedTokens: number;
  spentMs: number;
}

/**
 * Creates an idle engine.
 *
 * @example
 * const engine = createReplayEngine(clock, ENGINE_PROFILES[0]);
 */
export function createReplayEngine(
  clock: Clock,
  profile: EngineProfile,
): ReplayEngine {
  let waiting: Sequence[] = [];
  let running: Sequence[] = [];
  let isBusy = false;
  let wastedMs = 0;

  function admit(): void {
    while (waiting.length > 0 && running.length < profile.slots) {
      insert(running, waiting.shift()!);
    }
  }

  function decodeStepMs(): number {
    const context = running.reduce(
      (sum, {request}) => sum + request.promptTokens,
      0,
    );
    return (
      profile.stepMs +
      running.length * profile.requestStepMs +
      (context / 1e3) * profile.contextStepMs
    );
  }

  function chunkPrefillMs(sequence: Sequence, tokens: number): number {
    const pairs = (tokens * sequence.request.promptTokens) / 1e6;
    return tokens * profile.tokenMs + pairs * profile.pairsMs;
  }

  function step(): void {
    admit();
    if (running.length === 0) {
      isBusy = false;
      return;
    }
    isBusy = true;
    const prefilling = running.find(
      ({promptTokensLeft}) => promptTokensLeft > 0,
    );
    const tokens = Math.min(
      prefilling?.promptTokensLeft ?? 0,
      profile.chunkTokens,
    );
    const prefillMs =
      prefilling === undefined ? 0 : chunkPrefillMs(prefilling, tokens);
    clock.after(decodeStepMs() + prefillMs, () => {
      const decoding = running.filter(
        ({promptTokensLeft}) => promptTokensLeft === 0,
      );
      if (prefilling !== undefined) {
        prefilling.promptTokensLeft -= tokens;
        prefilling.spentMs += prefillMs;
      }
      decoding.forEach(decode);
      if (prefilling?.promptTokensLeft === 0) {
        decode(prefilling);
      }
      step();
    });
  }

  function decode(sequence: Sequence): void {
    const {request} = sequence;
    if (sequence.generatedTokens % profile.tokensPerEvent === 0) {
      request.onDidEvent();
    }
    sequence.generatedTokens += 1;
    if (sequence.generatedTokens >= request.answerTokens) {
      running = running.filter(other => other !== sequence);
      request.onDidEnd();
    }
  }

  return {
    submit(request) {
      insert(waiting, {
        request,
        promptTokensLeft: request.ownTokens,
        generatedTokens: 0,
        spentMs: 0,
      });
      if (!isBusy) {
        step();
      }
    },
    cancel(request) {
      const cancelled = [...waiting, ...running].find(
        sequence => sequence.request === request,
      );
      wastedMs += cancelled?.spentMs ?? 0;
      waiting = waiting.filter(sequence => sequence !== cancelled);
      running = running.filter(sequence => sequence !== cancelled);
    },
    wastedMs: () => wastedMs,
  };
}

/** Inserts a sequence behind all that are at least as urgent. */
function insert(sequences: Sequence[], sequence: Sequence): void {
  const {urgency} = sequence.request;
  const lastAhead = sequences.findLastIndex(
    other => other.request.urgency <= urgency,
  );
  sequences.splice(lastAhead + 1, 0, sequence);
}
