/** Which endpoint serves a request. */
import type {
  AttemptResult,
  CacheEvent,
  LoadReport,
} from '@skylarkfield/endpoints';

/** An endpoint as routing sees it. */
export interface Candidate {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
  readonly host: string;
  readonly type: 'model' | 'plain';
}

/** A request that needs an endpoint. */
export interface RoutingRequest {
  readonly service: string;
  readonly version: string;
  /** Hashes of the prompt's blocks; empty for plain services. */
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  /** Prompt tokens at its end that no cache can hold; unknown when absent. */
  readonly ownTokens?: number;
  /** 0 (served first) to 9, where endpoints serve by urgency. */
  readonly urgency?: number;
  /** Endpoints already tried in vain for this request. */
  readonly excluded: ReadonlySet<string>;
  /** May crash its endpoint: goes where it takes the fewest other requests along. */
  readonly isSuspected?: boolean;
}

/** The endpoint for one attempt; finished exactly once. */
export interface Choice {
  readonly endpoint: string;
  /** Prompt tokens believed to be cached there. */
  readonly cachedTokens: number;
  /** What the endpoint had before this attempt. */
  readonly loadBefore: EntryLoad;
  /** Prompt tokens there that are read before this attempt's. */
  readonly tokensAhead: number;
  /** The engine has begun and told what it found cached; optional, at most once. */
  started(cachedTokens: number): void;
  /** The first token has come, so the prompt is computed; optional, at most once. */
  streaming(): void;
  /** Tells the router how the attempt went; exactly once. */
  finish(result: AttemptResult): void;
}

/** What one entry has at an endpoint. */
export interface EntryLoad {
  readonly requests: number;
  /** Prompt tokens yet to be computed. */
  readonly pendingTokens: number;
  /** The same by urgency, 0 first; absent when nothing is pending. */
  readonly pendingByUrgency?: readonly number[];
  /** Prompt tokens of all its requests there, which every step of an answer looks at. */
  readonly contextTokens: number;
}

/** Chooses endpoints from what it was told of them and saw of attempts there. */
export interface Router {
  /** The whole list of endpoints, as the host list gives it. */
  setEndpoints(endpoints: readonly Candidate[]): void;
  /** The endpoint gets no new work from now on; works before the endpoint is listed too. */
  markLeaving(endpoint: string): void;
  /** A process that is new or stayed after all may have work, from the next list on. */
  markReturned(endpoint: string): void;
  /** Ids of the live entries, this one included: they share out the endpoints of large services. */
  setEntries(entries: readonly string[]): void;
  /** Chooses; undefined when no endpoint may take the request. */
  choose(routingRequest: RoutingRequest): Choice | undefined;
  /**
   * Milliseconds until an endpoint of the service may get a request within the
   * limit that it has named; undefined when no limit keeps one from it now.
   */
  limitWaitMs(service: string): number | undefined;
  /**
   * Tokens of a prompt's start believed to be cached at the endpoint that has
   * most of it, for the cost of a request before an endpoint is chosen.
   */
  cachedTokens(
    service: string,
    version: string,
    blocks: readonly string[],
  ): number;
  reportLoad(endpoint: string, report: LoadReport): void;
  /** What this entry has at each endpoint where it has something, for the other entries. */
  ownLoads(): Readonly<Record<string, EntryLoad>>;
  /**
   * What another entry has, in place of what it said before. Endpoints' own
   * reports lag and only count requests; with this an endpoint's load is known
   * by tokens, of all entries that are heard.
   */
  reportEntry(entry: string, loads: Readonly<Record<string, EntryLoad>>): void;
  /** The endpoint could not be reached when it was asked for its load. */
  reportUnreachable(endpoint: string): void;
  /** Cache events in the order of arrival; returns the sequence to ask from next (-1: resync). */
  reportCache(endpoint: string, events: readonly CacheEvent[]): number;
  /** The endpoints that this entry uses, a part of them when a service is large. */
  held(): readonly Candidate[];
  /** Sum of the slots of a service's usable endpoints. */
  slots(service: string): number;
  dump(): unknown;
}
