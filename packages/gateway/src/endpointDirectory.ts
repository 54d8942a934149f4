/** The registered endpoints, kept in sync with the mirrored registrations. */
import {emitter, type Event, type Logger} from '@skylarkfield/base';
import type {Candidate, Router} from '@skylarkfield/routing';
import {
  currentRolloutState,
  type RegisteredEndpoint,
  type Rollout,
} from '@skylarkfield/traffic';
import type {Mirror} from './mirror.js';
import type {Upstreams} from './upstream.js';

/** Side of a rollout to which an endpoint's version belongs. */
export type VersionGroup = 'incumbent' | 'candidate';

export interface EndpointDirectory {
  /** Looks up an endpoint by its key in the router. */
  get(key: string): RegisteredEndpoint | undefined;
  /** All registered endpoints of a service, draining ones included. */
  forService(service: string): readonly RegisteredEndpoint[];
  /** Endpoints that accept new requests. */
  ready(service: string, group: VersionGroup): readonly RegisteredEndpoint[];
  /** Applies the current registrations to the router and the upstreams. */
  refresh(): void;
  /** Fires with the key of an endpoint that starts to drain or is removed. */
  readonly onDidLeave: Event<string>;
  /** Fires with the key of an endpoint that is removed without draining. */
  readonly onDidVanish: Event<string>;
}

/**
 * Creates the directory over the mirrored registrations.
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
  const leaving = emitter<string>();
  const vanished = emitter<string>();
  let byKey = new Map<string, RegisteredEndpoint>();

  /**
   * Versions that receive requests only through a rollout. Includes rolled back
   * ones, whose endpoints remain for some seconds.
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
    get: key => byKey.get(key),
    forService: service =>
      [...byKey.values()].filter(endpoint => endpoint.service === service),
    ready: (service, group) =>
      [...byKey.values()].filter(
        endpoint =>
          endpoint.service === service &&
          endpoint.state === 'ready' &&
          groupOf(endpoint) === group,
      ),
    onDidLeave: leaving.event,
    onDidVanish: vanished.event,
    refresh() {
      const present = endpoints.items().map(({value}) => value);
      const before = byKey;
      byKey = new Map(present.map(endpoint => [keyOf(endpoint), endpoint]));
      const usable = present.filter(({state}) => state === 'ready');
      router.setEndpoints(usable.map(toCandidate));
      upstreams.retainOnly(new Set(present.map(({address}) => address)));
      recordChanges(before);
    },
  };

  function recordChanges(
    before: ReadonlyMap<string, RegisteredEndpoint>,
  ): void {
    for (const [key, endpoint] of byKey) {
      if (before.get(key)?.state !== endpoint.state) {
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
          leaving.fire(key);
        }
      }
    }
    for (const [key, {state}] of before) {
      if (!byKey.has(key)) {
        log.info({endpoint: key}, 'endpoint no longer registered');
        leaving.fire(key);
        if (state === 'ready') {
          vanished.fire(key);
        }
      }
    }
  }
}

/**
 * Returns a key with the start time: a process that restarts under its old id
 * has an empty cache, and the router must not expect the earlier cache.
 */
function keyOf({id, bornAt}: RegisteredEndpoint): string {
  return `${id}@${bornAt}`;
}
