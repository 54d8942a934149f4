/** A ledger shard as the platform keeps it: plain JSON, bodies in base64. */
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

/** Raised when the stored form changes; readers refuse a higher one. */
export const LEDGER_FORMAT = 1;

export interface StoredReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64; absent when the reply was too large to be kept. */
  readonly body?: string;
}

/** An order that waits in the ledger for the next owner to run it. */
export interface StoredOrder {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Wall-clock milliseconds after which it is not run any more. */
  readonly runBefore: number;
}

/**
 * `claimed`: may be running or have run; only the process that claimed it may
 * dispatch it. `settled`: has run, with its reply. `unknown`: was sent and its
 * reply was lost. `waiting`: handed over undispatched; the next owner runs it
 * after claiming it.
 */
export type EntryState = 'claimed' | 'settled' | 'unknown' | 'waiting';

export interface LedgerEntry {
  readonly id: string;
  readonly print: string;
  /** Unique for each claim, so that a late outcome can't settle another claim. */
  readonly token: string;
  readonly state: EntryState;
  /** Member that made the claim. */
  readonly member: string;
  /** The ledger's age when the entry got its state. */
  readonly age: number;
  readonly reply?: StoredReply;
  readonly order?: StoredOrder;
}

export interface ShardRecord {
  readonly format: number;
  /** Process that may write, by its unique instance; empty when released. */
  readonly owner: string;
  readonly ownerMember: string;
  /** Rises with every change of owner. */
  readonly epoch: number;
  /** Counts the owner's writes, to recognise one whose reply was lost. */
  readonly write: number;
  /** Milliseconds for which the shard has been owned altogether. */
  readonly age: number;
  readonly entries: readonly LedgerEntry[];
  /** Names of the objects that hold further, ended entries. */
  readonly segments: readonly string[];
}

/**
 * A reply in its stored form; without its body when that is above the bound.
 *
 * @example
 * const stored = storeReply(reply, 4096);
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
 * A stored reply as it is sent.
 *
 * @example
 * const reply = readReply(entry.reply);
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
 * An order in its stored form.
 *
 * @example
 * const stored = storeOrder('booking', call, clock.wall() + leftMs);
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
 * The call of a stored order.
 *
 * @example
 * const call = readCall(entry.order);
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
