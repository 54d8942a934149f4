/** Types of the traffic configuration, registered endpoints and rollouts. */

/** Whether requests may be retried, and whether responses are streamed. */
export type RouteKind = 'idempotent' | 'at-most-once' | 'streaming';

/** Share of a route's traffic that goes to one service. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other weights of the route. */
  readonly weight: number;
}

/** Route of requests to one authority and path prefix. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, in any case and with or without a port. */
  readonly authority: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Upper bound of the time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Target time to the response or the first event of a stream, in ms. */
  readonly goalMs: number;
  /** Priority of the route's requests; 0 is the highest. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Maximum number of endpoints on which one request may run. */
  readonly attempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may resume after the last event delivered. */
  readonly isResumable: boolean;
  /** Regions in which requests may run; absent for all. */
  readonly regions?: readonly string[] | undefined;
  /** Longest pause between events of a stream, in milliseconds; 0 if unset. */
  readonly longestPauseMs: number;
}

/** Bounds and prices of the endpoints that may be requested for a service. */
export interface FleetConfig {
  /** Minimum in each failure domain, on-demand and reclaimable together. */
  readonly least: number;
  /** Maximum in each failure domain, on-demand and reclaimable together. */
  readonly most: number;
  /** Time from requesting an endpoint to its first served request, in ms. */
  readonly bootMs: number;
  /**
   * Price of a reclaimable endpoint as a fraction of the on-demand price;
   * undefined if the service has no reclaimable endpoints.
   */
  readonly reclaimablePrice: number | undefined;
  /** Price of an on-demand endpoint by failure domain. */
  readonly prices: Readonly<Record<string, number>>;
}

/** Configuration of a model engine. */
export interface EngineConfig {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Capacity of the engine's KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Answer tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** Warm-up of a service's endpoints, which may crash under load meanwhile. */
export interface WarmUpConfig {
  /** Duration of the warm-up after a start, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second that a warming endpoint tolerates. */
  readonly requestsPerSecond: number;
}

/** Configuration of a service. */
export interface ServiceConfig {
  readonly name: string;
  /** Maximum number of connections to one endpoint, from all callers. */
  readonly mostConnections: number;
  /** Undefined for a plain service. */
  readonly engine: EngineConfig | undefined;
  /** Undefined when its endpoints are not autoscaled. */
  readonly fleet: FleetConfig | undefined;
  /** Absent when its endpoints tolerate full load from the start. */
  readonly warmUp?: WarmUpConfig | undefined;
}

/** Rate limit of a customer, for all entries together. */
export interface Quota {
  readonly unit: 'requests' | 'tokens';
  /** Units per second that are granted permanently. */
  readonly perSecond: number;
  /** Units that are granted at once after a pause. */
  readonly burst: number;
  /** Cost in tokens of a request that declares no token counts. */
  readonly plainTokens: number;
}

/** A customer with the keys that its callers authenticate with. */
export interface CustomerConfig {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority unless undefined. */
  readonly priority: number | undefined;
  /** Undefined if the customer has no rate limit. */
  readonly quota: Quota | undefined;
  /** Regions in which the customer's requests may run; absent for all. */
  readonly regions?: readonly string[] | undefined;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  /** Maximum size of a request's header, in bytes. */
  readonly headerBytes: number;
  /** Maximum size of a request's body, in bytes. */
  readonly bodyBytes: number;
  /** Timeout for receiving a request's header, in milliseconds. */
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

/** An endpoint as it registered itself with the platform. */
export interface RegisteredEndpoint {
  readonly id: string;
  /**
   * Start of the process in wall-clock milliseconds; distinguishes processes
   * that use the same id one after the other.
   */
  readonly bornAt: number;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly version: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Whether the platform can reclaim the endpoint's host at short notice. */
  readonly isReclaimable: boolean;
  /** Remaining warm-up when it was registered, in ms; absent for none. */
  readonly warmForMs?: number;
}

/**
 * An operator's request to send no requests to the endpoints of a failure
 * domain; in force while it exists.
 */
export interface DomainDrain {
  readonly failureDomain: string;
}

export type RolloutState = 'running' | 'done' | 'rolled-back';

/** An operator's request to move a service's traffic to another version. */
export interface Rollout {
  readonly service: string;
  /** Version that the traffic moves to. */
  readonly target: string;
  /** Time from the operator's request to its deadline, in milliseconds. */
  readonly periodMs: number;
  /** State last written by the system; undefined before the first write. */
  readonly state: RolloutState | undefined;
  /** Value of `target` when the state was written. */
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
  /**
   * Parts from the start of the prompt; only this request has the last part.
   */
  readonly parts: readonly PromptPart[];
}
