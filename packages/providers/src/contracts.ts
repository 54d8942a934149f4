/** What the platform gives: object API, cloud, host list, weight store. */
import type {Disposable} from '@skylarkfield/base';

/** An object as the object API keeps it. */
export interface StoredObject<T = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Set by the platform; rises with every change of any object. */
  readonly version: number;
  /** Unique for each write, so that a writer recognises its own after a lost reply. */
  readonly writeId: string;
  readonly value: T;
}

/** When a write may take effect. */
export type WriteCondition =
  | {readonly type: 'absent'}
  | {readonly type: 'version'; readonly version: number}
  | {readonly type: 'any'};

export interface ObjectListing<T = unknown> {
  /** The store's version at the time of the listing: where a watch goes on from. */
  readonly version: number;
  readonly objects: readonly StoredObject<T>[];
}

/** What a watcher hears. */
export interface WatchListener<T = unknown> {
  /** All objects of the kind: at the start, and again after a gap. */
  onDidList(listing: ObjectListing<T>): void;
  onDidPut(object: StoredObject<T>): void;
  onDidRemove(name: string, version: number): void;
  /** The watch was lost (false) or works again (true). */
  onDidChangeState?(isConnected: boolean): void;
}

/** `up`: calls succeed. `down`: calls fail at once but for a probe now and then. */
export type PlatformState = 'up' | 'doubtful' | 'down';

/**
 * How new a reading is. `latest`: as of a moment after the call began. `recent`:
 * may be seconds old, and costs the platform a fraction.
 */
export type Freshness = 'latest' | 'recent';

/**
 * The object API. Every call has a deadline and counts against the process's budget.
 *
 * Errors: `platform-unavailable` (certainly without effect), `version-conflict`
 * (the condition does not hold), `outcome-unknown` (a write whose reply was
 * lost and that could not be read back), `too-large`, `cancelled`.
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
  /** Writes; after a lost reply it reads back and tells by the write id what happened. */
  put<T>(
    kind: string,
    name: string,
    value: T,
    condition: WriteCondition,
    signal?: AbortSignal,
  ): Promise<StoredObject<T>>;
  /** Removes; resolves also when the object was already gone. */
  remove(
    kind: string,
    name: string,
    condition: WriteCondition,
    signal?: AbortSignal,
  ): Promise<void>;
  /** Lists, then follows changes until disposed; resumes and re-lists by itself. */
  watch<T>(kind: string, listener: WatchListener<T>): Disposable;
  state(): PlatformState;
  onDidChangeState(listener: (state: PlatformState) => void): Disposable;
}

export type Market = 'reclaimable' | 'on-demand';

/** What the cloud sells, with its present price. */
export interface Offer {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  /** Price in currency units per hour. */
  readonly pricePerHour: number;
}

/** A host that was started. */
export interface Host {
  readonly id: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly state: 'starting' | 'running' | 'leaving' | 'gone';
  /** The token of the start call, to recognise a host whose reply was lost. */
  readonly clientToken: string;
  /** Wall-clock milliseconds by which a leaving host is gone. */
  readonly goneAt?: number;
}

/** A notice that a host will be taken back. */
export interface ReclaimNotice {
  readonly host: string;
  /** Wall-clock milliseconds by which it is gone. */
  readonly goneAt: number;
}

/** Errors: `platform-unavailable`, `overloaded` (start refused), `outcome-unknown`. */
export interface Cloud {
  offers(signal?: AbortSignal): Promise<readonly Offer[]>;
  hosts(signal?: AbortSignal): Promise<readonly Host[]>;
  /** Starting twice with one client token starts one host. */
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
  /** Follows reclaim notices until disposed. */
  watchNotices(listener: (notice: ReclaimNotice) => void): Disposable;
}

/** Whether an endpoint is a model replica or a plain service. */
export type EndpointType = 'model' | 'plain';

/** An endpoint as the lagging host list names it. */
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
  /** Whether the endpoint refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  readonly state: 'live' | 'leaving';
}

/** The lagging list of live and leaving hosts. */
export interface HostList {
  /** Follows the list until disposed; each call gives the whole list. */
  watch(listener: (endpoints: readonly ListedEndpoint[]) => void): Disposable;
}

/** The rate-limited store of model weights. */
export interface WeightStore {
  /**
   * Asks for leave to load weights onto a host now.
   * Throws `overloaded` with `retryAfterMs` when the rate is used up.
   */
  reserve(
    weights: string,
    host: string,
    signal?: AbortSignal,
  ): Promise<{readonly startAfterMs: number}>;
}
