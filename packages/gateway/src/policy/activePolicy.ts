/**
 * The traffic policy that this entry applies, indexed by API key and by route.
 */
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
import type {CallHead} from '../contracts.js';
import type {Mirror} from '../mirrors/mirror.js';

export interface ActivePolicy {
  /** False until the first policy has arrived. */
  isLoaded(): boolean;
  version(): number;
  /** Milliseconds since the policy was last confirmed to be up to date. */
  ageMs(): number;
  limits(): CallerLimits;
  services(): readonly ServiceConfig[];
  /** Returns all routes that may send requests to a service. */
  routesTo(service: string): readonly Route[];
  routeOf(authority: string, path: string): Route | undefined;
  /**
   * Returns the customer that the request's API key belongs to; undefined on a
   * public route, and while the policy has no customers. Throws
   * `unauthenticated` for a missing or unknown key, or `not-ready` if the
   * policy is too old to trust the key.
   */
  customerOf(route: Route, head: CallHead): CustomerConfig | undefined;
  findCustomer(name: string): CustomerConfig | undefined;
  /** Fires after a new policy has become active. */
  onDidChange(listener: () => void): void;
}

/** Limits that apply until the first policy has arrived. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** Retry-After while the policy is too old to trust keys, in milliseconds. */
const STALE_POLICY_RETRY_MS = 300;

/**
 * Creates the active policy from the mirrored policy documents.
 *
 * The document with the highest version applies. A process never returns to a
 * lower version: callers would see routes or keys reappear that an operator has
 * removed.
 *
 * @example
 * const policy = createActivePolicy({mirror, clock, log, maxPolicyAgeMs:
 *   4_600});
 */
export function createActivePolicy(options: {
  readonly mirror: Mirror<TrafficPolicy>;
  readonly clock: Clock;
  readonly log: Logger;
  /** Age of the policy above which keys are rejected, in milliseconds. */
  readonly maxPolicyAgeMs: number;
}): ActivePolicy {
  const {mirror, log, maxPolicyAgeMs} = options;
  const listeners: (() => void)[] = [];
  let currentPolicy: TrafficPolicy | undefined;
  let routes = createRouteTable([]);
  let customers = createCustomerTable([]);

  function activateLatest(): void {
    for (const {value} of mirror.items()) {
      if (
        currentPolicy === undefined ||
        value.version > currentPolicy.version
      ) {
        activate(value);
      }
    }
  }

  function activate(newPolicy: TrafficPolicy): void {
    const previousVersion = currentPolicy?.version;
    currentPolicy = newPolicy;
    routes = createRouteTable(newPolicy.routes);
    customers = createCustomerTable(newPolicy.customers);
    log.info(
      {
        former: previousVersion,
        version: newPolicy.version,
        routes: newPolicy.routes.length,
        customers: newPolicy.customers.length,
        quotas: Object.fromEntries(
          newPolicy.customers.map(({name, quota}) => [
            name,
            quota?.perSecond ?? 0,
          ]),
        ),
        revision: mirror.revision(),
      },
      'policy activated',
    );
    listeners.forEach(listener => listener());
  }

  mirror.onDidChange(activateLatest);
  activateLatest();
  return {
    isLoaded: () => currentPolicy !== undefined,
    version: () => currentPolicy?.version ?? 0,
    ageMs: () => mirror.ageMs(),
    limits: () => currentPolicy?.limits ?? INITIAL_LIMITS,
    services: () => currentPolicy?.services ?? [],
    routesTo: name =>
      (currentPolicy?.routes ?? []).filter(({services}) =>
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
    findCustomer: name => customers.findByName(name),
    onDidChange: listener => void listeners.push(listener),
  };
}
