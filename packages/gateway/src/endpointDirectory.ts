/** The endpoints that may be used, kept in step with what they register. */
import {emitter, type Event, type Logger} from '@skylarkfield/base';
import type {Candidate, Router} from '@skylarkfield/routing';
import {
  writtenState,
  type RegisteredEndpoint,
  type Rollout,
} from '@skylarkfield/traffic';
import type {Mirror} from './mirror.js';
import type {Upstreams} from './upstream.js';

/** Which group of a service's versions an endpoint belongs to. */
export type VersionGroup = 'incumbent' | 'candidate';

export interface EndpointDirectory {
  /** By the key that the router knows it by. */
  get(key: string): RegisteredEndpoint | undefined;
  /** All that are registered for a service, leaving ones included. */
  forService(service: string): readonly RegisteredEndpoint[];
  /** Those that take new work. */
  ready(service: string, group: VersionGroup): readonly RegisteredEndpoint[];
  /** Takes the present registrations over to the router. */
  refresh(): void;
  /** Fires with the key of an endpoint that says it leaves, or is no longer registered. */
  readonly onDidLeave: Event<string>;
  /** Fires with the key of an endpoint that is no longer registered and has not said that it leaves. */
  readonly onDidVanish: Event<string>;
}

/**
 * Makes the directory over the mirrored registrations.
 *
 * @example
 * const directory = createEndpointDirectory({endpoints, rollouts, router, upstreams, log, isModel});
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
   * Versions that only a rollout may send requests to. One that was taken back
   * stays among them: its endpoints are there for some seconds more.
   */
  function rolloutTargets(service: string): string[] {
    return rollouts
      .items()
      .filter(({value}) => value.service === service)
      .filter(({value}) => writtenState(value) !== 'done')
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
      upstreams.keepOnly(new Set(present.map(({address}) => address)));
      noteChanges(before);
    },
  };

  function noteChanges(before: ReadonlyMap<string, RegisteredEndpoint>): void {
    for (const [id, endpoint] of byKey) {
      if (before.get(id)?.state !== endpoint.state) {
        const {service, state, failureDomain, version, isReclaimable} =
          endpoint;
        log.info(
          {endpoint: id, service, state, failureDomain, version, isReclaimable},
          'endpoint registered',
        );
        if (state === 'draining') {
          leaving.fire(id);
        }
      }
    }
    for (const [id, {state}] of before) {
      if (!byKey.has(id)) {
        log.info({endpoint: id}, 'endpoint gone');
        leaving.fire(id);
        if (state === 'ready') {
          vanished.fire(id);
        }
      }
    }
  }
}

/**
 * A process that starts again under its old id knows nothing of before: under a
 * key of its own the router does not expect its caches there.
 */
function keyOf({id, bornAt}: RegisteredEndpoint): string {
  return `${id}@${bornAt}`;
}
