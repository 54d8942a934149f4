/**
 * Interfaces that the gateway requires of its platform. The platform's adapter
 * implements them, so the platform's names and formats do not occur in the
 * gateway.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Freshness, ObjectTransport} from '@skylarkfield/providers';
import type {
  CustomerCounts,
  ModelDemand,
  DomainDrain,
  RegisteredEndpoint,
  Rollout,
  RolloutState,
  TrafficPolicy,
} from '@skylarkfield/traffic';

/** Metadata of a caller's request, read from its headers. */
export interface CallHead {
  /** Id of the caller's attempt; undefined if the caller sent no id. */
  readonly attemptId: string | undefined;
  /** Host that the request is addressed to. */
  readonly authority: string;
  /** API key of the caller; undefined if the caller sent no key. */
  readonly key: string | undefined;
  /** Timeout of the caller, in milliseconds; undefined if not specified. */
  readonly timeoutMs: number | undefined;
  /** Requested model and tokens; undefined for a plain service. */
  readonly demand: ModelDemand | undefined;
  /**
   * Id of the last event that the caller received from an earlier response;
   * undefined if the caller does not resume a stream.
   */
  readonly lastEventId: string | undefined;
}

/** Values that the gateway adds to the headers of a forwarded request. */
export interface UpstreamHeaderValues {
  /** Time until the deadline of the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Id of the process that must respond; all others reject the request. */
  readonly endpointId: string;
  readonly customer: string | undefined;
  /** 0 (most urgent) to 9; undefined if the service ignores urgency. */
  readonly urgency: number | undefined;
  readonly lastEventId: string | undefined;
  /** KV cache from which the endpoint resumes the request, if migrated. */
  readonly kvCache: KvCacheReference | undefined;
}

/** Reference to the KV cache of a request that was migrated between engines. */
export interface KvCacheReference {
  /** `IP:port` of the engine that ran the request before the migration. */
  readonly source: string;
  /** Id of the KV cache at the source engine. */
  readonly handle: string;
}

/** Result of migrating a request. */
export type MigrationResult =
  /** The request was stopped and its KV cache copied to the target. */
  | {readonly type: 'moved'; readonly kvCache: KvCacheReference}
  /**
   * The request was stopped, but its KV cache was not copied from the source.
   */
  | {readonly type: 'stopped'; readonly kvCache: KvCacheReference}
  /** The request still runs at its source, or has already ended. */
  | {readonly type: 'refused'}
  /** The call failed, so it is unknown whether the request still runs. */
  | {readonly type: 'unknown'};

/** Result of copying the KV cache of a request that runs on. */
export type CopyResult =
  | {readonly type: 'copied'; readonly kvCache: KvCacheReference}
  /** The target has no room, or the request cannot be migrated. */
  | {readonly type: 'refused'};

/** Migration of running requests between model engines. */
export interface RequestMigrator {
  /**
   * Copies the KV cache of a request to another engine, which reserves room for
   * the request. The request runs on.
   */
  copy(
    source: string,
    attemptId: string,
    target: string,
    signal: AbortSignal,
  ): Promise<CopyResult>;
  /**
   * Stops a running request and copies what is new of its KV cache to another
   * engine.
   */
  migrate(
    source: string,
    attemptId: string,
    target: string,
    signal: AbortSignal,
  ): Promise<MigrationResult>;
  /** Frees a copy that is not used. */
  release(kvCache: KvCacheReference, signal: AbortSignal): Promise<void>;
}

/** Load of an endpoint as reported by the endpoint itself. */
export interface SelfReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How many times as long as usual work takes on the endpoint's host; absent
   * if the endpoint does not report it.
   */
  readonly slowness?: number;
}

/** Metadata of an endpoint's response, read from its headers and status. */
export interface ResponseHead {
  readonly attemptId: string | undefined;
  /** The endpoint guarantees that the request has not run and will not run. */
  readonly isNotRun: boolean;
  /** Whether the response is signed; a success without a signature does not count. */
  readonly isSigned: boolean;
  /** Whether another process than the expected endpoint has responded. */
  readonly isMisdirected: boolean;
  readonly load: SelfReportedLoad | undefined;
  /** The endpoint's report of its load, if it is invalid in whole or in part. */
  readonly malformedLoad?: string;
  /** Requests per second accepted from all entries; undefined if unlimited. */
  readonly limitPerSecond: number | undefined;
  /**
   * Rejections per second, to all entries together, beyond which the endpoint
   * fails; undefined if it can reject any number.
   */
  readonly rejectionsPerSecond: number | undefined;
  /** Whether the endpoint announces that it will stop. */
  readonly isLeaving: boolean;
  /**
   * Time for which the endpoint, which rejected the request, wants no further
   * ones from this entry, in milliseconds; undefined if it names none.
   */
  readonly restMs: number | undefined;
}

/** Response headers in the form in which undici passes them. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Codec for the headers exchanged with callers and endpoints. */
export interface CallFormat {
  /** Reads the metadata of a caller's request. */
  parseCall(headers: IncomingHttpHeaders): CallHead;
  /**
   * Returns the caller's headers without its key and without those that concern
   * only its connection, as alternating names and values.
   */
  selectForwardedHeaders(rawHeaders: readonly string[]): string[];
  /** Returns headers for the endpoint as alternating names and values. */
  buildUpstreamHeaders(
    rawHeaders: readonly string[],
    fields: UpstreamHeaderValues,
  ): string[];
  /** Reads the metadata of an endpoint's response. */
  parseResponseHead(headers: ResponseHeaders, status: number): ResponseHead;
  /**
   * Returns a request that any endpoint answers at once, without running it and
   * without a slot.
   */
  buildProbe(): {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
  };
  /** Returns the headers of an endpoint's response for the caller. */
  buildCallerHeaders(
    headers: ResponseHeaders,
  ): Record<string, string | string[]>;
}

/** Codec for service discovery by callers and for readiness checks. */
export interface LookupFormat {
  /** Returns the caller's location; undefined for URLs other than lookups. */
  parseLookup(url: string):
    | {
        readonly failureDomain: string;
        /** Undefined if the caller does not declare it. */
        readonly region: string | undefined;
      }
    | undefined;
  /** Returns the response body of a lookup; addresses are `IP:port`. */
  formatLookupResponse(addresses: readonly string[], ttlMs: number): string;
  /** Whether the URL is that of the readiness check. */
  isReadinessCheck(url: string): boolean;
}

/** An object with the store revision of its last change. */
export interface SourceItem<T> {
  readonly name: string;
  readonly revision: number;
  readonly value: T;
}

/** All objects of one kind as of one store revision. */
export interface SourceListing<T> {
  readonly revision: number;
  readonly items: readonly SourceItem<T>[];
}

/** A change to one object; `item` is undefined if the object was removed. */
export interface SourceChange<T> {
  readonly name: string;
  readonly item: SourceItem<T> | undefined;
}

/** The changes between two store revisions; `revision` is the later one. */
export interface SourceChanges<T> {
  readonly revision: number;
  readonly changes: readonly SourceChange<T>[];
}

/**
 * Reads and decodes the objects of one kind, which other systems write. Objects
 * that cannot be decoded are omitted and logged.
 *
 * Errors: `platform-unavailable`, `overloaded`, `cancelled`.
 */
export interface ObjectSource<T> {
  list(signal: AbortSignal, freshness: Freshness): Promise<SourceListing<T>>;
  /**
   * Returns the changes after a store revision, waiting up to `waitMs` for the
   * first change. Undefined if the store has compacted these changes away.
   */
  readChanges(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<SourceChanges<T> | undefined>;
}

/**
 * Entry that holds the duty, and the fencing token of its term; sent with each
 * call so that the platform rejects calls from earlier terms.
 */
export interface FencingCredentials {
  readonly holder: string;
  readonly fencing: number;
}

/**
 * Target number of a service's endpoints in one failure domain, for either
 * reclaimable or on-demand endpoints.
 */
export interface EndpointOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/** Result of an endpoint order or a usage report. */
export type PlatformCallResult =
  | 'accepted'
  /** No capacity is available at present. */
  | 'unavailable'
  /** The call failed for another reason and may be retried later. */
  | 'failed';

/** Platform calls that are made only by the entry that holds the duty. */
export interface PlatformOrders {
  reportUsage(
    credentials: FencingCredentials,
    window: number,
    counts: CustomerCounts,
    signal: AbortSignal,
  ): Promise<PlatformCallResult>;
  orderEndpoints(
    credentials: FencingCredentials,
    order: EndpointOrder,
    signal: AbortSignal,
  ): Promise<PlatformCallResult>;
}

/** All functions of the platform that the gateway uses. */
export interface Platform {
  readonly callFormat: CallFormat;
  readonly lookupFormat: LookupFormat;
  readonly policySource: ObjectSource<TrafficPolicy>;
  readonly endpointSource: ObjectSource<RegisteredEndpoint>;
  readonly rolloutSource: ObjectSource<Rollout>;
  readonly domainDrainSource: ObjectSource<DomainDrain>;
  /** Objects that the gateway writes: members, leases, usage, crashes. */
  readonly objectTransport: ObjectTransport;
  /**
   * Returns the objects of one kind in `objects` as a source; `read` decodes a
   * value and throws if the value is invalid.
   */
  systemObjects<T>(kind: string, read: (value: unknown) => T): ObjectSource<T>;
  /** Number of times that objects were refused as undecodable, by kind. */
  refusedObjects(): Readonly<Record<string, number>>;
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
