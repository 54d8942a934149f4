/** Types of token streams and of the runner that produces them. */
import type {AttemptResult, Engine} from '@skylarkfield/endpoints';

/** One token of an answer. */
export interface StreamToken {
  readonly index: number;
  readonly text: string;
}

/** Result of a completed request, over all its attempts. */
export interface StreamSummary {
  readonly reason: 'stop' | 'length';
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  /** Number of attempts; 1 when none failed or was migrated. */
  readonly attempts: number;
  /** Prompt and answer tokens that later attempts computed again. */
  readonly recomputedTokens: number;
}

/** Endpoint picked for an attempt, with callbacks for its progress. */
export interface EndpointPick {
  readonly endpoint: string;
  readonly url: string;
  readonly engine: Engine;
  /** Estimate of the prompt tokens cached there; 0 when unknown. */
  readonly cachedTokens?: number;
  /** Aborts when the endpoint has to leave: the stream has to migrate. */
  readonly leaving: AbortSignal;
  /** Monotonic milliseconds by which a leaving endpoint is gone, if known. */
  goneAt?(): number | undefined;
  /** Called at most once, when the engine starts to process the prompt. */
  onStart?(cachedTokens: number): void;
  /** Called at most once, with the first token. */
  onFirstToken?(): void;
  /** Called exactly once, with the result of the attempt. */
  finish(result: AttemptResult): void;
}

/** Request for a generated answer. */
export interface StreamRequest {
  readonly id: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly urgency: number;
  readonly seed: number;
  /** Monotonic milliseconds by which the first token must arrive. */
  readonly firstTokenDeadline: number;
  /** Monotonic milliseconds by which the answer must be complete. */
  readonly deadline: number;
}

/** Runs generation requests; one instance per entry. */
export interface StreamRunner {
  /**
   * Runs a request to completion, with further attempts after failures.
   * `pickEndpoint` picks an endpoint that is not excluded, or throws;
   * `mayRetry` consumes from the retry budget.
   * `deliver` receives each token once and in order; a returned promise applies
   * backpressure.
   *
   * Rejects with a `ServingError`; its run state is `not-run` only when nothing
   * of the request reached an engine.
   */
  run(
    request: StreamRequest,
    hooks: {
      pickEndpoint(
        excluded: ReadonlySet<string>,
        delivered: readonly string[],
      ): EndpointPick;
      mayRetry(): boolean;
      deliver(token: StreamToken): void | Promise<void>;
    },
    signal: AbortSignal,
  ): Promise<StreamSummary>;
  dump(): unknown;
}
