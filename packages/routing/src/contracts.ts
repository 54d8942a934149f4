/** Types of the router, which selects an endpoint for each attempt. */
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
  /** Undefined if not known. */
  readonly region?: string | undefined;
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
  /**
   * Trailing prompt tokens that no other request has, so that none of them is
   * cached; absent when the caller does not declare them.
   */
  readonly ownTokens?: number;
  /** 0 (served first) to 9, for endpoints that serve by urgency. */
  readonly urgency?: number;
  /** Regions in which the request may run; absent for all. */
  readonly regions?: readonly string[] | undefined;
  /** Endpoints on which an attempt of this request has already failed. */
  readonly excluded: ReadonlySet<string>;
  /** Endpoint to choose if it may be used; absent for none. */
  readonly preferred?: string | undefined;
  /**
   * Whether the request may crash its endpoint; if so, it is sent to one with
   * the fewest requests.
   */
  readonly isSuspected?: boolean;
}

/** Endpoint chosen for one attempt; `finish` is called exactly once. */
export interface Choice {
  readonly endpoint: string;
  /** Prompt tokens expected to be in the endpoint's prefix cache. */
  readonly cachedTokens: number;
  /** Estimated load of the endpoint before this attempt, from all entries. */
  readonly loadBefore: EntryLoad;
  /** Pending prompt tokens that are computed before those of this attempt. */
  readonly tokensAhead: number;
  /**
   * Returns how many times as long as usual work takes on the endpoint's host
   * according to its last reports; at least 1, and 1 without a report of it.
   */
  slowness(): number;
  /**
   * Records that the engine started the request and how many of its prompt
   * tokens were cached; called at most once.
   */
  recordStart(cachedTokens: number): void;
  /**
   * Records that the first token arrived, so no prompt tokens are pending;
   * called at most once, after the load report that arrived with the token.
   */
  recordFirstToken(): void;
  /** Records the result of the attempt; called exactly once. */
  finish(result: AttemptResult): void;
}

/** Load on an endpoint from the requests of one or more entries. */
export interface EntryLoad {
  /** Requests in flight. */
  readonly requests: number;
  /** Prompt tokens of these requests that are yet to be computed. */
  readonly pendingTokens: number;
  /** Pending tokens indexed by urgency; absent when nothing is pending. */
  readonly pendingByUrgency?: readonly number[];
  /**
   * Prompt tokens of these requests; each decode step attends to all of them.
   */
  readonly contextTokens: number;
}

/** Chooses endpoints from their reports and from the results of attempts. */
export interface Router {
  /** Replaces the endpoints with those of the current host list. */
  setEndpoints(endpoints: readonly Candidate[]): void;
  /** Stops new requests to an endpoint, which may not be in the list yet. */
  markLeaving(endpoint: string): void;
  /** Undoes `markLeaving` when `setEndpoints` is next called. */
  unmarkLeaving(endpoint: string): void;
  /**
   * Sets the ids of the live entries, which split large services' endpoints.
   */
  setEntries(entries: readonly string[]): void;
  /** Chooses an endpoint; undefined when no endpoint can accept the request. */
  choose(routingRequest: RoutingRequest): Choice | undefined;
  /**
   * Returns the milliseconds until the first of the service's endpoints allows a
   * request; undefined unless all of them are limited now.
   */
  rateLimitWaitMs(service: string): number | undefined;
  /**
   * Returns the tokens of the longest prefix expected in the cache of any live
   * endpoint, to estimate the cost of a request before an endpoint is chosen.
   */
  cachedTokens(
    service: string,
    version: string,
    blocks: readonly string[],
  ): number;
  /** Records an endpoint's answer to a load poll. */
  recordLoadReport(endpoint: string, report: LoadReport): void;
  /** Returns the number of requests of this entry at an endpoint. */
  ownRequestsAt(endpoint: string): number;
  /** Returns this entry's load by endpoint, to be sent to the other entries. */
  ownLoads(): Readonly<Record<string, EntryLoad>>;
  /**
   * Replaces the loads reported by another entry. Reports from endpoints lag
   * and count requests only; reports from entries give the load in tokens.
   */
  recordEntryLoads(
    entry: string,
    loads: Readonly<Record<string, EntryLoad>>,
  ): void;
  /**
   * Withdraws the failures and ejections of all endpoints of a service, since
   * this entry could reach none of them.
   */
  forgiveFailures(service: string): void;
  /** Records that a load poll could not reach the endpoint. */
  recordUnreachable(endpoint: string): void;
  /**
   * Applies cache events of an endpoint. Returns the sequence number after
   * which to poll for events; -1 to poll for the whole cache content.
   */
  applyCacheEvents(endpoint: string, events: readonly CacheEvent[]): number;
  /**
   * Returns the endpoints assigned to this entry: all endpoints of a small
   * service, and a subset of the endpoints of a large service.
   */
  assignedEndpoints(): readonly Candidate[];
  /**
   * Returns the estimated number of concurrent requests that the endpoints of a
   * service can run, not counting leaving and ejected endpoints.
   */
  slots(service: string): number;
  dump(): unknown;
}
