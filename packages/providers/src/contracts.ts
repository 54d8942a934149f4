/** Interfaces of the platform: object API, cloud, host list, weight store. */
import type {Disposable} from '@skylarkfield/base';

/** An object stored by the object API. */
export interface StoredObject<T = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Set by the platform; increases with every change of any object. */
  readonly version: number;
  /** Unique per write, so that a writer finds its write after a lost reply. */
  readonly writeId: string;
  readonly value: T;
}

/** Precondition of a write. */
export type WriteCondition =
  | {readonly type: 'absent'}
  | {readonly type: 'version'; readonly version: number}
  | {readonly type: 'any'};

export interface ObjectListing<T = unknown> {
  /** Store version of the listing; a watch continues from this version. */
  readonly version: number;
  readonly objects: readonly StoredObject<T>[];
}

/** Receives the events of a watch. */
export interface WatchListener<T = unknown> {
  /** Called with all objects, at the start and after missed changes. */
  onDidList(listing: ObjectListing<T>): void;
  onDidPut(object: StoredObject<T>): void;
  onDidRemove(name: string, version: number): void;
  /** Called when the watch is lost (false) or re-established (true). */
  onDidChangeState?(isConnected: boolean): void;
}

/**
 * `up`: calls succeed. `doubtful`: recent calls failed. `down`: calls fail at
 * once, except for periodic probes.
 */
export type PlatformState = 'up' | 'doubtful' | 'down';

/**
 * Consistency of a read. `latest`: as of a moment after the call began.
 * `recent`: may be seconds old, at a fraction of the cost to the platform.
 */
export type Freshness = 'latest' | 'recent';

/**
 * The object API. Every call has a deadline and counts against the process's
 * rate limit.
 *
 * Errors: `platform-unavailable` (the call had no effect), `version-conflict`
 * (the condition does not hold), `outcome-unknown` (the reply to a write was
 * lost and its outcome could not be determined), `too-large`, `cancelled`.
 */
export interface ObjectStore extends Disposable {
  get<T>(
    kind: string,
    name: string,
    signal?: AbortSignal,
    freshness?: Freshness,
  ): Promise<StoredObject<T> | undefined>;
  list<T>(
    kind: string,
    signal?: AbortSignal,
    freshness?: Freshness,
  ): Promise<ObjectListing<T>>;
  /** Writes an object; after a lost reply, looks up the outcome by write id. */
  put<T>(
    kind: string,
    name: string,
    value: T,
    condition: WriteCondition,
    signal?: AbortSignal,
  ): Promise<StoredObject<T>>;
  /** Removes an object; also resolves when the object does not exist. */
  remove(
    kind: string,
    name: string,
    condition: WriteCondition,
    signal?: AbortSignal,
  ): Promise<void>;
  /**
   * Lists the objects of a kind, then delivers their changes; lists the objects
   * again if changes were missed.
   */
  watch<T>(kind: string, listener: WatchListener<T>): Disposable;
  /**
   * Highest era of the store in a response; undefined before the first one. It
   * rises when the store has been restored from a copy.
   */
  era(): number | undefined;
  state(): PlatformState;
  onDidChangeState(listener: (state: PlatformState) => void): Disposable;
}

export type Market = 'reclaimable' | 'on-demand';

/** Machine class that the cloud offers in a domain and market, with price. */
export interface Offer {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  /** Price in currency units per hour. */
  readonly pricePerHour: number;
}

/** A host, listed from the moment its start was requested. */
export interface Host {
  readonly id: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly state: 'starting' | 'running' | 'leaving' | 'gone';
  /** Idempotency token of the start call; finds a host after a lost reply. */
  readonly clientToken: string;
  /** Wall-clock milliseconds by which a leaving host is shut down. */
  readonly goneAt?: number;
}

/** A notice that the cloud will reclaim a host. */
export interface ReclaimNotice {
  readonly host: string;
  /** Wall-clock milliseconds by which the host is shut down. */
  readonly goneAt: number;
}

/**
 * The cloud API. Errors: `platform-unavailable`, `overloaded` (start rejected),
 * `outcome-unknown` (the reply to a start or stop was lost).
 */
export interface Cloud {
  listOffers(signal?: AbortSignal): Promise<readonly Offer[]>;
  listHosts(signal?: AbortSignal): Promise<readonly Host[]>;
  /** Starts a host; idempotent per client token. */
  start(
    request: {
      readonly clientToken: string;
      readonly failureDomain: string;
      readonly machineClass: string;
      readonly market: Market;
    },
    signal?: AbortSignal,
  ): Promise<Host>;
  stop(host: string, signal?: AbortSignal): Promise<void>;
  /** Calls back for each reclaim notice, until disposed. */
  watchNotices(listener: (notice: ReclaimNotice) => void): Disposable;
}

/** Whether an endpoint is a model replica or a plain service. */
export type EndpointType = 'model' | 'plain';

/** An endpoint in the host list. */
export interface ListedEndpoint {
  readonly id: string;
  readonly type: EndpointType;
  readonly service: string;
  readonly version: string;
  /** Base address, like `http://10.0.0.7:8000`. */
  readonly url: string;
  readonly host: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  /** Whether the endpoint rejects orders with an outdated fencing token. */
  readonly checksFencing: boolean;
  readonly state: 'live' | 'leaving';
}

/** The eventually consistent list of endpoints on live and leaving hosts. */
export interface HostList {
  /** Calls back with the whole list on each change, until disposed. */
  watch(listener: (endpoints: readonly ListedEndpoint[]) => void): Disposable;
}

/** The rate-limited store of model weights. */
export interface WeightStore {
  /**
   * Reserves a load of weights onto a host, to start after `startAfterMs`.
   * Throws `overloaded` with `retryAfterMs` when the rate limit is exceeded.
   */
  reserve(
    weights: string,
    host: string,
    signal?: AbortSignal,
  ): Promise<{readonly startAfterMs: number}>;
}
