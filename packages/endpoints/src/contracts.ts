/** Types of the clients of model engines and plain services. */

/** Generation request to a model engine. */
export interface GenerationRequest {
  /** Unique id of the attempt; every event of the answer carries it. */
  readonly attempt: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** RFC 9218 urgency, 0 (most important) to 7. */
  readonly urgency: number;
  /** Tokens already delivered, to resume after them; empty for a new answer. */
  readonly delivered: readonly string[];
  /** Handle of an imported KV cache; absent if no cache was imported. */
  readonly importedCache?: string;
  /** Sampling seed, so that a resumed answer continues with the same text. */
  readonly seed: number;
}

/** Event that an engine sends during a generation. */
export type GenerationEvent =
  | {
      /** Prompt processing has started; sent at most once, before any token. */
      readonly type: 'start';
      readonly attempt: string;
      readonly promptTokens: number;
      /** Prompt and delivered tokens that need no computation. */
      readonly cachedTokens: number;
    }
  | {
      readonly type: 'token';
      readonly attempt: string;
      /** Position in the whole answer, from 0. */
      readonly index: number;
      readonly text: string;
    }
  | {
      readonly type: 'end';
      readonly attempt: string;
      readonly reason: 'stop' | 'length';
      readonly promptTokens: number;
      /** Prompt and delivered tokens that needed no computation. */
      readonly cachedTokens: number;
      /** Tokens of the whole answer, including those delivered before. */
      readonly generatedTokens: number;
    };

/** Load reported by an endpoint; lags behind the actual load. */
export interface LoadReport {
  /** Increases with every report. */
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  /** Number of requests that the endpoint can run concurrently. */
  readonly slots: number;
  /** Prompt tokens waiting to be processed. */
  readonly waitingPromptTokens: number;
  /** Fraction of the KV cache in use. */
  readonly cacheUse: number;
  /**
   * How many times as long as usual work takes on the endpoint's host; absent
   * if the endpoint does not report it.
   */
  readonly slowness?: number;
  /** Ids of the attempts counted as running or waiting. */
  readonly attempts?: readonly string[];
}

/** Change of an engine's prefix cache; events arrive late and may be lost. */
export interface CacheEvent {
  /** Increases by one with each event; a gap means that events were lost. */
  readonly sequence: number;
  readonly type: 'stored' | 'evicted' | 'cleared';
  /** Block hashes as computed by `hashPromptBlocks`. */
  readonly blocks: readonly string[];
}

/** Command that changes what an endpoint runs. */
export interface EndpointCommand {
  readonly id: string;
  readonly type: 'load-model' | 'load-adapter' | 'load-version' | 'set-role';
  /** Desired model, adapter, version or role; commands are level-triggered. */
  readonly target: string;
  /** Fencing token of the issuer; some endpoints reject a stale token. */
  readonly fencing: number;
  /** Wall-clock milliseconds after which the command must not be executed. */
  readonly expiresAt: number;
}

/** KV cache of one attempt, available for import by another engine. */
export interface CacheExport {
  readonly handle: string;
  readonly tokens: number;
  readonly bytes: number;
}

/**
 * Client of a model engine.
 *
 * Errors: `endpoint-unavailable` (nothing sent: not run), `endpoint-failed`,
 * `interrupted` (connection lost), `overloaded`, `fenced`, `cancelled`.
 */
export interface Engine {
  generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerationEvent>;
  cancel(attempt: string): Promise<void>;
  load(signal?: AbortSignal): Promise<LoadReport>;
  /** Returns the events after a sequence number; -1 for the whole cache. */
  readCacheEvents(
    afterSequence: number,
    signal?: AbortSignal,
  ): Promise<readonly CacheEvent[]>;
  exportCache(attempt: string, signal?: AbortSignal): Promise<CacheExport>;
  importCache(
    source: {readonly url: string; readonly handle: string},
    signal?: AbortSignal,
  ): Promise<CacheExport>;
  sendCommand(command: EndpointCommand, signal?: AbortSignal): Promise<void>;
  /**
   * Returns the version, adapters and role that the endpoint runs; a new lease
   * holder reads them again.
   */
  readRunningState(signal?: AbortSignal): Promise<{
    readonly version: string;
    readonly adapters: readonly string[];
    readonly role: string;
  }>;
}

/** Call that is forwarded to a plain service. */
export interface ServiceCall {
  readonly method: string;
  /** Path with query, relative to the service's base URL. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Response of a plain service, with any status. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /**
   * Whether only the close of the connection marked the end of the body, which
   * nothing has confirmed; replies that an earlier release stored may have it.
   */
  readonly isEndUnmarked?: boolean;
}

/**
 * Client of a plain service.
 *
 * Errors: `endpoint-unavailable` only when no byte of the call left this
 * process (not run); `outcome-unknown` if any byte may have left; `cancelled`.
 */
export interface PlainService {
  call(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse>;
  load(signal?: AbortSignal): Promise<LoadReport>;
}

/** Result of one attempt at an endpoint. */
export interface AttemptResult {
  readonly outcome:
    | 'ok'
    | 'failed'
    | 'unreachable'
    | 'overloaded'
    | 'cancelled';
  /** Milliseconds to the first token, or to a plain service's response. */
  readonly latencyMs: number;
  /** Cached tokens that the engine reported; absent without a report. */
  readonly cachedTokens?: number;
}
