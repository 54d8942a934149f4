/** Engine profiles that cover the range expected at real customers. */

/** True speed of an engine, which entries have to estimate. */
export interface EngineProfile {
  readonly name: string;
  readonly slots: number;
  /** Milliseconds per prompt token. */
  readonly tokenMs: number;
  /** Milliseconds per million pairs of a prompt token and a preceding one. */
  readonly pairsMs: number;
  /** Base milliseconds of a step, with no request running. */
  readonly stepMs: number;
  readonly requestStepMs: number;
  /** Milliseconds added to a step per thousand tokens of running prompts. */
  readonly contextStepMs: number;
  /** Maximum prompt tokens per step. */
  readonly chunkTokens: number;
  /** Answer tokens per event. */
  readonly tokensPerEvent: number;
}

const defaults = {
  slots: 48,
  pairsMs: 0.3,
  requestStepMs: 0.02,
  contextStepMs: 0.02,
  chunkTokens: 2_048,
  tokensPerEvent: 4,
};

/** 8 to 200 prompt tokens per ms, steps of 2 to 20 ms, 8 to 128 slots. */
export const ENGINE_PROFILES: readonly EngineProfile[] = [
  {...defaults, name: 'fast', tokenMs: 1 / 140, stepMs: 2.2},
  {...defaults, name: 'fastest', tokenMs: 1 / 200, stepMs: 2, slots: 128},
  {...defaults, name: 'dense', tokenMs: 1 / 38, pairsMs: 1.2, stepMs: 4.7},
  {...defaults, name: 'few slots', tokenMs: 1 / 60, stepMs: 6, slots: 8},
  {...defaults, name: 'slow steps', tokenMs: 1 / 25, stepMs: 20, slots: 96},
  {...defaults, name: 'slow', tokenMs: 1 / 8, pairsMs: 2, stepMs: 12},
];

/** Class of requests with the same size and goals. */
export interface RequestKind {
  readonly name: string;
  readonly ownTokens: number;
  readonly sharedTokens: number;
  readonly answerTokens: number;
  /** Lower values are served first; 0 is the most urgent. */
  readonly urgency: number;
  readonly goalMs: number;
  readonly deadlineMs: number;
  /** Relative frequency. */
  readonly weight: number;
}

/** Returns kinds with goals of 15 times an engine's typical prompt time. */
export function kindsFor(profile: EngineProfile): readonly RequestKind[] {
  const usualMs = 1_500 * profile.tokenMs + 3 * profile.pairsMs;
  const goalMs = Math.max(300, usualMs * 15);
  return [
    {
      name: 'revision',
      ownTokens: 1_800,
      sharedTokens: 500,
      answerTokens: 24,
      urgency: 0,
      goalMs,
      deadlineMs: goalMs * 5,
      weight: 0.35,
    },
    {
      name: 'draft',
      ownTokens: 2_900,
      sharedTokens: 3_000,
      answerTokens: 52,
      urgency: 2,
      goalMs: goalMs * 1.2,
      deadlineMs: goalMs * 6,
      weight: 0.25,
    },
    {
      name: 'chat',
      ownTokens: 540,
      sharedTokens: 170,
      answerTokens: 120,
      urgency: 4,
      goalMs,
      deadlineMs: goalMs * 12 + 120 * profile.stepMs * 4,
      weight: 0.4,
    },
  ];
}

/**
 * Returns the milliseconds that one engine needs for a kind's prompt.
 *
 * @example
 * const ms = promptMs(kind, profile);
 */
export function promptMs(kind: RequestKind, profile: EngineProfile): number {
  const pairs = (kind.ownTokens * (kind.ownTokens + kind.sharedTokens)) / 1e6;
  return kind.ownTokens * profile.tokenMs + pairs * profile.pairsMs;
}
