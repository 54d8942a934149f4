/** Eventually consistent host list: actual endpoints and visible snapshot. */
import {emitter, type Clock, type Event} from '@skylarkfield/base';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {PlatformFaults} from './platformFaults.js';

export interface EndpointList {
  set(endpoint: ListedEndpoint): void;
  remove(id: string): void;
  /** Marks the endpoints on the hosts as leaving. */
  markLeaving(hosts: ReadonlySet<string>): void;
  removeHosts(hosts: ReadonlySet<string>): void;
  /** Endpoints that readers see, `listLagMs` behind the actual ones. */
  visible(): readonly ListedEndpoint[];
  readonly onDidChange: Event<readonly ListedEndpoint[]>;
}

/**
 * Creates an empty list that publishes each change after `listLagMs`.
 *
 * @example
 * const list = createEndpointList(systemClock(), faults);
 */
export function createEndpointList(
  clock: Clock,
  faults: PlatformFaults,
): EndpointList {
  const actual = new Map<string, ListedEndpoint>();
  const changeEmitter = emitter<readonly ListedEndpoint[]>();
  let visible: readonly ListedEndpoint[] = [];

  function publish(): void {
    const snapshot = [...actual.values()];
    const makeVisible = () => {
      visible = snapshot;
      changeEmitter.fire(visible);
    };
    if (faults.listLagMs === 0) {
      makeVisible();
      return;
    }
    clock.after(faults.listLagMs, makeVisible);
  }

  return {
    set(endpoint) {
      actual.set(endpoint.id, endpoint);
      publish();
    },
    remove(id) {
      actual.delete(id);
      publish();
    },
    markLeaving(hosts) {
      for (const endpoint of actual.values()) {
        if (hosts.has(endpoint.host)) {
          actual.set(endpoint.id, {...endpoint, state: 'leaving'});
        }
      }
      publish();
    },
    removeHosts(hosts) {
      for (const endpoint of [...actual.values()]) {
        if (hosts.has(endpoint.host)) {
          actual.delete(endpoint.id);
        }
      }
      publish();
    },
    visible: () => visible,
    onDidChange: changeEmitter.event,
  };
}
