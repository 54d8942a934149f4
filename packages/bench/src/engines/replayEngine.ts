/** Simulated batching engine with chunked prefill in order of urgency. */
import type {Clock} from '@skylarkfield/base';
import type {EngineProfile} from './profiles.js';

/** Request to the simulated engine. */
export interface EngineRequest {
  readonly ownTokens: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly urgency: number;
  /** Called for each answer event; the first one ends the prefill. */
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
  promptLeft: number;
  generated: number;
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
    const prefilling = running.find(({promptLeft}) => promptLeft > 0);
    const tokens = Math.min(prefilling?.promptLeft ?? 0, profile.chunkTokens);
    const prefillMs =
      prefilling === undefined ? 0 : chunkPrefillMs(prefilling, tokens);
    clock.after(decodeStepMs() + prefillMs, () => {
      const decoding = running.filter(({promptLeft}) => promptLeft === 0);
      if (prefilling !== undefined) {
        prefilling.promptLeft -= tokens;
        prefilling.spentMs += prefillMs;
      }
      decoding.forEach(decode);
      if (prefilling?.promptLeft === 0) {
        decode(prefilling);
      }
      step();
    });
  }

  function decode(sequence: Sequence): void {
    const {request} = sequence;
    if (sequence.generated % profile.tokensPerEvent === 0) {
      request.onDidEvent();
    }
    sequence.generated += 1;
    if (sequence.generated >= request.answerTokens) {
      running = running.filter(other => other !== sequence);
      request.onDidEnd();
    }
  }

  return {
    submit(request) {
      insert(waiting, {
        request,
        promptLeft: request.ownTokens,
        generated: 0,
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

/** Inserts a sequence behind those of the same or higher urgency. */
function insert(sequences: Sequence[], sequence: Sequence): void {
  const {urgency} = sequence.request;
  const before = sequences.findLastIndex(
    other => other.request.urgency <= urgency,
  );
  sequences.splice(before + 1, 0, sequence);
}
