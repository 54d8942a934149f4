/** Contracts of the ledger that executes non-idempotent calls at most once. */
import type {Disposable} from '@skylarkfield/base';

/** A non-idempotent call. */
export interface Order {
  readonly customer: string;
  readonly service: string;
  /** Idempotency key sent by the caller; undefined without a key. */
  readonly key: string | undefined;
  /** Hash of method, path and body; must not differ for orders with one key. */
  readonly fingerprint: string;
  readonly call: OrderCall;
  /** Monotonic milliseconds by which the caller must be answered. */
  readonly deadline: number;
}

/** The HTTP call that an order makes to its service. */
export interface OrderCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Response of the service to an order. */
export interface OrderReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether only the close of the connection marked the end of the body. */
  readonly isEndUnmarked?: boolean;
}

/** Result of an order for its caller. */
export interface SubmitResult {
  readonly reply: OrderReply;
  /** True when the reply comes from an earlier execution under the same key. */
  readonly isReplay: boolean;
  /** True when the caller sent no key, so that a retry cannot be recognized. */
  readonly hasNoKey: boolean;
}

/**
 * Waits until the service has capacity, then sends one call to an endpoint.
 *
 * `begin` is called synchronously right before the call goes to an endpoint.
 * When `begin` returns false, the order was cancelled or handed over meanwhile:
 * the call must not be sent, and the function throws `cancelled` (not run).
 * `begin` is called again before the call goes to another endpoint, which
 * requires that the previous endpoint certainly received nothing.
 *
 * Throws `endpoint-unavailable` only when no byte of the call was sent
 * (certainly not run), and `outcome-unknown` when any byte may have been sent.
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
   * Throws `platform-unavailable` or `leaving` (both not run), `overloaded`,
   * `not-ready`, `key-conflict`, `cancelled`, `deadline-exceeded`,
   * `outcome-unknown` (may have run), or the error of `Dispatch`.
   */
  submit(order: Order, signal: AbortSignal): Promise<SubmitResult>;
  /**
   * Rejects new orders, hands over orders that were not sent yet, and waits for
   * the sent orders to end.
   */
  leave(): Promise<void>;
  dump(): unknown;
}
