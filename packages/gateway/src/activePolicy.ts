/** The traffic policy that this entry applies, indexed by key and route. */
import {ServingError, type Clock, type Logger} from '@skylarkfield/base';
import {
  createCustomerTable,
  createRouteTable,
  type CallerLimits,
  type ServiceConfig,
  type CustomerConfig,
  type Route,
  type TrafficPolicy,
} from '@skylarkfield/traffic';
import type {CallHead} from './contracts.js';
import type {Mirror} from './mirror.js';

export interface ActivePolicy {
  /** False until the first policy has arrived. */
  isKnown(): boolean;
  version(): number;
  /** Milliseconds since the policy was last confirmed up to date. */
  ageMs(): number;
  limits(): CallerLimits;
  services(): readonly ServiceConfig[];
  /** All routes that may send requests to a service. */
  routesTo(service: string): readonly Route[];
  routeOf(authority: string, path: string): Route | undefined;
  /**
   * Returns the customer that holds the request's key; undefined on a public
   * route. Throws `unauthenticated`, or `not-ready` if the policy is too old to
   * trust the key.
   */
  customerOf(route: Route, head: CallHead): CustomerConfig | undefined;
  /** Fires after a new policy has become active. */
  onDidChange(listener: () => void): void;
}

/** Limits before the first policy has arrived. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** Retry-After while the policy is too old, in milliseconds. */
const STALE_POLICY_RETRY_MS = 300;

/**
 * Creates the active policy over the mirrored documents.
 *
 * The document with the highest version applies, and a process never returns to
 * a lower version: callers would see routes or keys reappear that an operator
 * has removed.
 *
 * @example
 * const policy = createActivePolicy({mirror, clock, log, maxPolicyAgeMs:
 *   4_600});
 */
export function createActivePolicy(options: {
  readonly mirror: Mirror<TrafficPolicy>;
  readonly clock: Clock;
  readonly log: Logger;
  /** Maximum age of the policy at which keys are accepted, in milliseconds. */
  readonly maxPolicyAgeMs: number;
}): ActivePolicy {
  const {mirror, log, maxPolicyAgeMs} = options;
  const listeners: (() => void)[] = [];
  let current: TrafficPolicy | undefined;
  let routes = createRouteTable([]);
  let customers = createCustomerTable([]);

  function update(): void {
    for (const {value} of mirror.items()) {
      if (current === undefined || value.version > current.version) {
        activate(value);
      }
    }
  }

  function activate(next: TrafficPolicy): void {
    const previousVersion = current?.version;
    current = next;
    routes = createRouteTable(next.routes);
    customers = createCustomerTable(next.customers);
    log.info(
      {
        former: previousVersion,
        version: next.version,
        routes: next.routes.length,
        customers: next.customers.length,
        quotas: Object.fromEntries(
          next.customers.map(({name, quota}) => [name, quota?.perSecond ?? 0]),
        ),
        revision: mirror.revision(),
      },
      'policy activated',
    );
    listeners.forEach(listener => listener());
  }

  mirror.onDidChange(update);
  update();
  return {
    isKnown: () => current !== undefined,
    version: () => current?.version ?? 0,
    ageMs: () => mirror.ageMs(),
    limits: () => current?.limits ?? INITIAL_LIMITS,
    services: () => current?.services ?? [],
    routesTo: name =>
      (current?.routes ?? []).filter(({services}) =>
        services.some(({service}) => service === name),
      ),
    routeOf: (authority, path) => routes.match(authority, path),
    customerOf(route, {key}) {
      if (route.isPublic || !customers.requiresKey) {
        return undefined;
      }
      if (mirror.ageMs() > maxPolicyAgeMs) {
        throw new ServingError(
          'not-ready',
          `the policy has not been confirmed for ${Math.round(mirror.ageMs())} ms`,
          {retryAfterMs: STALE_POLICY_RETRY_MS},
        );
      }
      const customer = key === undefined ? undefined : customers.findByKey(key);
      if (customer === undefined) {
        throw new ServingError('unauthenticated', 'the key is unknown');
      }
      return customer;
    },
    onDidChange: listener => void listeners.push(listener),
  };
}
