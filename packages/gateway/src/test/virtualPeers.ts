/** The store and the peer networks of entries on a virtual clock. */
import {toDisposable} from '@skylarkfield/base';
import type {MoveState} from '@skylarkfield/moves';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {
  ObjectStore,
  StoredObject,
  WatchListener,
} from '@skylarkfield/providers';

/** Creates a store of move states that all entries share. */
export function createMoveStore() {
  const objects = new Map<string, StoredObject<MoveState>>();
  const listeners = new Set<WatchListener<MoveState>>();
  let version = 0;
  const store = {
    get: async (_kind: string, name: string) => objects.get(name),
    list: async () => ({version, objects: [...objects.values()]}),
    async put(kind: string, name: string, value: MoveState) {
      version += 1;
      const stored = {kind, name, version, writeId: '', value};
      objects.set(name, stored);
      listeners.forEach(listener => listener.onDidPut(stored));
      return stored;
    },
    remove: async (_kind: string, name: string) => void objects.delete(name),
    watch(_kind: string, listener: WatchListener<MoveState>) {
      listeners.add(listener);
      return toDisposable(() => listeners.delete(listener));
    },
  };
  return {
    store: store as unknown as ObjectStore,
    /** Reason for the last state of the only move. */
    why: () => [...objects.values()][0]?.value.why,
  };
}

type Handler = (from: string, body: unknown) => void;

/** Creates the networks of entries, by their ids. */
export function createNetworks(
  ids: readonly string[],
): ReadonlyMap<string, PeerNetwork> {
  const handlers = new Map<string, Map<string, Handler>>(
    ids.map(id => [id, new Map()]),
  );
  function networkOf(id: string): PeerNetwork {
    const network = {
      broadcast(type: string, body: unknown, peers: readonly string[]) {
        peers.forEach(peer => handlers.get(peer)?.get(type)?.(id, body));
        return peers.length;
      },
      send: () => true,
      onDidChangePeer: () => toDisposable(() => {}),
      addHandler(type: string, handler: Handler) {
        handlers.get(id)!.set(type, handler);
        return toDisposable(() => handlers.get(id)!.delete(type));
      },
    };
    return network as unknown as PeerNetwork;
  }
  return new Map(ids.map(id => [id, networkOf(id)]));
}
