/** Engine profiles that cover the range expected at real customers. */

/** True speed of an engine, which entries have to estimate. */
export interface EngineProfile {
  readonly name: string;
  readonly slots: number;
  /** Milliseconds per prompt token. */
  readonly promptTokenMs: number;
  /** Milliseconds per million attention pairs (prompt token, earlier token). */
  readonly pairsMs: number;
  /** Milliseconds of a step before the cost of its requests and tokens. */
  readonly stepMs: number;
  /** Milliseconds added to a step per running request. */
  readonly requestStepMs: number;
  /** Milliseconds added to a step per thousand tokens of running prompts. */
  readonly contextStepMs: number;
  /** Maximum prompt tokens per step. */
  readonly chunkTokens: number;
  /** Answer tokens per event. */
  readonly tokensPerEvent: number;
}

const profileDefaults = {
  slots: 48,
  pairsMs: 0.3,
  requestStepMs: 0.02,
  contextStepMs: 0.02,
  chunkTokens: 2_048,
  tokensPerEvent: 4,
};

/** Cover 8 to 200 prompt tokens per ms, steps of 2 to 20 ms, 8 to 128 slots. */
export const ENGINE_PROFILES: readonly EngineProfile[] = [
  {...profileDefaults, name: 'fast', promptTokenMs: 1 / 140, stepMs: 2.2},
  {
    ...profileDefaults,
    name: 'fastest',
    promptTokenMs: 1 / 200,
    stepMs: 2,
    slots: 128,
  },
  {
    ...profileDefaults,
    name: 'dense',
    promptTokenMs: 1 / 38,
    pairsMs: 1.2,
    stepMs: 4.7,
  },
  {
    ...profileDefaults,
    name: 'few slots',
    promptTokenMs: 1 / 60,
    stepMs: 6,
    slots: 8,
  },
  {
    ...profileDefaults,
    name: 'slow steps',
    promptTokenMs: 1 / 25,
    stepMs: 20,
    slots: 96,
  },
  {
    ...profileDefaults,
    name: 'slow',
    promptTokenMs: 1 / 8,
    pairsMs: 2,
    stepMs: 12,
  },
];

/** Class of requests with the same mean size, latency goal and deadline. */
export interface RequestKind {
  readonly name: string;
  /** Mean prompt tokens that the engine has to compute. */
  readonly ownTokens: number;
  /** Prompt tokens that are already in the prefix cache. */
  readonly sharedTokens: number;
  readonly answerTokens: number;
  /** Lower values are served first; 0 is the most urgent. */
  readonly urgency: number;
  /** Target for the time until the first answer event. */
  readonly goalMs: number;
  readonly deadlineMs: number;
  /** Frequency relative to the weights of the other kinds. */
  readonly weight: number;
}

/** Latency goals are about 15 times the typical prompt time of the engine. */
export function requestKindsFor(
  profile: EngineProfile,
): readonly RequestKind[] {
  const typicalPromptMs = 1_500 * profile.promptTokenMs + 3 * profile.pairsMs;
  const goalMs = Math.max(300, typicalPromptMs * 15);
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
 * const ms = computePromptMs(kind, profile);
 */
export function computePromptMs(
  kind: RequestKind,
  profile: EngineProfile,
): number {
  const pairs = (kind.ownTokens * (kind.ownTokens + kind.sharedTokens)) / 1e6;
  return kind.ownTokens * profile.promptTokenMs + pairs * profile.pairsMs;
}
