/** The traffic policy by which this entry serves, with its keys and routes looked up. */
import {ServingError, type Clock, type Logger} from '@skylarkfield/base';
import {
  createCustomerTable,
  createRouteTable,
  type CallerLimits,
  type DeclaredService,
  type KeyedCustomer,
  type Route,
  type TrafficPolicy,
} from '@skylarkfield/traffic';
import type {CallHead} from './contracts.js';
import type {Mirror} from './mirror.js';

export interface ActivePolicy {
  /** False until a policy is known. */
  isKnown(): boolean;
  version(): number;
  /** Milliseconds since the policy was known to be the newest. */
  ageMs(): number;
  limits(): CallerLimits;
  services(): readonly DeclaredService[];
  /** All routes whose requests may go to a service. */
  routesTo(service: string): readonly Route[];
  routeOf(authority: string, path: string): Route | undefined;
  /**
   * The customer who holds the request's key; undefined on a public route.
   * Throws `unauthenticated`, or `not-ready` when nothing shows that the key
   * still counts.
   */
  customerOf(route: Route, head: CallHead): KeyedCustomer | undefined;
  /** Fires with each policy that takes the place of an older one. */
  onDidChange(listener: () => void): void;
}

/** Used before the first policy is known. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** When a caller may come back while the policy's age is too high, in milliseconds. */
const STALE_POLICY_RETRY_MS = 300;

/**
 * Makes the policy in force over the mirrored documents.
 *
 * Among several documents the one with the highest version counts, and a lower
 * version never replaces a higher one in the life of a process: a caller would
 * see a route or key come back that an operator has removed.
 *
 * @example
 * const policy = createPolicyInForce({mirror, clock, log, keyLifeMs: 4_600});
 */
export function createActivePolicy(options: {
  readonly mirror: Mirror<TrafficPolicy>;
  readonly clock: Clock;
  readonly log: Logger;
  /** The oldest policy by which a key still counts, in milliseconds. */
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
      'policy in force',
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
      if (route.isPublic || !customers.isKeyed) {
        return undefined;
      }
      if (mirror.ageMs() > maxPolicyAgeMs) {
        throw new ServingError(
          'not-ready',
          `nothing shows for ${Math.round(mirror.ageMs())} ms that the key still counts`,
          {retryAfterMs: STALE_POLICY_RETRY_MS},
        );
      }
      const customer = key === undefined ? undefined : customers.holderOf(key);
      if (customer === undefined) {
        throw new ServingError('unauthenticated', 'the key is unknown');
      }
      return customer;
    },
    onDidChange: listener => void listeners.push(listener),
  };
}
