/** Samples, statistics and estimates of engine performance. */
import type {RegressionStats} from './regression.js';

/** Measured processing of one prompt, up to the first event of its answer. */
export interface PromptSample {
  readonly service: string;
  readonly route: string;
  /** Tokens that belong to this request alone, so that no cache holds them. */
  readonly ownTokens: number;
  readonly promptTokens: number;
  /** Tokens of shared parts that are expected to be uncached. */
  readonly rereadTokens: number;
  /** Prompt tokens queued at the endpoint ahead of this prompt. */
  readonly pendingTokens: number;
  /** Time from sending the request to the first event, in milliseconds. */
  readonly tookMs: number;
}

/** Measured answer of one request at one endpoint. */
export interface AnswerSample {
  readonly service: string;
  readonly route: string;
  readonly tokens: number;
  /** Decode step time while no prompt was processed, in milliseconds. */
  readonly stepMs: number;
  /** Requests running at the endpoint, this one included. */
  readonly requests: number;
  /** Tokens of the prompts of all running requests. */
  readonly contextTokens: number;
  /** Time within which the whole answer is useful, in milliseconds. */
  readonly allowedMs: number;
}

/** Statistics of the tokens per second that answers of a route need. */
export interface TokenRateStats {
  readonly count: number;
  /** Sum of the answers' tokens. */
  readonly tokens: number;
  /** Sum of the needed tokens per second, and of their squares. */
  readonly total: number;
  readonly squares: number;
}

/** Statistics of a service's engines from one or more entries. */
export interface ServiceStats {
  readonly prompts: RegressionStats;
  readonly answers: RegressionStats;
  readonly paces: Readonly<Record<string, TokenRateStats>>;
}

export type CapacityStats = Readonly<Record<string, ServiceStats>>;

/** Latency targets of a route. */
export interface LatencyTargets {
  /** Target time to the first event, in milliseconds. */
  readonly goalMs: number;
  /** Upper bound of the time to the whole answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Estimated performance of a service's engines. */
export interface EngineEstimate {
  /** Milliseconds per prompt token, without attention to earlier tokens. */
  readonly promptTokenMs: number;
  /** Milliseconds per million pairs of a prompt token and an earlier token. */
  readonly pairsMs: number;
  /** Milliseconds per shared token that seems uncached; most prove cached. */
  readonly rereadTokenMs: number;
  /** Mean number of a prompt's tokens that no cache holds. */
  readonly usualOwnTokens: number;
  /** Total milliseconds per uncached token of the mean prompt. */
  readonly usualTokenMs: number;
  /** Milliseconds to process the mean prompt. */
  readonly usualPromptMs: number;
  /** Mean decode step while no prompt is processed, in milliseconds. */
  readonly stepMs: number;
  /** Milliseconds that a running request adds to a step. */
  readonly requestStepMs: number;
  /** Milliseconds that a thousand context tokens add to a step. */
  readonly contextStepMs: number;
  /** Mean number of an answer's tokens. */
  readonly usualAnswerTokens: number;
  /** Tokens per second that long answers of the most demanding route need. */
  readonly neededPace: number;
  /** Exponentially decayed number of sampled prompts. */
  readonly prompts: number;
  /** Relative standard error of `usualPromptMs`. */
  readonly errorPart: number;
  /** Whether the estimate is good enough to base releases on it. */
  readonly isSure: boolean;
}

/** Work that arrives for one service, per second. */
export interface WorkRate {
  /** Prompt tokens that belong to one request alone. */
  readonly ownTokens: number;
  /** Millions of pairs of such a token and an earlier token. */
  readonly pairs: number;
  /** Tokens of shared parts that are expected to be uncached. */
  readonly rereadTokens: number;
  readonly answerTokens: number;
  /** Sum over answers of answer tokens times thousands of prompt tokens. */
  readonly answerContext: number;
}
