/**
 * Test doubles for moves: a move record, an in-memory object store and a peer
 * network.
 */
import {
  createDecisionLog,
  createEmitter,
  ServingError,
  settlePromises,
  createSilentLogger,
  toDisposable,
  type VirtualClock,
} from '@skylarkfield/base';
import type {DutyTerm} from '@skylarkfield/duties';
import {
  createStoreRevision,
  revisionInEra,
  type ObjectStore,
  type StoredObject,
  type WatchListener,
  type WriteCondition,
} from '@skylarkfield/providers';
import type {EvidenceSum, Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {Move, RecordKind} from '@skylarkfield/records';
import {
  createKnownStates,
  createMoveDuty,
  createMoveFollower,
  createMoveController,
  createTrafficSplit,
  type MoveState,
} from '../index.js';

export const START_MS = 1_800_000_000_000;
export const HOUR_MS = 3_600_000;

export const move: Move = {
  name: 'booking-2',
  service: 'booking',
  from: 'v1',
  to: 'v2',
  deadline: START_MS + HOUR_MS,
  maxUnprovenShare: 0.1,
};

/** Returns one window's evidence of candidate and incumbent on a route. */
export function evidenceOfWindow(
  candidate: {requests: number; errors: number; medianMs: number},
  incumbent: {requests: number; errors: number; medianMs: number},
  route = 'confirm',
): EvidenceSum[] {
  return [
    {version: 'v2', ...candidate},
    {version: 'v1', ...incumbent},
  ].map(({version, requests, errors, medianMs}) => {
    const count = requests - errors;
    const meanLogLatency = Math.log(medianMs);
    return {
      route,
      version,
      loadLevel: 'low',
      requests,
      errors,
      logLatency: count * meanLogLatency,
      logLatencySquared: count * (meanLogLatency * meanLogLatency + 0.16),
    };
  });
}

type StoredMoveState = StoredObject<MoveState>;

/**
 * In-memory object store of all entries; can be made unavailable and restored
 * from a copy.
 */
export function createFakeStore() {
  const objects = new Map<string, StoredMoveState>();
  const listeners = new Set<WatchListener<MoveState>>();
  const writtenStates: MoveState[] = [];
  let era = 0;
  let version = 0;
  let isDown = false;
  function throwWhenDown() {
    if (isDown) {
      throw new ServingError('platform-unavailable', 'down');
    }
  }
  function isConditionMet(
    condition: WriteCondition,
    stored: StoredMoveState | undefined,
  ) {
    if (condition.type === 'absent') {
      return stored === undefined;
    }
    return condition.type === 'any' || condition.version === stored?.version;
  }
  let isWatchDown = false;
  const store = {
    get: async (_kind: string, name: string) => objects.get(name),
    async list() {
      throwWhenDown();
      return {version, objects: [...objects.values()]};
    },
    async put(
      kind: string,
      name: string,
      value: MoveState,
      condition: WriteCondition,
    ) {
      throwWhenDown();
      if (!isConditionMet(condition, objects.get(name))) {
        throw new ServingError('version-conflict', 'changed');
      }
      const stored = {kind, name, version: ++version, writeId: '', value};
      objects.set(name, stored);
      writtenStates.push(value);
      for (const listener of listeners) {
        listener.onDidPut(stored);
      }
      return stored;
    },
    async remove(_kind: string, name: string) {
      throwWhenDown();
      objects.delete(name);
    },
    watch(_kind: string, listener: WatchListener<MoveState>) {
      if (isWatchDown) {
        return toDisposable(() => undefined);
      }
      listeners.add(listener);
      listener.onDidList({version, objects: [...objects.values()]});
      return toDisposable(() => listeners.delete(listener));
    },
  };
  return {
    store: store as unknown as ObjectStore,
    readState: (name: string) => objects.get(name)?.value,
    writeState: (value: MoveState) =>
      store.put('move-state', value.move, value, {type: 'any'}),
    /** All states written so far, also those that were lost. */
    writtenStates: () => writtenStates,
    takeCopy: (): readonly StoredMoveState[] => [...objects.values()],
    /** Returns to the state of a copy, in a new era; watches list again. */
    restore(copy: readonly StoredMoveState[]) {
      era += 1;
      version = createStoreRevision(era, 0);
      objects.clear();
      for (const stored of copy) {
        const revision = revisionInEra(stored.version);
        const copiedVersion = createStoreRevision(era, revision);
        objects.set(stored.name, {...stored, version: copiedVersion});
        version = Math.max(version, copiedVersion);
      }
      for (const listener of listeners) {
        listener.onDidList({version, objects: [...objects.values()]});
      }
    },
    setDown(isNowDown: boolean) {
      isDown = isNowDown;
      isWatchDown = isNowDown;
    },
  };
}

type Handler = (from: string, body: unknown) => unknown;

/**
 * Connects all peers; peers in `disconnectedPeers` neither send nor receive
 * broadcasts.
 */
export function createFakePeerBus() {
  const handlers = new Map<string, Map<string, Handler>>();
  const peerOpenEmitter = createEmitter<string>();
  const disconnectedPeers = new Set<string>();
  function networkOf(id: string): PeerNetwork {
    const ownHandlers = new Map<string, Handler>();
    handlers.set(id, ownHandlers);
    const network = {
      broadcast(type: keyof Messages, body: unknown) {
        for (const [peer, peerHandlers] of handlers) {
          if (
            peer !== id &&
            !disconnectedPeers.has(id) &&
            !disconnectedPeers.has(peer)
          ) {
            peerHandlers.get(type)?.(id, body);
          }
        }
        return handlers.size - 1;
      },
      send(to: string, type: keyof Messages, body: unknown) {
        handlers.get(to)?.get(type)?.(id, body);
        return true;
      },
      onDidChangePeer: (listener: (peer: string, isOpen: boolean) => void) =>
        peerOpenEmitter.event(peer => listener(peer, true)),
      addHandler(type: keyof Messages, handler: Handler) {
        ownHandlers.set(type, handler);
        return toDisposable(() => ownHandlers.delete(type));
      },
    };
    return network as unknown as PeerNetwork;
  }
  return {
    networkOf,
    disconnectedPeers,
    firePeerOpened: (peer: string) => peerOpenEmitter.fire(peer),
  };
}

/**
 * Starts entries, each with a follower and a controller. `holdDuty` runs the
 * duty on one of them.
 */
export function createCluster(clock: VirtualClock, count: number) {
  const bus = createFakePeerBus();
  const platform = createFakeStore();
  const changeEmitter = createEmitter<{kind: RecordKind; name: string}>();
  let moves: readonly Move[] = [move];
  const configuration = {
    list: () => moves as never,
    onDidChange: (listener: (kind: RecordKind, name: string) => void) =>
      changeEmitter.event(({kind, name}) => listener(kind, name)),
    isReady: () => true,
  };
  function startEntry(index: number) {
    const decisions = createDecisionLog(clock, createSilentLogger());
    const split = createTrafficSplit({clock, decisions});
    const controller = createMoveController({clock, decisions});
    const network = bus.networkOf(`e${index}`);
    const objects = platform.store;
    const knownStates = createKnownStates();
    createMoveFollower({
      clock,
      objects,
      network,
      configuration,
      split,
      knownStates,
      controller,
    });
    return {split, controller, knownStates};
  }
  const entries = Array.from({length: count}, (_, index) => startEntry(index));
  function holdDuty(index: number, entry = entries[index]!) {
    const abortController = new AbortController();
    const term: DutyTerm = {
      duty: 'moves',
      fencing: index,
      acquiredAt: clock.now(),
      isValid: () => !abortController.signal.aborted,
      signal: abortController.signal,
    };
    const moveDuty = createMoveDuty({
      clock,
      log: createSilentLogger(),
      objects: platform.store,
      configuration,
      controller: entry.controller,
      knownStates: entry.knownStates,
      term,
    });
    return toDisposable(() => {
      abortController.abort();
      moveDuty.dispose();
    });
  }
  async function setMoves(nextMoves: readonly Move[]) {
    moves = nextMoves;
    changeEmitter.fire({kind: 'move', name: ''});
    await settlePromises();
  }
  return {entries, startEntry, platform, bus, holdDuty, setMoves};
}
