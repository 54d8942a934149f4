/** The registered endpoints, updated from the mirrored registrations. */
import {createEmitter, type Event, type Logger} from '@skylarkfield/base';
import type {Candidate, Router} from '@skylarkfield/routing';
import {
  currentRolloutState,
  type RegisteredEndpoint,
  type Rollout,
} from '@skylarkfield/traffic';
import type {Mirror} from './mirror.js';
import type {Upstreams} from './upstream.js';

/**
 * Side of a rollout to which an endpoint's version belongs: `candidate` for the
 * target of a rollout that is in progress or was rolled back, else `incumbent`.
 */
export type VersionGroup = 'incumbent' | 'candidate';

export interface EndpointDirectory {
  /** Returns an endpoint by its router key. */
  get(key: string): RegisteredEndpoint | undefined;
  /** Returns all endpoints of a service, including draining endpoints. */
  endpointsOf(service: string): readonly RegisteredEndpoint[];
  /** Returns the endpoints of a version group that accept new requests. */
  readyEndpoints(
    service: string,
    group: VersionGroup,
  ): readonly RegisteredEndpoint[];
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
  readonly router: Router;
  readonly upstreams: Upstreams;
  readonly log: Logger;
  /** Whether a service's endpoints are model engines. */
  isModel(service: string): boolean;
}): EndpointDirectory {
  const {endpoints, rollouts, router, upstreams, log} = options;
  const leaveEmitter = createEmitter<string>();
  const vanishEmitter = createEmitter<string>();
  let endpointsByKey = new Map<string, RegisteredEndpoint>();

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
      host: endpoint.address,
      type: options.isModel(endpoint.service) ? 'model' : 'plain',
    };
  }

  return {
    get: key => endpointsByKey.get(key),
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
    onDidLeave: leaveEmitter.event,
    onDidVanish: vanishEmitter.event,
    refresh() {
      const registeredEndpoints = endpoints.items().map(({value}) => value);
      const previousByKey = endpointsByKey;
      endpointsByKey = new Map(
        registeredEndpoints.map(endpoint => [keyOf(endpoint), endpoint]),
      );
      const readyEndpoints = registeredEndpoints.filter(
        ({state}) => state === 'ready',
      );
      router.setEndpoints(readyEndpoints.map(toCandidate));
      upstreams.retainOnly(
        new Set(registeredEndpoints.map(({address}) => address)),
      );
      reportChanges(previousByKey);
    },
  };

  function reportChanges(
    previousByKey: ReadonlyMap<string, RegisteredEndpoint>,
  ): void {
    for (const [key, endpoint] of endpointsByKey) {
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
      if (!endpointsByKey.has(key)) {
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
 * Returns the router key of an endpoint. It contains the start time: a process
 * that restarts under its old id has an empty cache, and the router must not
 * expect the cache of the earlier process.
 */
function keyOf({id, bornAt}: RegisteredEndpoint): string {
  return `${id}@${bornAt}`;
}
