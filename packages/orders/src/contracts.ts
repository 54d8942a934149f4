/** Non-idempotent calls that run at most once. */
import type {Disposable} from '@skylarkfield/base';

/** A call that may not be repeated. */
export interface Order {
  readonly customer: string;
  readonly service: string;
  /** The caller's idempotency key; undefined when none was given. */
  readonly key: string | undefined;
  /** Hash over method, path and body: the same key with another print is refused. */
  readonly fingerprint: string;
  readonly call: OrderCall;
  /** Monotonic milliseconds by which it has to be answered. */
  readonly deadline: number;
}

export interface OrderCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** What the service answered. */
export interface OrderReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export interface OrderAnswer {
  readonly reply: OrderReply;
  /** True when an earlier run with the same key gave this reply. */
  readonly isReplay: boolean;
  /** True when the caller gave no key, so that a retry cannot be recognised. */
  readonly isUnrecognisable: boolean;
}

/**
 * Sends one call to an endpoint, after waiting for capacity as long as it takes.
 *
 * `begin` is called synchronously right before the call goes to an endpoint.
 * When it returns false the order was given up or handed over meanwhile: the
 * call must not be sent, and `cancelled` (not run) is thrown. It is called again
 * before another endpoint is tried, after one that certainly got nothing.
 *
 * Throws `endpoint-unavailable` only when no byte of the call was sent
 * (certainly not run), `outcome-unknown` once any may have been.
 */
export type Dispatch = (
  service: string,
  call: OrderCall,
  signal: AbortSignal,
  begin: () => boolean,
) => Promise<OrderReply>;

export interface Ledger extends Disposable {
  /**
   * Runs the order at most once, over all entries and retries.
   *
   * Errors: `key-conflict`, `in-progress`, `platform-unavailable` and `leaving`
   * (both not run), `deadline-exceeded`, `outcome-unknown` (may have run),
   * `overloaded`.
   */
  submit(order: Order, signal: AbortSignal): Promise<OrderAnswer>;
  /** Stops taking orders, hands waiting ones over, waits for those running. */
  leave(): Promise<void>;
  dump(): unknown;
}
