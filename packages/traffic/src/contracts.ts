/** Traffic configuration, registered endpoints and rollouts as domain types. */

/** Whether requests may be retried, and whether responses are streamed. */
export type RouteKind = 'idempotent' | 'at-most-once' | 'streaming';

/** Share of a route's traffic that goes to one service. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other weights of the route. */
  readonly weight: number;
}

/** Services and limits of requests to one authority and path prefix. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header. */
  readonly authority: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Upper bound of the time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Target time to the response or a stream's first event, in milliseconds. */
  readonly goalMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Maximum number of endpoints that may run one request. */
  readonly attempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may resume after the last event delivered. */
  readonly isResumable: boolean;
  /** Longest pause between events of a stream, in milliseconds; 0 if unset. */
  readonly longestPauseMs: number;
}

/** Bounds and prices of the endpoints that may be ordered for a service. */
export interface FleetConfig {
  /** Bounds of the endpoints in each failure domain, both markets together. */
  readonly least: number;
  readonly most: number;
  /** Time from an order to the first request served, in milliseconds. */
  readonly bootMs: number;
  /** Reclaimable price relative to on-demand; undefined if not offered. */
  readonly reclaimablePrice: number | undefined;
  /** Price of an on-demand endpoint by failure domain. */
  readonly prices: Readonly<Record<string, number>>;
}

/** Configuration of a model engine. */
export interface EngineConfig {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Capacity of the engine's memory, in tokens. */
  readonly memoryTokens: number;
  /** Answer tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** Configuration of a service. */
export interface ServiceConfig {
  readonly name: string;
  /** Maximum connections to one endpoint, over all callers. */
  readonly mostConnections: number;
  /** Undefined for a plain service. */
  readonly engine: EngineConfig | undefined;
  /** Undefined when its endpoints are not autoscaled. */
  readonly fleet: FleetConfig | undefined;
}

/** Rate limit of a customer over all entries. */
export interface Quota {
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  readonly burst: number;
  /** Cost of a request that declares no token counts. */
  readonly plainTokens: number;
}

/** A customer with the keys that its callers authenticate with. */
export interface CustomerConfig {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority unless undefined. */
  readonly priority: number | undefined;
  /** Undefined for no limit. */
  readonly quota: Quota | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Timeout for a request's head, in milliseconds. */
  readonly headerMs: number;
  /** Timeout of idle connections, in milliseconds. */
  readonly idleMs: number;
}

/** The whole traffic configuration, as one versioned document. */
export interface TrafficPolicy {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfig[];
  /** Empty when no keys are required. */
  readonly customers: readonly CustomerConfig[];
  readonly limits: CallerLimits;
}

/** One process of a service, as registered by itself. */
export interface RegisteredEndpoint {
  readonly id: string;
  /** Wall-clock start in milliseconds; distinguishes restarts under one id. */
  readonly bornAt: number;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly version: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Can be reclaimed at short notice. */
  readonly isReclaimable: boolean;
}

export type RolloutState = 'running' | 'done' | 'rolled-back';

/** An operator's request to move a service's traffic to another version. */
export interface Rollout {
  readonly service: string;
  readonly target: string;
  /** Time from the operator's request to its deadline, in milliseconds. */
  readonly periodMs: number;
  /** State last written by the system; undefined before the first write. */
  readonly state: RolloutState | undefined;
  /** Target to which the state applies. */
  readonly stateTarget: string | undefined;
}

/** A part of a prompt, which several requests may have in common. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Size of a model request as declared by its caller. */
export interface ModelDemand {
  readonly model: string;
  readonly promptTokens: number;
  readonly mostOutputTokens: number;
  /** In order; the last is not shared with other requests. */
  readonly parts: readonly PromptPart[];
}
