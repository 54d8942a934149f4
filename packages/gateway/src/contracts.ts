/**
 * What the gateway needs of the platform it runs on. The platform's adapter
 * implements these; nothing here knows the platform's names or formats.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Freshness, ObjectTransport} from '@skylarkfield/providers';
import type {
  CustomerCounts,
  ModelDemand,
  RegisteredEndpoint,
  Rollout,
  RolloutState,
  TrafficPolicy,
} from '@skylarkfield/traffic';

/** What a caller's request says about itself. */
export interface CallHead {
  /** Unique for each attempt of a caller; undefined when the caller sent none. */
  readonly attemptId: string | undefined;
  readonly authority: string;
  readonly key: string | undefined;
  /** How long the caller waits, in milliseconds; undefined when it does not say. */
  readonly timeoutMs: number | undefined;
  /** Undefined for a request to a plain service. */
  readonly demand: ModelDemand | undefined;
  /** The last event that the caller has of an earlier answer. */
  readonly lastEventId: string | undefined;
}

/** What the gateway tells an endpoint besides the caller's own request. */
export interface SendTerms {
  /** How long the answer is of use, in milliseconds. */
  readonly timeoutMs: number;
  /** The process that must answer; any other one refuses. */
  readonly endpointId: string;
  readonly customer: string | undefined;
  /** 0 (most important) to 9; undefined where the service has no order of its own. */
  readonly urgency: number | undefined;
  readonly lastEventId: string | undefined;
  /** Memory of the same request from which the endpoint goes on. */
  readonly memory: KvCacheRef | undefined;
}

/** A request's memory that was copied from one engine to another. */
export interface KvCacheRef {
  /** `IP:port` of the engine that ran the request before. */
  readonly source: string;
  readonly handle: string;
}

/** What came of moving a request's memory. */
export type MoveAnswer =
  /** The request has stopped at its source; the copy is at the target. */
  | {readonly type: 'moved'; readonly memory: KvCacheRef}
  /** The request has stopped, and only its source has the memory. */
  | {readonly type: 'stopped'; readonly memory: KvCacheRef}
  /** The request runs on where it is, or has ended. */
  | {readonly type: 'refused'}
  /** Nobody knows. */
  | {readonly type: 'unknown'};

/** Orders to model engines about single requests. */
export interface EngineMoves {
  /** Stops a running request and copies its memory to another engine. */
  move(
    source: string,
    attemptId: string,
    target: string,
    signal: AbortSignal,
  ): Promise<MoveAnswer>;
}

/** Requests at an endpoint as it says itself. */
export interface SelfReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an endpoint's answer says about itself. */
export interface ReplyHead {
  readonly attemptId: string | undefined;
  /** The endpoint promises that it has not run the request and won't. */
  readonly isNotRun: boolean;
  readonly load: SelfReportedLoad | undefined;
  /** Requests a second that the endpoint takes from all entries together; undefined when it names no limit. */
  readonly limitPerSecond: number | undefined;
}

/** Headers as undici gives them. */
export type ReplyHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** The form in which callers and endpoints speak. */
export interface CallFormat {
  readCall(headers: IncomingHttpHeaders): CallHead;
  /** Headers for the endpoint, as names and values in turn. */
  sendHeaders(rawHeaders: readonly string[], terms: SendTerms): string[];
  readReply(headers: ReplyHeaders, status: number): ReplyHead;
  /** Headers of an endpoint's answer that go back to the caller. */
  replyHeaders(headers: ReplyHeaders): Record<string, string | string[]>;
}

/** Where a caller should connect. */
export interface LookupFormat {
  /** The failure domain that a lookup comes from; undefined when the path is no lookup. */
  readLookup(url: string): {readonly failureDomain: string} | undefined;
  /** The body of an answer; addresses are `IP:port`. */
  writeAnswer(addresses: readonly string[], ttlMs: number): string;
  /** Whether the path asks if this process is ready. */
  isReadiness(url: string): boolean;
}

/** An object with the store's revision of its last change. */
export interface SourceItem<T> {
  readonly name: string;
  readonly revision: number;
  readonly value: T;
}

/** All objects of a kind at one revision of the store. */
export interface SourceListing<T> {
  readonly revision: number;
  readonly items: readonly SourceItem<T>[];
}

/** One change of a kind; without an item the object is gone. */
export interface SourceChange<T> {
  readonly name: string;
  readonly item: SourceItem<T> | undefined;
}

/** Changes after a revision, up to another one. */
export interface SourceChanges<T> {
  readonly revision: number;
  readonly changes: readonly SourceChange<T>[];
}

/**
 * One kind of objects that others write, decoded. Objects that can't be decoded
 * are left out and logged.
 *
 * Errors: `platform-unavailable`, `overloaded`, `cancelled`.
 */
export interface Source<T> {
  list(signal: AbortSignal, freshness: Freshness): Promise<SourceListing<T>>;
  /**
   * Changes after a revision; waits up to so many milliseconds for the first.
   * Undefined when the store no longer keeps them.
   */
  changes(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<SourceChanges<T> | undefined>;
}

/** The holder of a duty with its fencing number, as each order carries them. */
export interface OrderAuthority {
  readonly holder: string;
  readonly fencing: number;
}

/** How many endpoints of one market a service should have in a failure domain. */
export interface EndpointOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/** How the platform answered an order. */
export type OrderAnswer =
  /** Done. */
  | 'accepted'
  /** None are to be had at present. */
  | 'unavailable'
  /** Not done for another reason; worth another try later. */
  | 'failed';

/** Calls that one holder at a time makes. */
export interface PlatformOrders {
  reportUsage(
    authority: OrderAuthority,
    window: number,
    counts: CustomerCounts,
    signal: AbortSignal,
  ): Promise<OrderAnswer>;
  orderEndpoints(
    authority: OrderAuthority,
    order: EndpointOrder,
    signal: AbortSignal,
  ): Promise<OrderAnswer>;
}

/** The platform as the gateway uses it. */
export interface Platform {
  readonly calls: CallFormat;
  readonly lookups: LookupFormat;
  readonly policy: Source<TrafficPolicy>;
  readonly endpoints: Source<RegisteredEndpoint>;
  readonly rollouts: Source<Rollout>;
  /** Objects of the system's own: members, leases, usage reports, crashes. */
  readonly objects: ObjectTransport;
  /** One kind of them as a source to mirror; `read` throws on a value that it does not understand. */
  ownObjects<T>(kind: string, read: (value: unknown) => T): Source<T>;
  readonly orders: PlatformOrders;
  readonly engines: EngineMoves;
  /** Tells the operator how a rollout stands. */
  writeRolloutState(
    name: string,
    target: string,
    state: RolloutState,
    signal: AbortSignal,
  ): Promise<void>;
}
