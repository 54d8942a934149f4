/** Types of endpoint selection. */
import type {
  AttemptResult,
  CacheEvent,
  LoadReport,
} from '@skylarkfield/endpoints';

/** An endpoint that requests can be routed to. */
export interface Candidate {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  readonly host: string;
  readonly type: 'model' | 'plain';
}

/** Properties of a request that affect its routing. */
export interface RoutingRequest {
  readonly service: string;
  readonly version: string;
  /** Hashes of the prompt's blocks; empty for plain services. */
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  /** Trailing prompt tokens that no cache can hold; unknown when absent. */
  readonly ownTokens?: number;
  /** 0 (served first) to 9, for endpoints that serve by urgency. */
  readonly urgency?: number;
  /** Endpoints on which an attempt of this request has already failed. */
  readonly excluded: ReadonlySet<string>;
  /** May crash its endpoint, so it is sent where the fewest requests run. */
  readonly isSuspected?: boolean;
}

/** Endpoint chosen for one attempt; `finish` is called exactly once. */
export interface Choice {
  readonly endpoint: string;
  /** Prompt tokens expected to be in the endpoint's prefix cache. */
  readonly cachedTokens: number;
  /** Load of the endpoint before this attempt. */
  readonly loadBefore: EntryLoad;
  /** Pending prompt tokens that are computed before those of this attempt. */
  readonly tokensAhead: number;
  /** The engine started and reported cached tokens; at most once. */
  recordStart(cachedTokens: number): void;
  /** The first token arrived: the prompt is computed; at most once. */
  recordFirstToken(): void;
  /** Reports the result of the attempt; exactly once. */
  finish(result: AttemptResult): void;
}

/** Load that one entry has placed on an endpoint. */
export interface EntryLoad {
  readonly requests: number;
  /** Prompt tokens yet to be computed. */
  readonly pendingTokens: number;
  /** Pending tokens indexed by urgency; absent when nothing is pending. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of all these requests; each decode step attends to them. */
  readonly contextTokens: number;
}

/** Chooses endpoints from their reports and from the results of attempts. */
export interface Router {
  /** Replaces the endpoints with those of the current host list. */
  setEndpoints(endpoints: readonly Candidate[]): void;
  /** Stops new requests to the endpoint, which may not be listed yet. */
  markLeaving(endpoint: string): void;
  /** Undoes `markLeaving` from the next list of endpoints on. */
  unmarkLeaving(endpoint: string): void;
  /** Ids of all live entries; they split the endpoints of large services. */
  setEntries(entries: readonly string[]): void;
  /** Chooses an endpoint; undefined when none can take the request. */
  choose(routingRequest: RoutingRequest): Choice | undefined;
  /**
   * Milliseconds until an endpoint's rate limit allows a request of the
   * service; undefined when no endpoint is rate limited now.
   */
  rateLimitWaitMs(service: string): number | undefined;
  /**
   * Tokens of the longest prefix expected in any endpoint's cache, to estimate
   * the cost of a request before an endpoint is chosen.
   */
  cachedTokens(
    service: string,
    version: string,
    blocks: readonly string[],
  ): number;
  reportLoad(endpoint: string, report: LoadReport): void;
  /** Load of this entry by endpoint, to be sent to the other entries. */
  ownLoads(): Readonly<Record<string, EntryLoad>>;
  /**
   * Replaces the loads reported by another entry. Endpoints' own reports lag
   * and count requests only; reports of entries give the load in tokens.
   */
  reportEntryLoads(
    entry: string,
    loads: Readonly<Record<string, EntryLoad>>,
  ): void;
  /** Records that a load poll could not reach the endpoint. */
  reportUnreachable(endpoint: string): void;
  /** Applies events; returns the sequence to poll after (-1: all content). */
  applyCacheEvents(endpoint: string, events: readonly CacheEvent[]): number;
  /** Endpoints assigned to this entry: a subset when a service is large. */
  assignedEndpoints(): readonly Candidate[];
  /** Estimated slots of all usable endpoints of a service. */
  slots(service: string): number;
  dump(): unknown;
}
