/** Splits traffic between versions during rollouts and publishes the state. */
import {
  disposableStore,
  every,
  toServingError,
  type Disposable,
} from '@skylarkfield/base';
import type {DutyElections} from '@skylarkfield/duties';
import {
  createMoveDuty,
  createMoveFollower,
  createMoveController,
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

/** Result of one request, as evidence about its version. */
export interface RolloutSample {
  readonly service: string;
  readonly group: VersionGroup;
  readonly route: string;
  readonly isError: boolean;
  readonly latencyMs: number;
  readonly isRepeatable: boolean;
}

export interface RolloutController extends Disposable {
  /** Returns a request's version group; the same at every entry for one key. */
  groupFor(service: string, key: string, isRepeatable: boolean): VersionGroup;
  observe(sample: RolloutSample): void;
  /** Whether a rollout of the service is in progress. */
  isOpen(service: string): boolean;
}

export interface RolloutOptions {
  readonly rollouts: Mirror<Rollout>;
  readonly directory: EndpointDirectory;
  readonly network: PeerNetwork;
  readonly store: ObjectStore;
  readonly dutyElections: Pick<DutyElections, 'compete'>;
  plan(): RelayPlan;
  /** Ids of all other entries. */
  others(): readonly string[];
}

/**
 * Interval of updating which groups have endpoints, in milliseconds; endpoints
 * of a new version take seconds to start.
 */
const AVAILABILITY_INTERVAL_MS = 500;

/** Timeout of publishing a rollout state, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

const GROUPS: readonly VersionGroup[] = ['incumbent', 'candidate'];

/**
 * Creates the controller of one entry. Without an open rollout it neither reads
 * the store nor renews a lease, since each of these calls is billed.
 *
 * @example
 * const rollouts = createRolloutController(context, options);
 * const group = rollouts.groupFor('chat', attemptId, true);
 */
export function createRolloutController(
  context: GatewayContext,
  options: RolloutOptions,
): RolloutController {
  const {clock, decisions, log, dumps} = context;
  const moves = createRolloutMoves(options.rollouts, clock);
  const split = createTrafficSplit({clock, decisions});
  const disposables = disposableStore();
  let activeRollouts: Disposable | undefined;

  function update(): void {
    if (moves.hasOpen() && activeRollouts === undefined) {
      activeRollouts = startRollouts(context, options, moves, split);
      log.info({}, 'rollout in progress');
    } else if (!moves.hasOpen() && activeRollouts !== undefined) {
      activeRollouts.dispose();
      activeRollouts = undefined;
      split.setMoves([]);
      log.info({}, 'no rollout in progress');
    }
  }

  disposables.add(moves.onDidChange(update));
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
        // An entry does not know a service's total load; failures under load
        // appear in the samples of its routes.
        loadFraction: 0,
      }),
    isOpen: moves.isOpen,
    dispose() {
      activeRollouts?.dispose();
      disposables.dispose();
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
  const {directory, store, dutyElections} = options;
  const disposables = disposableStore();
  const controller = createMoveController({clock, decisions});
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
    moves.recordStates(states);
    for (const update of moves.pendingUpdates(states)) {
      if (!inFlightUpdates.has(update.name)) {
        void writeState(update);
      }
    }
  }

  /** Failed writes are retried at the next check: the mirror is unchanged. */
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
        'writing the rollout state failed',
      );
    } finally {
      inFlightUpdates.delete(name);
    }
  }

  disposables.add(
    createMoveFollower({
      clock,
      objects: store,
      network: evidenceNetwork(options),
      configuration: moves.records,
      split,
      controller,
    }),
  );
  disposables.add(every(clock, AVAILABILITY_INTERVAL_MS, updateAvailability));
  disposables.add(
    dutyElections.compete('moves', term =>
      createMoveDuty({
        clock,
        log,
        objects: store,
        configuration: moves.records,
        controller,
        term,
        hasEndpoints: (service, group) =>
          availableGroups(service).some(name => name === group),
        onDidAdvance,
      }),
    ),
  );
  updateAvailability();
  return disposables;
}

/**
 * Sends evidence only to the entries that may evaluate moves, so that its cost
 * does not grow with the square of the entries; `moveCut` goes to all entries.
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
        type === 'moveEvidence' ? moveEvaluators(options) : options.others(),
      )) as PeerNetwork['broadcast'],
  };
}

function moveEvaluators({plan, others}: RolloutOptions): string[] {
  const present = new Set(others());
  return plan().coordinators.filter(id => present.has(id));
}
