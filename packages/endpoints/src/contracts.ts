/** What model engines and plain services offer, as typed clients. */

/** One request to a model engine. */
export interface Generation {
  /** Unique for each attempt; answers are bound to it. */
  readonly attempt: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** RFC 9218 urgency, 0 (most important) to 7. */
  readonly urgency: number;
  /** Tokens already delivered to the caller, to go on from; empty for a new answer. */
  readonly delivered: readonly string[];
  /** Handle of KV cache imported before, if any. */
  readonly importedCache?: string;
  /** Hint that fixes the sampled text, so that a resumed answer goes on alike. */
  readonly seed: number;
}

/** What an engine sends while it generates. */
export type GenerationEvent =
  | {
      /** The engine has begun with the prompt; comes at most once, before the first token. */
      readonly type: 'start';
      readonly attempt: string;
      readonly promptTokens: number;
      /** Tokens of the prompt and of the delivered answer that need no computing. */
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
      /** Tokens of the prompt and of the delivered answer that needed no computing. */
      readonly cachedTokens: number;
      /** Length of the whole answer, the delivered tokens included. */
      readonly generatedTokens: number;
    };

/** Load as an endpoint reports it, late. */
export interface LoadReport {
  /** Rises with every report. */
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  /** Requests that the endpoint works on at once. */
  readonly slots: number;
  /** Prompt tokens waiting to be processed. */
  readonly waitingPromptTokens: number;
  /** Fraction of the KV cache in use. */
  readonly cacheUse: number;
  /** Attempts that the report counts as running or waiting. */
  readonly attempts?: readonly string[];
}

/** A change of an engine's prefix cache; published late and with gaps. */
export interface CacheEvent {
  /** Rises by one with each event; a gap shows that events were lost. */
  readonly sequence: number;
  readonly type: 'stored' | 'evicted' | 'cleared';
  /** Block hashes as `promptBlocks` computes them. */
  readonly blocks: readonly string[];
}

/** An order that changes what an endpoint runs. */
export interface EndpointOrder {
  readonly id: string;
  readonly type: 'load-model' | 'load-adapter' | 'load-version' | 'set-role';
  /** Model, adapter, version or role to have; orders are level-triggered. */
  readonly target: string;
  /** Fencing number of the duty's holder; some endpoints refuse an old one. */
  readonly fencing: number;
  /** Wall-clock milliseconds after which the order must not be carried out. */
  readonly expiresAt: number;
}

/** KV cache of one attempt, ready to be fetched by another engine. */
export interface CacheExport {
  readonly handle: string;
  readonly tokens: number;
  readonly bytes: number;
}

/**
 * A model engine.
 *
 * Errors: `endpoint-unavailable` (nothing was sent: not run), `endpoint-failed`,
 * `interrupted` (the stream broke), `overloaded`, `fenced`, `cancelled`.
 */
export interface Engine {
  generate(
    request: Generation,
    signal: AbortSignal,
  ): AsyncIterable<GenerationEvent>;
  cancel(attempt: string): Promise<void>;
  load(signal?: AbortSignal): Promise<LoadReport>;
  /** Events after the given sequence; `resync` holds the whole cache when asked from -1. */
  cacheEvents(
    after: number,
    signal?: AbortSignal,
  ): Promise<readonly CacheEvent[]>;
  exportCache(attempt: string, signal?: AbortSignal): Promise<CacheExport>;
  importCache(
    from: {readonly url: string; readonly handle: string},
    signal?: AbortSignal,
  ): Promise<CacheExport>;
  order(order: EndpointOrder, signal?: AbortSignal): Promise<void>;
  /** What the endpoint says it runs now, to re-read after a change of holder. */
  running(signal?: AbortSignal): Promise<{
    readonly version: string;
    readonly adapters: readonly string[];
    readonly role: string;
  }>;
}

/** A call that is passed through to a plain service. */
export interface ServiceCall {
  readonly method: string;
  /** Path with query, below the service's root. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** What a plain service answered; any status is an answer. */
export interface ServiceReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * A plain service.
 *
 * Errors: `endpoint-unavailable` only when no byte of the call left this
 * process (not run); `outcome-unknown` once any may have; `cancelled`.
 */
export interface PlainService {
  call(call: ServiceCall, signal: AbortSignal): Promise<ServiceReply>;
  load(signal?: AbortSignal): Promise<LoadReport>;
}

/** How one attempt at an endpoint went. */
export interface AttemptResult {
  readonly outcome:
    | 'ok'
    | 'failed'
    | 'unreachable'
    | 'overloaded'
    | 'cancelled';
  /** Milliseconds to the first token, or to the whole answer of a plain service. */
  readonly latencyMs: number;
  /** What the engine said it found cached, if it said so. */
  readonly cachedTokens?: number;
}
