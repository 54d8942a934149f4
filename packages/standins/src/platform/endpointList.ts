/** Eventually consistent list of endpoints: readers see changes after a lag. */
import {createEmitter, type Clock, type Event} from '@skylarkfield/base';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {PlatformFaults} from './platformFaults.js';

export interface EndpointList {
  set(endpoint: ListedEndpoint): void;
  remove(id: string): void;
  /** Marks the endpoints on the hosts as leaving. */
  markLeaving(hostIds: ReadonlySet<string>): void;
  removeEndpointsOfHosts(hostIds: ReadonlySet<string>): void;
  /** Returns the endpoints as readers see them: as of `listLagMs` ago. */
  visibleEndpoints(): readonly ListedEndpoint[];
  readonly onDidChange: Event<readonly ListedEndpoint[]>;
}

/**
 * Creates an empty list that publishes each change after `faults.listLagMs`.
 *
 * @example
 * const list = createEndpointList(systemClock(), faults);
 */
export function createEndpointList(
  clock: Clock,
  faults: PlatformFaults,
): EndpointList {
  const actualEndpoints = new Map<string, ListedEndpoint>();
  const changeEmitter = createEmitter<readonly ListedEndpoint[]>();
  let visibleSnapshot: readonly ListedEndpoint[] = [];

  function publish(): void {
    const snapshot = [...actualEndpoints.values()];
    const makeVisible = () => {
      visibleSnapshot = snapshot;
      changeEmitter.fire(visibleSnapshot);
    };
    if (faults.listLagMs === 0) {
      makeVisible();
      return;
    }
    clock.after(faults.listLagMs, makeVisible);
  }

  return {
    set(endpoint) {
      actualEndpoints.set(endpoint.id, endpoint);
      publish();
    },
    remove(id) {
      actualEndpoints.delete(id);
      publish();
    },
    markLeaving(hostIds) {
      for (const endpoint of actualEndpoints.values()) {
        if (hostIds.has(endpoint.host)) {
          actualEndpoints.set(endpoint.id, {...endpoint, state: 'leaving'});
        }
      }
      publish();
    },
    removeEndpointsOfHosts(hostIds) {
      for (const endpoint of [...actualEndpoints.values()]) {
        if (hostIds.has(endpoint.host)) {
          actualEndpoints.delete(endpoint.id);
        }
      }
      publish();
    },
    visibleEndpoints: () => visibleSnapshot,
    onDidChange: changeEmitter.event,
  };
}
