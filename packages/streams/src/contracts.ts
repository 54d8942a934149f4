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
  /** Number of prompt tokens that the last attempt found in the KV cache. */
  readonly cachedTokens: number;
  /** Number of answer tokens, over all attempts. */
  readonly generatedTokens: number;
  /** Number of attempts; 1 when no attempt failed, stalled or was migrated. */
  readonly attempts: number;
  /** Number of prompt and answer tokens that later attempts computed again. */
  readonly recomputedTokens: number;
}

/** Endpoint picked for an attempt, with callbacks for its progress. */
export interface EndpointPick {
  readonly endpoint: string;
  readonly url: string;
  readonly engine: Engine;
  /** Version of the service that the endpoint runs; undefined if it has none. */
  readonly version?: string;
  /** Estimated number of prompt tokens cached at the endpoint; 0 if unknown. */
  readonly cachedTokens?: number;
  /** Aborts when the endpoint has to leave, so that the stream must migrate. */
  readonly leavingSignal: AbortSignal;
  /**
   * Monotonic milliseconds by which a leaving endpoint is gone; undefined if
   * unknown.
   */
  goneAtMs?(): number | undefined;
  /**
   * Called at most once, when the engine starts to process the prompt, with the
   * number of prompt tokens found in its KV cache.
   */
  onStart?(cachedTokens: number): void;
  /** Called at most once, when the first token of the attempt arrives. */
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
   * Runs a request to completion; repeats failed attempts. A stalled attempt
   * stays open while another one is tried, and the first of them to send the
   * next token goes on; the other is cancelled. `pickEndpoint` picks
   * an endpoint that is not excluded, or throws if none is available;
   * `mayRetry` takes a retry from the retry budget and returns false if the
   * budget is exhausted. `deliver` receives each token once and in order; if it
   * returns a promise, the stream pauses until the promise resolves.
   *
   * Rejects with a `ServingError` whose run state is `not-run` only when no
   * part of the request reached an engine.
   */
  run(
    request: StreamRequest,
    hooks: {
      pickEndpoint(
        excludedEndpoints: ReadonlySet<string>,
        deliveredTokens: readonly string[],
      ): EndpointPick;
      mayRetry(): boolean;
      deliver(token: StreamToken): void | Promise<void>;
    },
    signal: AbortSignal,
  ): Promise<StreamSummary>;
  dump(): unknown;
}
