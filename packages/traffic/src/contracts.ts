/**
 * What operators declare about traffic and what endpoints say of themselves,
 * in the product's own terms.
 */

/** Whether a request may run again, and how its answer comes. */
export type RouteKind = 'idempotent' | 'at-most-once' | 'streaming';

/** A part of a route's traffic that goes to one service. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other weights of the route. */
  readonly weight: number;
}

/** Where requests to one authority below one path go, and on which terms. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header. */
  readonly authority: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** The longest that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or a stream's first event, that callers hope for, in milliseconds. */
  readonly goalMs: number;
  /** 0 is the most important. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** The most endpoints that may run one request. */
  readonly attempts: number;
  /** Needs no key. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another endpoint after the last event delivered. */
  readonly isResumable: boolean;
  /** The longest pause between events of a stream that is still on time, in milliseconds; 0 when not declared. */
  readonly longestPauseMs: number;
}

/** How many endpoints of a service may be ordered, and at what price. */
export interface FleetTerms {
  /** The least and most endpoints in each failure domain, both markets together. */
  readonly least: number;
  readonly most: number;
  /** From an order to the first request served, in milliseconds. */
  readonly bootMs: number;
  /** Price of a reclaimable endpoint relative to one that is not; undefined when there are none. */
  readonly reclaimablePrice: number | undefined;
  /** Price of an endpoint by failure domain. */
  readonly prices: Readonly<Record<string, number>>;
}

/** What is declared of a model engine. */
export interface EngineTerms {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that the engine's memory holds. */
  readonly memoryTokens: number;
  /** Tokens of an answer that one event of its stream holds. */
  readonly tokensPerEvent: number;
}

/** A service as operators declare it. */
export interface DeclaredService {
  readonly name: string;
  /** Connections that one endpoint takes from all callers together. */
  readonly mostConnections: number;
  /** Undefined for a plain service. */
  readonly engine: EngineTerms | undefined;
  /** Undefined when the system orders no endpoints of it. */
  readonly fleet: FleetTerms | undefined;
}

/** A customer's limit over all entries. */
export interface Quota {
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  readonly burst: number;
  /** What a request counts that names no tokens. */
  readonly plainTokens: number;
}

/** A customer with the keys that its callers show. */
export interface KeyedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority; undefined when not declared. */
  readonly priority: number | undefined;
  /** Undefined for no limit. */
  readonly quota: Quota | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for sending a request's head, in milliseconds. */
  readonly headerMs: number;
  /** Time that a connection may stay idle, in milliseconds. */
  readonly idleMs: number;
}

/** All that is declared about traffic, as one versioned document. */
export interface TrafficPolicy {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly DeclaredService[];
  /** Empty when no keys are asked for. */
  readonly customers: readonly KeyedCustomer[];
  readonly limits: CallerLimits;
}

/** One process of a service, as it registers itself. */
export interface RegisteredEndpoint {
  readonly id: string;
  /** Wall-clock milliseconds of its start, where it says so; tells a restart under the same id. */
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

/** An operator's wish that a service's traffic goes to another version. */
export interface Rollout {
  readonly service: string;
  readonly target: string;
  /** Time from the order to its deadline, in milliseconds. */
  readonly periodMs: number;
  /** What the system has written of it; undefined before the first time. */
  readonly state: RolloutState | undefined;
  /** The target that the state is about. */
  readonly stateTarget: string | undefined;
}

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A model request's size, as its caller declares it. */
export interface ModelDemand {
  readonly model: string;
  readonly promptTokens: number;
  readonly mostOutputTokens: number;
  /** In order; the last belongs to the request alone. */
  readonly parts: readonly PromptPart[];
}
