/** The registered endpoints, updated from the mirrored registrations. */
import {createEmitter, type Event, type Logger} from '@skylarkfield/base';
import {revisionInEra} from '@skylarkfield/providers';
import type {
  Candidate,
  Departures,
  ProbeTarget,
  Router,
  SlottedEndpoint,
  WarmUps,
} from '@skylarkfield/routing';
import type {SchedulableEndpoint} from '@skylarkfield/scheduling';
import {
  currentRolloutState,
  type DomainDrain,
  type RegisteredEndpoint,
  type Rollout,
} from '@skylarkfield/traffic';
import type {Mirror} from '../mirrors/mirror.js';
import type {Upstreams} from '../attempts/upstream.js';

/**
 * Side of a rollout to which an endpoint's version belongs: `candidate` for the
 * target of a rollout that is in progress or was rolled back, else `incumbent`.
 */
export type VersionGroup = 'incumbent' | 'candidate';

export interface EndpointDirectory {
  /**
   * False until the first registrations, rollouts and drains of failure domains
   * have been applied.
   */
  isLoaded(): boolean;
  /** Whether no requests may be sent to endpoints of a failure domain. */
  isDrained(failureDomain: string): boolean;
  /** Returns an endpoint by its router key. */
  get(key: string): RegisteredEndpoint | undefined;
  /** Returns the slots of an endpoint by its router key. */
  slotted(key: string): SlottedEndpoint | undefined;
  /** Returns the router keys of the endpoints at the address of an endpoint. */
  keysAtAddressOf(key: string): readonly string[];
  /** Returns all endpoints of a service, including draining endpoints. */
  endpointsOf(service: string): readonly RegisteredEndpoint[];
  /** Returns the endpoints of a version group that accept new requests. */
  readyEndpoints(
    service: string,
    group: VersionGroup,
  ): readonly RegisteredEndpoint[];
  /** Returns the endpoints of a version group that requests are placed at. */
  placementTargets(
    service: string,
    group: VersionGroup,
  ): readonly SchedulableEndpoint[];
  /** Returns the endpoints of a service that accept requests, for probes. */
  probeTargets(service: string): readonly ProbeTarget[];
  /**
   * Applies the current registrations to the router and the connection pools.
   */
  refresh(): void;
  /**
   * Fires with the router key when an endpoint starts to drain or is removed.
   */
  readonly onDidLeave: Event<string>;
  /** Fires with the router key of an endpoint removed without draining. */
  readonly onDidVanish: Event<string>;
}

/** Warm-up that a registration reported. */
interface AppliedWarmUp {
  /**
   * Revision of the registration within its era: a store that was restored has
   * the same registration in another era.
   */
  readonly revision: number;
  readonly warmForMs: number;
}

function isSameWarmUp(
  one: AppliedWarmUp,
  other: AppliedWarmUp | undefined,
): boolean {
  return one.revision === other?.revision && one.warmForMs === other.warmForMs;
}

/**
 * Creates the directory of the mirrored registrations.
 *
 * @example
 * const directory = createEndpointDirectory({endpoints, rollouts, router,
 *   upstreams, log, isModel});
 * endpoints.onDidChange(() => directory.refresh());
 */
export function createEndpointDirectory(options: {
  readonly endpoints: Mirror<RegisteredEndpoint>;
  readonly rollouts: Mirror<Rollout>;
  readonly domainDrains: Mirror<DomainDrain>;
  readonly router: Router;
  readonly warmUps: Pick<WarmUps, 'recordWarmUp' | 'retainEndpoints'>;
  readonly departures: Pick<Departures, 'hasAnnounced' | 'retainEndpoints'>;
  readonly upstreams: Upstreams;
  readonly log: Logger;
  /** Whether a service's endpoints are model engines. */
  isModel(service: string): boolean;
  /** Returns the duration of a service's warm-up, in milliseconds. */
  warmUpMs(service: string): number;
  /** Returns the region of a failure domain; undefined if not known. */
  regionOf(failureDomain: string): string | undefined;
}): EndpointDirectory {
  const {
    endpoints,
    rollouts,
    domainDrains,
    router,
    warmUps,
    departures,
    upstreams,
    log,
  } = options;
  const leaveEmitter = createEmitter<string>();
  const vanishEmitter = createEmitter<string>();
  /** Registrations, draining if the endpoint has announced its departure. */
  let registrationsByKey = new Map<string, RegisteredEndpoint>();
  /** Registrations with the state that the drains of domains leave them. */
  let endpointsByKey = new Map<string, RegisteredEndpoint>();
  /** Reported warm-ups that were applied, by router key. */
  let appliedWarmUps: ReadonlyMap<string, AppliedWarmUp> = new Map();
  let drainedDomains: ReadonlySet<string> = new Set();
  let isLoaded = false;

  /**
   * Returns the versions of a service that receive requests only through a
   * rollout. These include rolled-back versions, whose endpoints remain for
   * some seconds.
   */
  function rolloutTargets(service: string): string[] {
    return rollouts
      .items()
      .filter(({value}) => value.service === service)
      .filter(({value}) => currentRolloutState(value) !== 'done')
      .map(({value}) => value.target);
  }

  function groupOf(endpoint: RegisteredEndpoint): VersionGroup {
    return rolloutTargets(endpoint.service).includes(endpoint.version)
      ? 'candidate'
      : 'incumbent';
  }

  function toCandidate(endpoint: RegisteredEndpoint): Candidate {
    return {
      id: keyOf(endpoint),
      service: endpoint.service,
      version: groupOf(endpoint),
      failureDomain: endpoint.failureDomain,
      region: options.regionOf(endpoint.failureDomain),
      host: endpoint.address,
      type: options.isModel(endpoint.service) ? 'model' : 'plain',
    };
  }

  function applyDeparture(endpoint: RegisteredEndpoint): RegisteredEndpoint {
    return departures.hasAnnounced(keyOf(endpoint))
      ? {...endpoint, state: 'draining'}
      : endpoint;
  }

  /** Endpoints of a drained domain accept no requests but do not leave. */
  function toEffective(endpoint: RegisteredEndpoint): RegisteredEndpoint {
    return drainedDomains.has(endpoint.failureDomain)
      ? {...endpoint, state: 'draining'}
      : endpoint;
  }

  function updateDrainedDomains(): void {
    const newDomains = new Set(
      domainDrains.items().map(({value}) => value.failureDomain),
    );
    const returnedDomains = [...drainedDomains].filter(
      domain => !newDomains.has(domain),
    );
    const addedDomains = [...newDomains].filter(
      domain => !drainedDomains.has(domain),
    );
    drainedDomains = newDomains;
    if (returnedDomains.length > 0 || addedDomains.length > 0) {
      log.info(
        {
          drained: addedDomains,
          returned: returnedDomains,
          revision: domainDrains.revision(),
        },
        'drained failure domains changed',
      );
    }
    for (const [key, {service, failureDomain}] of endpointsByKey) {
      if (returnedDomains.includes(failureDomain)) {
        warmUps.recordWarmUp(key, options.warmUpMs(service));
      }
    }
  }

  /** Records the warm-up that each new or changed registration reports. */
  function recordReportedWarmUps(): void {
    const reportedWarmUps = new Map<string, AppliedWarmUp>();
    for (const {revision, value} of endpoints.items()) {
      const key = keyOf(value);
      const {warmForMs = 0} = value;
      const reported = {revision: revisionInEra(revision), warmForMs};
      reportedWarmUps.set(key, reported);
      if (warmForMs > 0 && !isSameWarmUp(reported, appliedWarmUps.get(key))) {
        warmUps.recordWarmUp(key, warmForMs);
      }
    }
    appliedWarmUps = reportedWarmUps;
    warmUps.retainEndpoints(reportedWarmUps);
  }

  return {
    isLoaded: () => isLoaded,
    isDrained: failureDomain => drainedDomains.has(failureDomain),
    get: key => endpointsByKey.get(key),
    slotted(key) {
      const endpoint = endpointsByKey.get(key);
      return (
        endpoint && {id: key, service: endpoint.service, slots: endpoint.slots}
      );
    },
    keysAtAddressOf(key) {
      const address = endpointsByKey.get(key)?.address;
      return [...endpointsByKey]
        .filter(([, endpoint]) => endpoint.address === address)
        .map(([otherKey]) => otherKey);
    },
    endpointsOf: service =>
      [...endpointsByKey.values()].filter(
        endpoint => endpoint.service === service,
      ),
    readyEndpoints: (service, group) =>
      [...endpointsByKey.values()].filter(
        endpoint =>
          endpoint.service === service &&
          endpoint.state === 'ready' &&
          groupOf(endpoint) === group,
      ),
    placementTargets: (service, group) =>
      [...endpointsByKey]
        .filter(
          ([, endpoint]) =>
            endpoint.service === service &&
            endpoint.state === 'ready' &&
            groupOf(endpoint) === group,
        )
        .map(([id, {slots, failureDomain}]) => ({id, slots, failureDomain})),
    probeTargets: service =>
      [...endpointsByKey]
        .filter(
          ([, endpoint]) =>
            endpoint.service === service && endpoint.state === 'ready',
        )
        .map(([id, {failureDomain}]) => ({id, failureDomain})),
    onDidLeave: leaveEmitter.event,
    onDidVanish: vanishEmitter.event,
    refresh() {
      updateDrainedDomains();
      const previousByKey = registrationsByKey;
      registrationsByKey = new Map(
        endpoints
          .items()
          .map(({value}) => [keyOf(value), applyDeparture(value)]),
      );
      endpointsByKey =
        drainedDomains.size === 0
          ? registrationsByKey
          : new Map(
              [...registrationsByKey].map(([key, value]) => [
                key,
                toEffective(value),
              ]),
            );
      recordReportedWarmUps();
      departures.retainEndpoints(registrationsByKey);
      const registeredEndpoints = [...endpointsByKey.values()];
      const readyEndpoints = registeredEndpoints.filter(
        ({state}) => state === 'ready',
      );
      router.setEndpoints(readyEndpoints.map(toCandidate));
      upstreams.retainOnly(
        new Set(registeredEndpoints.map(({address}) => address)),
      );
      isLoaded ||= [endpoints, rollouts, domainDrains].every(mirror =>
        mirror.isLoaded(),
      );
      reportChanges(previousByKey);
    },
  };

  function reportChanges(
    previousByKey: ReadonlyMap<string, RegisteredEndpoint>,
  ): void {
    for (const [key, endpoint] of registrationsByKey) {
      if (previousByKey.get(key)?.state !== endpoint.state) {
        const {service, state, failureDomain, version, isReclaimable} =
          endpoint;
        log.info(
          {
            endpoint: key,
            service,
            state,
            failureDomain,
            version,
            isReclaimable,
          },
          'endpoint state changed',
        );
        if (state === 'draining') {
          leaveEmitter.fire(key);
        }
      }
    }
    for (const [key, {state}] of previousByKey) {
      if (!registrationsByKey.has(key)) {
        log.info({endpoint: key}, 'endpoint no longer registered');
        leaveEmitter.fire(key);
        if (state === 'ready') {
          vanishEmitter.fire(key);
        }
      }
    }
  }
}

/**
 * Keys of registrations. The mirror keeps the objects of registrations that do
 * not change, so most keys are neither concatenated nor hashed anew when all
 * registrations are applied.
 */
const keys = new WeakMap<RegisteredEndpoint, string>();

/**
 * Returns the router key of an endpoint. It contains the start time: a process
 * that restarts under its old id has an empty cache, and the router must not
 * expect the cache of the earlier process.
 */
function keyOf(endpoint: RegisteredEndpoint): string {
  const key = keys.get(endpoint) ?? `${endpoint.id}@${endpoint.bornAt}`;
  keys.set(endpoint, key);
  return key;
}
