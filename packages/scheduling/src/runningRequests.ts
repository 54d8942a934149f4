/** Requests in progress of all entries, by the entry and id. */
import type {EndpointLoad, RunningRequest} from './endpointLoad.js';
import {addTo, deleteFrom, keyOf} from './requestKeys.js';

/** A request in progress with the load of its endpoint. */
export interface PlacedRequest {
  readonly load: EndpointLoad;
  readonly request: RunningRequest;
}

export interface RunningRequests {
  readonly size: number;
  add(load: EndpointLoad, request: RunningRequest): void;
  find(asker: string, id: string): PlacedRequest | undefined;
  remove(asker: string, id: string): void;
  removeAsker(asker: string): void;
  /** Forgets all requests at an endpoint that is gone. */
  removeEndpoint(load: EndpointLoad): void;
  /** Forgets the requests whose deadline has passed at any of the endpoints. */
  removeExpired(loads: Iterable<EndpointLoad>): void;
  values(): Iterable<PlacedRequest>;
}

/**
 * Creates an empty registry.
 *
 * @example
 * running.add(load, request);
 * running.remove('a1', request.id);
 */
export function createRunningRequests(): RunningRequests {
  const placedByKey = new Map<string, PlacedRequest>();
  const keysByAsker = new Map<string, Set<string>>();

  function remove(asker: string, id: string): void {
    const key = keyOf(asker, id);
    const placed = placedByKey.get(key);
    placed?.load.remove(placed.request);
    placedByKey.delete(key);
    deleteFrom(keysByAsker, asker, key);
  }

  return {
    get size() {
      return placedByKey.size;
    },
    add(load, request) {
      remove(request.asker, request.id);
      load.add(request);
      const key = keyOf(request.asker, request.id);
      placedByKey.set(key, {load, request});
      addTo(keysByAsker, request.asker, key);
    },
    find: (asker, id) => placedByKey.get(keyOf(asker, id)),
    remove,
    removeAsker(asker) {
      for (const key of [...(keysByAsker.get(asker) ?? [])]) {
        remove(asker, placedByKey.get(key)!.request.id);
      }
    },
    removeEndpoint(load) {
      for (const {asker, id} of [...load.running]) {
        remove(asker, id);
      }
    },
    removeExpired(loads) {
      for (const load of loads) {
        for (const {asker, id} of load.removeExpired()) {
          remove(asker, id);
        }
      }
    },
    values: () => placedByKey.values(),
  };
}
