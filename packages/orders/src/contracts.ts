/** Contracts of the ledger that executes non-idempotent calls at most once. */
import type {Disposable} from '@skylarkfield/base';

/** A non-idempotent call. */
export interface Order {
  readonly customer: string;
  readonly service: string;
  /** Idempotency key sent by the caller; undefined when there was none. */
  readonly key: string | undefined;
  /** Hash of method, path and body; must not differ between uses of a key. */
  readonly fingerprint: string;
  readonly call: OrderCall;
  /** Monotonic milliseconds by which the caller must be answered. */
  readonly deadline: number;
}

export interface OrderCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Response of the service. */
export interface OrderReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface SubmitResult {
  readonly reply: OrderReply;
  /** True when the reply comes from an earlier execution under the same key. */
  readonly isReplay: boolean;
  /** True when the caller sent no key, so that a retry cannot be recognized. */
  readonly isUnkeyed: boolean;
}

/**
 * Sends one call to an endpoint, after waiting for capacity as long as needed.
 *
 * `begin` is called synchronously right before the call goes to an endpoint.
 * When it returns false, the order was cancelled or handed over meanwhile: the
 * call must not be sent, and `cancelled` (not run) is thrown. `begin` is called
 * again before another endpoint is tried, once the previous endpoint certainly
 * received nothing.
 *
 * Throws `endpoint-unavailable` only when no byte of the call was sent
 * (certainly not run), `outcome-unknown` once any byte may have been.
 */
export type Dispatch = (
  service: string,
  call: OrderCall,
  signal: AbortSignal,
  begin: () => boolean,
) => Promise<OrderReply>;

export interface Ledger extends Disposable {
  /**
   * Executes the order at most once across all entries and retries.
   *
   * Errors: `key-conflict`, `in-progress`, `platform-unavailable` and `leaving`
   * (both not run), `deadline-exceeded`, `outcome-unknown` (may have run),
   * `overloaded`.
   */
  submit(order: Order, signal: AbortSignal): Promise<SubmitResult>;
  /** Rejects new orders, hands over waiting ones, awaits those in progress. */
  leave(): Promise<void>;
  dump(): unknown;
}
