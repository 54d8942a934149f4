/** Stored form of a ledger shard: plain JSON, bodies in base64. */
import type {ForwardedReply} from '@skylarkfield/protocol';
import type {OrderCall} from './contracts.js';

/** Kind of the objects that hold ledger shards. */
export const LEDGER_KIND = 'ledger';

/**
 * Name of a shard's object.
 *
 * @example
 * const head = await store.get(LEDGER_KIND, shardName(3));
 */
export function shardName(index: number): string {
  return `shard-${index}`;
}

/** Incremented when the stored form changes; readers reject a higher one. */
export const LEDGER_FORMAT = 1;

export interface StoredReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64; absent when the reply was too large to be stored. */
  readonly body?: string;
}

/** An order that waits in the ledger for the next owner to execute it. */
export interface StoredOrder {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Wall-clock milliseconds after which it must not be executed any more. */
  readonly runBefore: number;
}

/**
 * `claimed`: may be running or have run; only the process that claimed it may
 * dispatch it. `settled`: has run, with its reply. `unknown`: was sent and its
 * reply was lost. `waiting`: handed over undispatched; the next owner claims
 * and executes it.
 */
export type EntryState = 'claimed' | 'settled' | 'unknown' | 'waiting';

export interface LedgerEntry {
  readonly id: string;
  /** Digest of the request; differs when a key is reused for another one. */
  readonly print: string;
  /** Unique per claim, so that a late outcome can't settle another claim. */
  readonly token: string;
  readonly state: EntryState;
  /** Member that made the claim. */
  readonly member: string;
  /** Age of the ledger when the entry got its state, in milliseconds. */
  readonly age: number;
  readonly reply?: StoredReply;
  readonly order?: StoredOrder;
}

export interface ShardRecord {
  readonly format: number;
  /** Unique instance of the process that may write; empty when released. */
  readonly owner: string;
  readonly ownerMember: string;
  /** Incremented with every change of owner. */
  readonly epoch: number;
  /** Counts the owner's writes, to identify one whose response was lost. */
  readonly write: number;
  /** Total time for which the shard has been owned, in milliseconds. */
  readonly age: number;
  readonly entries: readonly LedgerEntry[];
  /** Names of the objects that hold further, ended entries. */
  readonly segments: readonly string[];
}

/**
 * Encodes a reply; the body is omitted when it exceeds the limit.
 *
 * @example
 * const stored = encodeReply(reply, 4096);
 */
export function encodeReply(
  reply: ForwardedReply,
  maxBytes: number,
): StoredReply {
  const {status, headers, body} = reply;
  if (body === undefined || body.byteLength > maxBytes) {
    return {status, headers};
  }
  return {status, headers, body: toBase64(body)};
}

/**
 * Decodes a stored reply.
 *
 * @example
 * const reply = decodeReply(entry.reply);
 */
export function decodeReply(stored: StoredReply): ForwardedReply {
  const {status, headers, body} = stored;
  return {
    status,
    headers,
    body: body === undefined ? undefined : fromBase64(body),
  };
}

/**
 * Encodes an order.
 *
 * @example
 * const stored = encodeOrder('booking', call, clock.wall() + leftMs);
 */
export function encodeOrder(
  service: string,
  call: OrderCall,
  runBefore: number,
): StoredOrder {
  const {method, path, headers} = call;
  return {service, method, path, headers, body: toBase64(call.body), runBefore};
}

/**
 * Decodes the call of a stored order.
 *
 * @example
 * const call = decodeCall(entry.order);
 */
export function decodeCall(stored: StoredOrder): OrderCall {
  const {method, path, headers} = stored;
  return {method, path, headers, body: fromBase64(stored.body)};
}

function toBase64(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('base64');
}

function fromBase64(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text, 'base64'));
}
