/**
 * Keeps an entry's moves in sync: applies their stored states and exchanges
 * evidence and cuts with its peers.
 */
import {
  disposableStore,
  every,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {Configuration, Move} from '@skylarkfield/records';
import type {MoveController, MoveState, TrafficSplit} from './contracts.js';
import {isStateOf} from './moveSelection.js';

/** Kind of the objects that hold the states of moves. */
export const MOVE_STATE_KIND = 'move-state';

/** Interval of broadcasts of evidence and pending cuts. */
const BROADCAST_INTERVAL_MS = 1000;

export interface MoveFollowerOptions {
  readonly clock: Clock;
  readonly objects: Pick<ObjectStore, 'watch'>;
  readonly network: Pick<
    PeerNetwork,
    'broadcast' | 'onDidReceive' | 'onDidChangePeer' | 'send'
  >;
  readonly configuration: Pick<Configuration, 'list' | 'onDidChange'>;
  readonly split: TrafficSplit;
  /** Runs on every entry, so a new holder of the duty has the evidence. */
  readonly controller: MoveController;
}

/** Cut that is not in the stored state yet. */
interface PendingCut {
  readonly to: string;
  readonly why: string;
}

/**
 * Starts following moves until disposed.
 *
 * @example
 * store.add(createMoveFollower({clock, objects, network, configuration, split, controller}));
 */
export function createMoveFollower(options: MoveFollowerOptions): Disposable {
  const {clock, objects, network, configuration, split, controller} = options;
  const store = disposableStore();
  const states = new Map<string, MoveState>();
  const pendingCuts = new Map<string, PendingCut>();
  let sequence = 0;

  function updateMoves() {
    split.setMoves(configuration.list('move'));
  }

  function applyStates(next: readonly MoveState[]) {
    const newer = next.filter(
      ({move, changedAt}) => changedAt > (states.get(move)?.changedAt ?? 0),
    );
    for (const state of newer) {
      states.set(state.move, state);
    }
    split.setStates(newer);
  }

  /**
   * Sends all states to a new peer. An entry that starts while the platform is
   * unavailable gets only the records from its peers and would send all
   * requests of a finished move to the old version, which may have no endpoint.
   */
  function sendStates(peer: string) {
    if (states.size > 0) {
      network.send(peer, 'moveStates', {states: [...states.values()]});
    }
  }

  function findMove(name: string): Move | undefined {
    return configuration.list('move').find(move => move.name === name);
  }

  /** Applies a cut unless the move's record names another candidate by now. */
  function applyCut(name: string, why: string, to: string | undefined) {
    const move = findMove(name);
    if (move === undefined || (to ?? move.to) !== move.to) {
      return;
    }
    pendingCuts.set(name, {to: move.to, why});
    split.applyCut(name, why);
    controller.reportCut(name, why);
  }

  /** Drops cuts that are stored or whose move has changed or was removed. */
  function dropObsoleteCuts() {
    for (const [name, {to}] of pendingCuts) {
      const move = findMove(name);
      const state = states.get(name);
      const isDurable =
        move !== undefined &&
        isStateOf(state, move) &&
        state.phase === 'taken-back';
      if (move?.to !== to || isDurable) {
        pendingCuts.delete(name);
      }
    }
  }

  function trackMoves() {
    for (const move of configuration.list('move')) {
      const state = states.get(move.name);
      if (isStateOf(state, move)) {
        controller.track(move, state, clock.wall());
      }
    }
  }

  function broadcastEvidence() {
    trackMoves();
    for (const {move, sums} of split.takeEvidence()) {
      controller.addEvidence(move, sums);
      network.broadcast('moveEvidence', {move, sequence: sequence++, sums});
    }
    dropObsoleteCuts();
    // Repeated until stored: a peer that was disconnected or started later
    // missed the first broadcast and would keep sending requests to a bad
    // version.
    for (const [move, pendingCut] of pendingCuts) {
      network.broadcast('moveCut', {move, ...pendingCut});
    }
  }

  store.add(
    configuration.onDidChange(kind => {
      if (kind === 'move') {
        updateMoves();
      }
    }),
  );
  store.add(
    objects.watch<MoveState>(MOVE_STATE_KIND, {
      onDidList: listing =>
        applyStates(listing.objects.map(({value}) => value)),
      onDidPut: ({value}) => applyStates([value]),
      onDidRemove: name => states.delete(name),
    }),
  );
  store.add(
    network.onDidChangePeer((peer, isOpen) => {
      if (isOpen) {
        sendStates(peer);
      }
    }),
  );
  store.add(
    network.onDidReceive('moveStates', (_from, body) =>
      applyStates(body.states),
    ),
  );
  store.add(
    network.onDidReceive('moveEvidence', (_from, {move, sums}) =>
      controller.addEvidence(move, sums),
    ),
  );
  store.add(
    network.onDidReceive('moveCut', (_from, {move, why, to}) =>
      applyCut(move, why, to),
    ),
  );
  store.add(
    split.onDidCut((move, why) => {
      applyCut(move, why, undefined);
      const pendingCut = pendingCuts.get(move);
      if (pendingCut !== undefined) {
        network.broadcast('moveCut', {move, ...pendingCut});
      }
    }),
  );
  store.add(every(clock, BROADCAST_INTERVAL_MS, broadcastEvidence));
  updateMoves();
  return store;
}
