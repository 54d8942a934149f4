/**
 * Interfaces that the gateway requires of its platform. The platform's adapter
 * implements them; the platform's own names and formats stay there.
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

/** Metadata of a caller's request, read from its headers. */
export interface CallHead {
  /** Unique for each attempt of a caller; undefined if the caller sent none. */
  readonly attemptId: string | undefined;
  readonly authority: string;
  readonly key: string | undefined;
  /** Timeout of the caller, in milliseconds; undefined if not specified. */
  readonly timeoutMs: number | undefined;
  /** Undefined for a request to a plain service. */
  readonly demand: ModelDemand | undefined;
  /** Id of the last event that the caller received from an earlier response. */
  readonly lastEventId: string | undefined;
}

/** Fields that the gateway adds to a request when it forwards it. */
export interface UpstreamFields {
  /** Time left for the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Id of the process that must respond; any other rejects the request. */
  readonly endpointId: string;
  readonly customer: string | undefined;
  /** 0 (most urgent) to 9; undefined if the service ignores urgency. */
  readonly urgency: number | undefined;
  readonly lastEventId: string | undefined;
  /** KV cache from which the endpoint resumes the request. */
  readonly kvCache: KvCacheRef | undefined;
}

/** Reference to the KV cache of a request that was migrated between engines. */
export interface KvCacheRef {
  /** `IP:port` of the engine that ran the request before. */
  readonly source: string;
  readonly handle: string;
}

/** Result of migrating a request. */
export type MigrationResult =
  /** The request was stopped and its KV cache copied to the target. */
  | {readonly type: 'moved'; readonly kvCache: KvCacheRef}
  /** The request was stopped, and its KV cache is only at the source. */
  | {readonly type: 'stopped'; readonly kvCache: KvCacheRef}
  /** The request still runs at its source, or has already ended. */
  | {readonly type: 'refused'}
  /** The call failed, so the state of the request is unknown. */
  | {readonly type: 'unknown'};

/** Migration of running requests between model engines. */
export interface RequestMigrator {
  /** Stops a running request and copies its KV cache to another engine. */
  migrate(
    source: string,
    attemptId: string,
    target: string,
    signal: AbortSignal,
  ): Promise<MigrationResult>;
}

/** Load of an endpoint as reported by the endpoint itself. */
export interface SelfReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Metadata of an endpoint's response, read from its headers and status. */
export interface ResponseHead {
  readonly attemptId: string | undefined;
  /** The endpoint guarantees that the request has not run and will not run. */
  readonly isNotRun: boolean;
  readonly load: SelfReportedLoad | undefined;
  /**
   * Requests per second that the endpoint accepts from all entries together;
   * undefined if unlimited.
   */
  readonly limitPerSecond: number | undefined;
}

/** Response headers in the form that undici passes them. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Codec for the headers exchanged with callers and endpoints. */
export interface CallFormat {
  readCall(headers: IncomingHttpHeaders): CallHead;
  /** Returns headers for the endpoint as alternating names and values. */
  upstreamHeaders(
    rawHeaders: readonly string[],
    fields: UpstreamFields,
  ): string[];
  readResponse(headers: ResponseHeaders, status: number): ResponseHead;
  /** Returns the headers of an endpoint's response for the caller. */
  callerHeaders(headers: ResponseHeaders): Record<string, string | string[]>;
}

/** Codec for service discovery by callers and for readiness checks. */
export interface LookupFormat {
  /** Returns the failure domain of a lookup; undefined for other paths. */
  parseLookup(url: string): {readonly failureDomain: string} | undefined;
  /** Returns a response body; addresses are `IP:port`. */
  writeAnswer(addresses: readonly string[], ttlMs: number): string;
  /** Whether the path is that of the readiness check. */
  isReadiness(url: string): boolean;
}

/** An object with the store revision of its last change. */
export interface SourceItem<T> {
  readonly name: string;
  readonly revision: number;
  readonly value: T;
}

/** All objects of one kind at one store revision. */
export interface SourceListing<T> {
  readonly revision: number;
  readonly items: readonly SourceItem<T>[];
}

/** A change to one object; `item` is undefined if the object was removed. */
export interface SourceChange<T> {
  readonly name: string;
  readonly item: SourceItem<T> | undefined;
}

/** The changes from one store revision to another. */
export interface SourceChanges<T> {
  readonly revision: number;
  readonly changes: readonly SourceChange<T>[];
}

/**
 * Decoded objects of one kind, written by other systems. Objects that cannot be
 * decoded are omitted and logged.
 *
 * Errors: `platform-unavailable`, `overloaded`, `cancelled`.
 */
export interface ObjectSource<T> {
  list(signal: AbortSignal, freshness: Freshness): Promise<SourceListing<T>>;
  /**
   * Returns the changes after a revision, long-polling up to `waitMs` for the
   * first. Undefined if the store has compacted them.
   */
  changes(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<SourceChanges<T> | undefined>;
}

/** The duty's holder and its fencing token, sent with each order. */
export interface FencingCredentials {
  readonly holder: string;
  readonly fencing: number;
}

/** Target number of a service's endpoints in a market of a failure domain. */
export interface EndpointOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/** Result of an order. */
export type EndpointOrderResult =
  | 'accepted'
  /** No capacity is available at present. */
  | 'unavailable'
  /** Failed for another reason; may be retried later. */
  | 'failed';

/** Platform calls that only the holder of the duty makes. */
export interface PlatformOrders {
  reportUsage(
    credentials: FencingCredentials,
    window: number,
    counts: CustomerCounts,
    signal: AbortSignal,
  ): Promise<EndpointOrderResult>;
  orderEndpoints(
    credentials: FencingCredentials,
    order: EndpointOrder,
    signal: AbortSignal,
  ): Promise<EndpointOrderResult>;
}

/** The platform as used by the gateway. */
export interface Platform {
  readonly calls: CallFormat;
  readonly lookups: LookupFormat;
  readonly policy: ObjectSource<TrafficPolicy>;
  readonly endpoints: ObjectSource<RegisteredEndpoint>;
  readonly rollouts: ObjectSource<Rollout>;
  /** Objects that the gateway writes: members, leases, usage, crashes. */
  readonly objects: ObjectTransport;
  /** Returns one kind of `objects` as a source; `read` throws if invalid. */
  systemObjects<T>(kind: string, read: (value: unknown) => T): ObjectSource<T>;
  readonly orders: PlatformOrders;
  readonly requestMigrator: RequestMigrator;
  /** Publishes the state of a rollout to the operator. */
  writeRolloutState(
    name: string,
    target: string,
    state: RolloutState,
    signal: AbortSignal,
  ): Promise<void>;
}
