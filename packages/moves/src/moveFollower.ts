/**
 * What every entry does for moves: follows their durable states, shares its
 * evidence and cuts with its peers, and hears theirs.
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
import type {MoveJudge, MoveState, TrafficSplit} from './contracts.js';
import {isAbout} from './moveChoice.js';

/** Kind of the objects that hold the durable states. */
export const MOVE_STATE_KIND = 'move-state';

/** Evidence is shared this often. */
const SHARE_INTERVAL_MS = 1000;

export interface MoveFollowerOptions {
  readonly clock: Clock;
  readonly objects: Pick<ObjectStore, 'watch'>;
  readonly network: Pick<
    PeerNetwork,
    'broadcast' | 'onDidReceive' | 'onDidChangePeer' | 'send'
  >;
  readonly configuration: Pick<Configuration, 'list' | 'onDidChange'>;
  readonly split: TrafficSplit;
  /** Runs on every entry, so that whoever takes the duty over has the evidence. */
  readonly judge: MoveJudge;
}

/** A cut that is not durable yet. */
interface Cut {
  readonly to: string;
  readonly why: string;
}

/**
 * Starts to follow; ends when disposed.
 *
 * @example
 * store.add(createMoveFollower({clock, objects, network, configuration, split, judge}));
 */
export function createMoveFollower(options: MoveFollowerOptions): Disposable {
  const {clock, objects, network, configuration, split, judge} = options;
  const store = disposableStore();
  const states = new Map<string, MoveState>();
  const openCuts = new Map<string, Cut>();
  let sequence = 0;

  function readMoves() {
    split.setMoves(configuration.list('move'));
  }

  function follow(next: readonly MoveState[]) {
    const newer = next.filter(
      ({move, changedAt}) => changedAt > (states.get(move)?.changedAt ?? 0),
    );
    for (const state of newer) {
      states.set(state.move, state);
    }
    split.setStates(newer);
  }

  /**
   * An entry that starts while the platform is down knows the records from its
   * peers and would send all requests of a finished move to the old version,
   * which may have no endpoint any more.
   */
  function tellStates(peer: string) {
    if (states.size > 0) {
      network.send(peer, 'moveStates', {states: [...states.values()]});
    }
  }

  function moveNamed(name: string): Move | undefined {
    return configuration.list('move').find(move => move.name === name);
  }

  /** A cut of a candidate that the record no longer names says nothing of the present one. */
  function cut(name: string, why: string, to: string | undefined) {
    const move = moveNamed(name);
    if (move === undefined || (to ?? move.to) !== move.to) {
      return;
    }
    openCuts.set(name, {to: move.to, why});
    split.applyCut(name, why);
    judge.reportCut(name, why);
  }

  /** A cut that the durable state already shows, or whose move is another now, need not be told again. */
  function forgetSettledCuts() {
    for (const [name, {to}] of openCuts) {
      const move = moveNamed(name);
      const state = states.get(name);
      const isDurable =
        move !== undefined &&
        isAbout(state, move) &&
        state.phase === 'taken-back';
      if (move?.to !== to || isDurable) {
        openCuts.delete(name);
      }
    }
  }

  function followMoves() {
    for (const move of configuration.list('move')) {
      const state = states.get(move.name);
      if (isAbout(state, move)) {
        judge.follow(move, state, clock.wall());
      }
    }
  }

  function share() {
    followMoves();
    for (const {move, sums} of split.takeEvidence()) {
      judge.addEvidence(move, sums);
      network.broadcast('moveEvidence', {move, sequence: sequence++, sums});
    }
    forgetSettledCuts();
    // Told again until it is durable: a peer that was cut off, or came since,
    // missed the first word and would go on sending requests to a bad version.
    for (const [move, open] of openCuts) {
      network.broadcast('moveCut', {move, ...open});
    }
  }

  store.add(
    configuration.onDidChange(kind => {
      if (kind === 'move') {
        readMoves();
      }
    }),
  );
  store.add(
    objects.watch<MoveState>(MOVE_STATE_KIND, {
      onDidList: listing => follow(listing.objects.map(({value}) => value)),
      onDidPut: ({value}) => follow([value]),
      onDidRemove: name => states.delete(name),
    }),
  );
  store.add(
    network.onDidChangePeer((peer, isOpen) => {
      if (isOpen) {
        tellStates(peer);
      }
    }),
  );
  store.add(
    network.onDidReceive('moveStates', (_from, body) => follow(body.states)),
  );
  store.add(
    network.onDidReceive('moveEvidence', (_from, {move, sums}) =>
      judge.addEvidence(move, sums),
    ),
  );
  store.add(
    network.onDidReceive('moveCut', (_from, {move, why, to}) =>
      cut(move, why, to),
    ),
  );
  store.add(
    split.onDidCut((move, why) => {
      cut(move, why, undefined);
      const open = openCuts.get(move);
      if (open !== undefined) {
        network.broadcast('moveCut', {move, ...open});
      }
    }),
  );
  store.add(every(clock, SHARE_INTERVAL_MS, share));
  readMoves();
  return store;
}
