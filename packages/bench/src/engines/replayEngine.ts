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
  /** Returns the prefill milliseconds spent on requests cancelled later. */
  wastedMs(): number;
}

/** Waiting or running request with its progress. */
interface Sequence {
  readonly request: EngineRequest;
  promptTokensLeft: number;
  generatedTokens: number;
  spentPrefillMs: number;
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
  let waitingSequences: Sequence[] = [];
  let runningSequences: Sequence[] = [];
  let isBusy = false;
  let wastedMs = 0;

  function admitWaitingSequences(): void {
    while (
      waitingSequences.length > 0 &&
      runningSequences.length < profile.slots
    ) {
      insertByUrgency(runningSequences, waitingSequences.shift()!);
    }
  }

  function decodeStepMs(): number {
    const contextTokens = runningSequences.reduce(
      (sum, {request}) => sum + request.promptTokens,
      0,
    );
    return (
      profile.stepMs +
      runningSequences.length * profile.requestStepMs +
      (contextTokens / 1e3) * profile.contextStepMs
    );
  }

  function chunkPrefillMs(sequence: Sequence, tokens: number): number {
    const pairs = (tokens * sequence.request.promptTokens) / 1e6;
    return tokens * profile.promptTokenMs + pairs * profile.pairsMs;
  }

  function runStep(): void {
    admitWaitingSequences();
    if (runningSequences.length === 0) {
      isBusy = false;
      return;
    }
    isBusy = true;
    const prefillSequence = runningSequences.find(
      ({promptTokensLeft}) => promptTokensLeft > 0,
    );
    const prefillTokens = Math.min(
      prefillSequence?.promptTokensLeft ?? 0,
      profile.chunkTokens,
    );
    const prefillMs =
      prefillSequence === undefined
        ? 0
        : chunkPrefillMs(prefillSequence, prefillTokens);
    clock.after(decodeStepMs() + prefillMs, () => {
      const decodingSequences = runningSequences.filter(
        ({promptTokensLeft}) => promptTokensLeft === 0,
      );
      if (prefillSequence !== undefined) {
        prefillSequence.promptTokensLeft -= prefillTokens;
        prefillSequence.spentPrefillMs += prefillMs;
      }
      decodingSequences.forEach(generateToken);
      if (prefillSequence?.promptTokensLeft === 0) {
        generateToken(prefillSequence);
      }
      runStep();
    });
  }

  function generateToken(sequence: Sequence): void {
    const {request} = sequence;
    if (sequence.generatedTokens % profile.tokensPerEvent === 0) {
      request.onDidEvent();
    }
    sequence.generatedTokens += 1;
    if (sequence.generatedTokens >= request.answerTokens) {
      runningSequences = runningSequences.filter(other => other !== sequence);
      request.onDidEnd();
    }
  }

  return {
    submit(request) {
      insertByUrgency(waitingSequences, {
        request,
        promptTokensLeft: request.ownTokens,
        generatedTokens: 0,
        spentPrefillMs: 0,
      });
      if (!isBusy) {
        runStep();
      }
    },
    cancel(request) {
      const cancelledSequence = [...waitingSequences, ...runningSequences].find(
        sequence => sequence.request === request,
      );
      wastedMs += cancelledSequence?.spentPrefillMs ?? 0;
      waitingSequences = waitingSequences.filter(
        sequence => sequence !== cancelledSequence,
      );
      runningSequences = runningSequences.filter(
        sequence => sequence !== cancelledSequence,
      );
    },
    wastedMs: () => wastedMs,
  };
}

/** Inserts a sequence behind all sequences of the same or a higher urgency. */
function insertByUrgency(sequences: Sequence[], sequence: Sequence): void {
  const {urgency} = sequence.request;
  const lastAheadIndex = sequences.findLastIndex(
    other => other.request.urgency <= urgency,
  );
  sequences.splice(lastAheadIndex + 1, 0, sequence);
}
