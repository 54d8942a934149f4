/** Moves traffic between versions while operators want it, and tells them how it stands. */
import {
  disposableStore,
  every,
  toServingError,
  type Disposable,
} from '@skylarkfield/base';
import type {Duties} from '@skylarkfield/duties';
import {
  createMoveDuty,
  createMoveFollower,
  createMoveJudge,
  createTrafficSplit,
  type MoveState,
  type TrafficSplit,
} from '@skylarkfield/moves';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {ObjectStore} from '@skylarkfield/providers';
import type {Rollout} from '@skylarkfield/traffic';
import type {GatewayContext} from './context.js';
import type {EndpointDirectory, VersionGroup} from './endpointDirectory.js';
import type {Mirror} from './mirror.js';
import type {RelayPlan} from './relayPlan.js';
import {createRolloutMoves, type RolloutMoves} from './rolloutMoves.js';

/** How one request went, as evidence about its version. */
export interface RolloutSample {
  readonly service: string;
  readonly group: VersionGroup;
  readonly route: string;
  readonly isError: boolean;
  readonly latencyMs: number;
  readonly isRepeatable: boolean;
}

export interface RolloutController extends Disposable {
  /** The group of endpoints that takes a request; alike at every entry for one key. */
  groupFor(service: string, key: string, isRepeatable: boolean): VersionGroup;
  observe(sample: RolloutSample): void;
  /** Whether a service's traffic is being moved. */
  isOpen(service: string): boolean;
}

export interface RolloutOptions {
  readonly rollouts: Mirror<Rollout>;
  readonly directory: EndpointDirectory;
  readonly network: PeerNetwork;
  readonly store: ObjectStore;
  readonly duties: Pick<Duties, 'compete'>;
  plan(): RelayPlan;
  /** Ids of all other entries. */
  others(): readonly string[];
}

/** How often the split hears which groups have endpoints, in milliseconds; a new version starts in seconds. */
const AVAILABILITY_INTERVAL_MS = 500;

/** Time for telling the operator, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

const GROUPS: readonly VersionGroup[] = ['incumbent', 'candidate'];

/**
 * Makes the rollouts of one entry. Nothing is read from the store and no lease
 * is renewed while no rollout is open: each of these is a priced call.
 *
 * @example
 * const rollouts = createRolloutPart(context, parts);
 * const group = rollouts.groupFor('chat', attemptId, true);
 */
export function createRolloutController(
  context: GatewayContext,
  options: RolloutOptions,
): RolloutController {
  const {clock, decisions, log, dumps} = context;
  const moves = createRolloutMoves(options.rollouts, clock);
  const split = createTrafficSplit({clock, decisions});
  const owned = disposableStore();
  let activeRollouts: Disposable | undefined;

  function update(): void {
    if (moves.hasOpen() && activeRollouts === undefined) {
      activeRollouts = startRollouts(context, options, moves, split);
      log.info({}, 'a rollout is open');
    } else if (!moves.hasOpen() && activeRollouts !== undefined) {
      activeRollouts.dispose();
      activeRollouts = undefined;
      split.setMoves([]);
      log.info({}, 'no rollout is open');
    }
  }

  owned.add(moves.onDidChange(update));
  update();
  dumps.add('rollouts', () => split.dump());
  return {
    groupFor: (service, key, isRepeatable) =>
      split.versionFor({
        service,
        incumbent: 'incumbent',
        session: key,
        isIdempotent: isRepeatable,
      }) as VersionGroup,
    observe: ({group, isRepeatable, ...sample}) =>
      split.observe({
        ...sample,
        version: group,
        isIdempotent: isRepeatable,
        // Entries do not know a service's use as a whole; faults under load show on the routes.
        loadFraction: 0,
      }),
    isOpen: moves.isOpen,
    dispose() {
      activeRollouts?.dispose();
      owned.dispose();
    },
  };
}

function startRollouts(
  context: GatewayContext,
  options: RolloutOptions,
  moves: RolloutMoves,
  split: TrafficSplit,
): Disposable {
  const {clock, log, decisions} = context;
  const {directory, store, duties} = options;
  const owned = disposableStore();
  const judge = createMoveJudge({clock, decisions});
  const inFlightUpdates = new Set<string>();

  function availableGroups(service: string): VersionGroup[] {
    return GROUPS.filter(group => directory.ready(service, group).length > 0);
  }

  function updateAvailability(): void {
    for (const {service} of moves.records.list('move')) {
      split.setAvailableVersions(service, availableGroups(service));
    }
  }

  function onDidAdvance(states: readonly MoveState[]): void {
    moves.noteStates(states);
    for (const update of moves.pendingUpdates(states)) {
      if (!inFlightUpdates.has(update.name)) {
        void writeState(update);
      }
    }
  }

  /** Written again with the next look if it fails: the mirror still shows the former state then. */
  async function writeState({
    name,
    target,
    state,
  }: ReturnType<RolloutMoves['pendingUpdates']>[number]): Promise<void> {
    inFlightUpdates.add(name);
    try {
      await context.platform.writeRolloutState(
        name,
        target,
        state,
        AbortSignal.timeout(CALL_TIMEOUT_MS),
      );
      log.info({rollout: name, target, state}, 'rollout state written');
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn(
        {rollout: name, target, state, kind, message},
        'rollout state not written',
      );
    } finally {
      inFlightUpdates.delete(name);
    }
  }

  owned.add(
    createMoveFollower({
      clock,
      objects: store,
      network: evidenceNetwork(options),
      configuration: moves.records,
      split,
      judge,
    }),
  );
  owned.add(every(clock, AVAILABILITY_INTERVAL_MS, updateAvailability));
  owned.add(
    duties.compete('moves', tenure =>
      createMoveDuty({
        clock,
        log,
        objects: store,
        configuration: moves.records,
        judge,
        tenure,
        hasEndpoints: (service, group) =>
          availableGroups(service).some(name => name === group),
        onDidAdvance,
      }),
    ),
  );
  updateAvailability();
  return owned;
}

/**
 * Evidence goes to those who may judge, so that its cost does not grow with the
 * square of the entries; a cut goes to all.
 */
function evidenceNetwork(options: RolloutOptions) {
  const {network} = options;
  return {
    onDidReceive: network.onDidReceive,
    onDidChangePeer: network.onDidChangePeer,
    send: network.send,
    broadcast: ((type, body) =>
      network.broadcast(
        type,
        body,
        type === 'moveEvidence' ? judges(options) : options.others(),
      )) as PeerNetwork['broadcast'],
  };
}

function judges({plan, others}: RolloutOptions): string[] {
  const present = new Set(others());
  return plan().coordinators.filter(id => present.has(id));
}
