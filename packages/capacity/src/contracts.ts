/** What entries learn of a service's engines and tell each other. */
import type {RegressionSums} from './regression.js';

/** A prompt that was read, from its sending to the first event of its answer. */
export interface PromptSample {
  readonly service: string;
  readonly route: string;
  /** Tokens that only this request has, which no cache holds. */
  readonly ownTokens: number;
  readonly promptTokens: number;
  /** Tokens of shared parts that are thought to be read again. */
  readonly rereadTokens: number;
  /** Prompt tokens that the endpoint had to read before. */
  readonly pendingTokens: number;
  readonly tookMs: number;
}

/** The answer of one request, as it came from one endpoint. */
export interface AnswerSample {
  readonly service: string;
  readonly route: string;
  readonly tokens: number;
  /** Milliseconds of a step of the engine while no prompt was read. */
  readonly stepMs: number;
  /** Requests that ran there beside it. */
  readonly requests: number;
  /** Tokens of all prompts that ran there. */
  readonly contextTokens: number;
  /** Time in which the whole answer is of use, in milliseconds. */
  readonly allowedMs: number;
}

/** How many tokens a second answers of one route need to be whole in time. */
export interface PaceSums {
  readonly count: number;
  /** Tokens of the answers. */
  readonly tokens: number;
  readonly total: number;
  readonly squares: number;
}

/** What one or more entries have seen of a service's engines. */
export interface ServiceSums {
  readonly prompts: RegressionSums;
  readonly answers: RegressionSums;
  readonly paces: Readonly<Record<string, PaceSums>>;
}

export type CapacitySums = Readonly<Record<string, ServiceSums>>;

/** What a route asks of its service's engines. */
export interface RouteAim {
  /** Time to the first event that callers hope for, in milliseconds. */
  readonly goalMs: number;
  /** The longest that a caller waits for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** An engine's speed, as far as it is known. */
export interface EngineFigures {
  /** Milliseconds for a token of a prompt, without its look at the tokens before it. */
  readonly promptTokenMs: number;
  /** Milliseconds for a million pairs of a prompt's token with one before it. */
  readonly pairsMs: number;
  /** Milliseconds for a token of a shared part that is thought to be read again, and mostly is cached. */
  readonly rereadTokenMs: number;
  /** Tokens of the usual prompt that no cache holds. */
  readonly usualOwnTokens: number;
  /** Milliseconds for a prompt token of the usual prompt, all in all. */
  readonly usualTokenMs: number;
  /** Milliseconds for reading the usual prompt. */
  readonly usualPromptMs: number;
  /** Milliseconds of a step at the usual load while no prompt is read. */
  readonly stepMs: number;
  /** Milliseconds that a running request adds to every step. */
  readonly requestStepMs: number;
  /** Milliseconds that a thousand tokens in memory add to every step. */
  readonly contextStepMs: number;
  /** Tokens of the usual answer. */
  readonly usualAnswerTokens: number;
  /** Tokens a second that the longer answers of the most demanding route need. */
  readonly neededPace: number;
  /** Prompts that the figures rest on, older ones counting for less. */
  readonly prompts: number;
  /** Standard error of the usual prompt's time relative to it. */
  readonly errorPart: number;
  /** Enough was seen to send endpoints away by these figures. */
  readonly isSure: boolean;
}

/** Work that callers of one service bring in a second. */
export interface WorkRate {
  /** Prompt tokens that belong to one request alone. */
  readonly ownTokens: number;
  /** Pairs of such a token with one before it, in millions. */
  readonly pairs: number;
  /** Tokens of shared parts that are thought to be read again. */
  readonly rereadTokens: number;
  readonly answerTokens: number;
  /** Each answer's tokens times the thousands of tokens of its prompt. */
  readonly answerContext: number;
}
