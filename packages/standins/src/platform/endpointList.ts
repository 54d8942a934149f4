/** The host list of the stand-in: what is true, and what the list already shows. */
import {emitter, type Clock, type Event} from '@skylarkfield/base';
import type {ListedEndpoint} from '@skylarkfield/providers';
import type {Faults} from './faults.js';

export interface EndpointList {
  set(endpoint: ListedEndpoint): void;
  remove(id: string): void;
  /** Marks the endpoints of some hosts as leaving. */
  leave(hosts: ReadonlySet<string>): void;
  removeHosts(hosts: ReadonlySet<string>): void;
  /** What the list shows now. */
  shown(): readonly ListedEndpoint[];
  readonly onDidChange: Event<readonly ListedEndpoint[]>;
}

/**
 * Makes an empty list that shows each change only after the lag.
 *
 * @example
 * const list = createEndpointList(systemClock(), faults);
 */
export function createEndpointList(clock: Clock, faults: Faults): EndpointList {
  const actual = new Map<string, ListedEndpoint>();
  const changed = emitter<readonly ListedEndpoint[]>();
  let shown: readonly ListedEndpoint[] = [];

  function publish(): void {
    const next = [...actual.values()];
    const show = () => {
      shown = next;
      changed.fire(shown);
    };
    if (faults.listLagMs === 0) {
      show();
      return;
    }
    clock.after(faults.listLagMs, show);
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
    leave(hosts) {
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
    shown: () => shown,
    onDidChange: changed.event,
  };
}
