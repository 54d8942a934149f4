/** Answers of model engines: attempts, correlation, resume. */
import type {AttemptResult, Engine} from '@skylarkfield/endpoints';

/** One token for the caller. */
export interface StreamToken {
  readonly index: number;
  readonly text: string;
}

/** What a whole answer took, over all its attempts. */
export interface StreamSummary {
  readonly reason: 'stop' | 'length';
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  /** Attempts made, 1 when nothing failed. */
  readonly attempts: number;
  /** Prompt and answer tokens computed again because an attempt was lost. */
  readonly recomputedTokens: number;
}

/** Where an attempt runs. */
export interface StreamPlace {
  readonly endpoint: string;
  readonly url: string;
  readonly engine: Engine;
  /** Prompt tokens believed to be cached there; 0 when not known. */
  readonly cachedTokens?: number;
  /** Fires when the endpoint has been told that it leaves: hand the stream over. */
  readonly leaving: AbortSignal;
  /** Monotonic milliseconds by which a leaving endpoint is gone, when known. */
  goneAt?(): number | undefined;
  /** The engine has begun with the prompt; at most once. */
  started?(cachedTokens: number): void;
  /** The first token has come; at most once. */
  streaming?(): void;
  /** Tells how the attempt went; exactly once. */
  finish(result: AttemptResult): void;
}

/** A request for an answer of a model. */
export interface StreamRequest {
  readonly id: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly urgency: number;
  readonly seed: number;
  /** Monotonic milliseconds by which the first token has to come. */
  readonly firstTokenDeadline: number;
  /** Monotonic milliseconds by which the answer has to end. */
  readonly deadline: number;
}

/** Runs requests for answers; one for all of an entry. */
export interface StreamRunner {
  /**
   * Runs a request to its end, over as many attempts as it takes.
   * `place` gives an endpoint that is not excluded, or throws;
   * `mayRetry` takes from the retry budget.
   * Each token reaches `deliver` once and in order; a promise it returns holds the stream back.
   *
   * Rejects with a `ServingError` that says `not-run` only when nothing of the
   * request reached an engine.
   */
  run(
    request: StreamRequest,
    hooks: {
      place(
        excluded: ReadonlySet<string>,
        delivered: readonly string[],
      ): StreamPlace;
      mayRetry(): boolean;
      deliver(token: StreamToken): void | Promise<void>;
    },
    signal: AbortSignal,
  ): Promise<StreamSummary>;
  dump(): unknown;
}
