/** Stored form of a ledger shard: plain JSON, bodies in base64. */
import type {ForwardedReply} from '@skylarkfield/protocol';
import type {OrderCall} from './contracts.js';

/** Kind of the objects that hold ledger shards. */
export const LEDGER_KIND = 'ledger';

/**
 * Name of the object in which a shard is stored.
 *
 * @example
 * const head = await store.get(LEDGER_KIND, shardName(3));
 */
export function shardName(index: number): string {
  return `shard-${index}`;
}

/** Version of the stored form; readers reject shards with a higher version. */
export const LEDGER_FORMAT = 1;

/** Reply of an ended order, stored for retries. */
export interface StoredReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Body in base64; absent when the body was too large to be stored. */
  readonly body?: string;
  /** Whether only the close of the connection marked the end of the body. */
  readonly isEndUnmarked?: boolean;
}

/** An order that waits in the ledger for the next owner to execute it. */
export interface StoredOrder {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Wall-clock milliseconds after which the order must not be executed. */
  readonly runBefore: number;
}

/**
 * `claimed`: the order may be running or have run; only the process that
 * claimed the order may dispatch it. `settled`: the order has run and its reply
 * is known. `unknown`: the order was sent and its reply was lost. `waiting`:
 * the order was handed over before it was dispatched; the next owner of the
 * shard claims and executes it.
 */
export type EntryState = 'claimed' | 'settled' | 'unknown' | 'waiting';

/** The claim of an order and its outcome. */
export interface LedgerEntry {
  readonly id: string;
  /** Digest of the request, to detect a key reused for another request. */
  readonly print: string;
  /** Unique for each claim: a late outcome must not settle another claim. */
  readonly token: string;
  readonly state: EntryState;
  /** Id of the entry that made the claim. */
  readonly member: string;
  /** Age of the shard in milliseconds when the state was last set. */
  readonly age: number;
  readonly reply?: StoredReply;
  readonly order?: StoredOrder;
}

/** Content of the object in which a shard is stored. */
export interface ShardRecord {
  readonly format: number;
  /** Instance id of the process that owns the shard; empty when released. */
  readonly owner: string;
  /** Id of the entry that owns the shard; empty when released. */
  readonly ownerMember: string;
  /** Incremented with every change of owner. */
  readonly epoch: number;
  /** Count of writes in this epoch; identifies a write without a response. */
  readonly write: number;
  /** Total time for which the shard has been owned, in milliseconds. */
  readonly age: number;
  readonly entries: readonly LedgerEntry[];
  /** Names of the segments, which contain ended entries of this shard. */
  readonly segments: readonly string[];
}

/**
 * Encodes a reply; omits a body of more than `maxBytes`.
 *
 * @example
 * const stored = encodeReply(reply, 4096);
 */
export function encodeReply(
  reply: ForwardedReply,
  maxBytes: number,
): StoredReply {
  const {body, ...rest} = reply;
  if (body === undefined || body.byteLength > maxBytes) {
    return rest;
  }
  return {...rest, body: toBase64(body)};
}

/**
 * Decodes a stored reply.
 *
 * @example
 * const reply = decodeReply(entry.reply);
 */
export function decodeReply(storedReply: StoredReply): ForwardedReply {
  const {body, ...rest} = storedReply;
  return {
    ...rest,
    body: body === undefined ? undefined : fromBase64(body),
  };
}

/**
 * Encodes an order that is handed over in the ledger.
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
export function decodeCall(storedOrder: StoredOrder): OrderCall {
  const {method, path, headers} = storedOrder;
  return {method, path, headers, body: fromBase64(storedOrder.body)};
}

function toBase64(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('base64');
}

function fromBase64(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text, 'base64'));
}
