/**
 * Keeps the moves of one entry in sync: applies the stored states of moves and
 * exchanges evidence and cuts with peers.
 */
import {
  createDisposableStore,
  scheduleRepeatedly,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {Configuration, Move} from '@skylarkfield/records';
import type {MoveController, MoveState, TrafficSplit} from './contracts.js';
import type {KnownStates} from './knownStates.js';
import {isStateOf} from './moveSelection.js';

/** Kind of the objects that hold the states of moves. */
export const MOVE_STATE_KIND = 'move-state';

/** Interval at which evidence and pending cuts are broadcast. */
const BROADCAST_INTERVAL_MS = 1000;

export interface MoveFollowerOptions {
  readonly clock: Clock;
  readonly objects: Pick<ObjectStore, 'watch'>;
  readonly network: Pick<
    PeerNetwork,
    'broadcast' | 'addHandler' | 'onDidChangePeer' | 'send'
  >;
  readonly configuration: Pick<Configuration, 'list' | 'onDidChange'>;
  readonly split: TrafficSplit;
  readonly knownStates: KnownStates;
  /**
   * Collects evidence on every entry, so that a new holder of the duty has the
   * evidence of the earlier holder.
   */
  readonly controller: MoveController;
}

/** Cut of a candidate that is not in the stored state of the move yet. */
interface PendingCut {
  readonly to: string;
  readonly why: string;
}

/**
 * Starts to follow all moves; disposing the result stops following them.
 *
 * @example
 * disposables.add(createMoveFollower({clock, objects, network, ...rest}));
 */
export function createMoveFollower(options: MoveFollowerOptions): Disposable {
  const {clock, objects, network, configuration, split, controller} = options;
  const {knownStates} = options;
  const disposables = createDisposableStore();
  const pendingCuts = new Map<string, PendingCut>();
  let nextEvidenceSequence = 0;

  function updateMoves() {
    split.setMoves(configuration.list('move'));
  }

  function applyStates(receivedStates: readonly MoveState[]) {
    split.setStates(knownStates.record(receivedStates));
  }

  /**
   * Applies all stored states. States that the store has lost are sent to the
   * peers, so that the holder of the duty can store them again although it may
   * not have received them before.
   */
  function applyListing(storedStates: readonly MoveState[]) {
    const lostStates = knownStates.recordListing(storedStates);
    split.setStates(knownStates.list());
    if (lostStates.length > 0) {
      network.broadcast('moveStates', {states: lostStates});
    }
  }

  /**
   * Sends the states of all moves to a newly connected peer. An entry that
   * starts while the platform is unavailable gets only the records from its
   * peers. Without the states, that entry would send all requests of a finished
   * move to the old version, which may have no endpoint.
   */
  function sendStates(peer: string) {
    const states = knownStates.list();
    if (states.length > 0) {
      network.send(peer, 'moveStates', {states});
    }
  }

  function findMove(name: string): Move | undefined {
    return configuration.list('move').find(move => move.name === name);
  }

  /**
   * Applies a cut unless the move's record names another candidate by now.
   * Without `candidateVersion`, the cut is for the candidate in the record.
   */
  function applyCut(
    moveName: string,
    why: string,
    candidateVersion: string | undefined,
  ) {
    const move = findMove(moveName);
    if (move === undefined || (candidateVersion ?? move.to) !== move.to) {
      return;
    }
    pendingCuts.set(moveName, {to: move.to, why});
    split.applyCut(moveName, why);
    controller.reportCut(moveName, why);
  }

  /**
   * Drops cuts whose rollback is stored, whose move names another candidate or
   * whose move was removed.
   */
  function dropObsoleteCuts() {
    for (const [name, {to}] of pendingCuts) {
      const move = findMove(name);
      const state = knownStates.get(name);
      const isRollbackStored =
        move !== undefined &&
        isStateOf(state, move) &&
        state.phase === 'taken-back';
      if (move?.to !== to || isRollbackStored) {
        pendingCuts.delete(name);
      }
    }
  }

  function trackMoves() {
    for (const move of configuration.list('move')) {
      const state = knownStates.get(move.name);
      if (isStateOf(state, move)) {
        controller.track(move, state, clock.wall());
      }
    }
  }

  function broadcastEvidence() {
    trackMoves();
    for (const {move, sums} of split.takeEvidence()) {
      controller.addEvidence(move, sums);
      network.broadcast('moveEvidence', {
        move,
        sequence: nextEvidenceSequence++,
        sums,
      });
    }
    dropObsoleteCuts();
    // The broadcast is repeated until the rollback is stored: a peer that was
    // disconnected or started later missed the first broadcast and would keep
    // sending requests to a bad version.
    for (const [move, pendingCut] of pendingCuts) {
      network.broadcast('moveCut', {move, ...pendingCut});
    }
  }

  disposables.add(
    configuration.onDidChange(kind => {
      if (kind === 'move') {
        updateMoves();
      }
    }),
  );
  disposables.add(
    objects.watch<MoveState>(MOVE_STATE_KIND, {
      onDidList: listing =>
        applyListing(listing.objects.map(({value}) => value)),
      onDidPut: ({value}) => applyStates([value]),
      onDidRemove: name => knownStates.remove(name),
    }),
  );
  disposables.add(
    network.onDidChangePeer((peer, isOpen) => {
      if (isOpen) {
        sendStates(peer);
      }
    }),
  );
  disposables.add(
    network.addHandler('moveStates', (_from, body) => applyStates(body.states)),
  );
  disposables.add(
    network.addHandler('moveEvidence', (_from, {move, sums}) =>
      controller.addEvidence(move, sums),
    ),
  );
  disposables.add(
    network.addHandler('moveCut', (_from, {move, why, to}) =>
      applyCut(move, why, to),
    ),
  );
  disposables.add(
    split.onDidCut((move, why) => {
      applyCut(move, why, undefined);
      const pendingCut = pendingCuts.get(move);
      if (pendingCut !== undefined) {
        network.broadcast('moveCut', {move, ...pendingCut});
      }
    }),
  );
  disposables.add(
    scheduleRepeatedly(clock, BROADCAST_INTERVAL_MS, broadcastEvidence),
  );
  updateMoves();
  return disposables;
}
