/** Types of samples, statistics and estimates of engine performance. */
import type {RegressionStats} from './regression.js';

/** Measured time of one prompt, up to the first event of its answer. */
export interface PromptSample {
  readonly service: string;
  readonly route: string;
  /**
   * Prompt tokens that only this request has, so that none of them is cached.
   */
  readonly ownTokens: number;
  readonly promptTokens: number;
  /** Tokens of shared prompt parts that are expected to be uncached. */
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
  /** Tokens of the answer. */
  readonly tokens: number;
  /**
   * Duration of a decode step while no prompt was processed, in milliseconds.
   */
  readonly stepMs: number;
  /** Requests running at the endpoint, this one included. */
  readonly requests: number;
  /** Tokens of the prompts of all running requests. */
  readonly contextTokens: number;
  /** Time within which the whole answer must arrive, in milliseconds. */
  readonly allowedMs: number;
}

/** Exponentially decayed statistics of the token rate that answers need. */
export interface TokenRateStats {
  /** Number of answers. */
  readonly count: number;
  /** Sum of the answers' tokens. */
  readonly tokens: number;
  /** Sum of the tokens per second that the answers need. */
  readonly total: number;
  /** Sum of the squares of the tokens per second that the answers need. */
  readonly squares: number;
}

/** Statistics of a service's engines from one or more entries. */
export interface ServiceStats {
  readonly prompts: RegressionStats;
  readonly answers: RegressionStats;
  /** Statistics of the needed token rate, by route. */
  readonly paces: Readonly<Record<string, TokenRateStats>>;
}

/** Statistics of engines, by service. */
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
  /** Milliseconds per shared token that seems uncached; most are cached. */
  readonly rereadTokenMs: number;
  /** Mean number of a prompt's tokens that cannot be cached. */
  readonly usualOwnTokens: number;
  /** Milliseconds of the mean prompt divided by `usualOwnTokens`. */
  readonly usualTokenMs: number;
  /** Milliseconds to process the mean prompt. */
  readonly usualPromptMs: number;
  /** Mean duration of a decode step while no prompt is processed, in ms. */
  readonly stepMs: number;
  /** Milliseconds that a running request adds to a decode step. */
  readonly requestStepMs: number;
  /** Milliseconds that a thousand context tokens add to a decode step. */
  readonly contextStepMs: number;
  /** Mean number of an answer's tokens. */
  readonly usualAnswerTokens: number;
  /**
   * Tokens per second to plan for: the maximum over the routes of the mean rate
   * that answers need plus 1.5 standard deviations.
   */
  readonly neededPace: number;
  /** Exponentially decayed number of sampled prompts. */
  readonly prompts: number;
  /** Relative standard error of `usualPromptMs`. */
  readonly errorPart: number;
  /**
   * Whether the estimate is precise enough to release endpoints based on it.
   */
  readonly isSure: boolean;
}

/** Amount of work for one service, or its arrival rate per second. */
export interface WorkRate {
  /** Prompt tokens that only one request has. */
  readonly ownTokens: number;
  /**
   * Millions of pairs of an own token and a token of the same prompt: the sum
   * over all prompts of `ownTokens * promptTokens / 1e6`.
   */
  readonly pairs: number;
  /** Tokens of shared prompt parts that are expected to be uncached. */
  readonly rereadTokens: number;
  readonly answerTokens: number;
  /** Sum over all answers of `answerTokens * promptTokens / 1000`. */
  readonly answerContext: number;
}
