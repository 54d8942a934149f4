/** Splits traffic between versions during rollouts; publishes their state. */
import {
  createDisposableStore,
  scheduleRepeatedly,
  toServingError,
  type Disposable,
} from '@skylarkfield/base';
import type {DutyElections} from '@skylarkfield/duties';
import {
  createKnownStates,
  createMoveDuty,
  createMoveFollower,
  createMoveController,
  createTrafficSplit,
  type KnownStates,
  type MoveState,
  type RequestSample,
  type TrafficSplit,
} from '@skylarkfield/moves';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {ObjectStore} from '@skylarkfield/providers';
import type {Rollout} from '@skylarkfield/traffic';
import type {GatewayContext} from '../context.js';
import type {
  EndpointDirectory,
  VersionGroup,
} from '../endpoints/endpointDirectory.js';
import type {Mirror} from '../mirrors/mirror.js';
import type {RelayPlan} from '../digests/relayPlan.js';
import {createRolloutMoves, type RolloutMoves} from './rolloutMoves.js';

/**
 * Result of one request, or the event interval of its stream, as evidence about
 * the version that served it.
 */
export interface RolloutSample {
  readonly service: string;
  readonly group: VersionGroup;
  /** Name of the request's route. */
  readonly route: string;
  /** What the sample measures; `requests` if absent. */
  readonly measure?: RequestSample['measure'];
  readonly isError: boolean;
  /**
   * Router keys of the endpoints because of which the request counts as an error:
   * it is none if they only stood still for a while.
   */
  readonly stillEndpoints?: readonly string[];
  /**
   * Milliseconds from the start of forwarding to the first byte or event; of an
   * event interval, its length.
   */
  readonly latencyMs: number;
  readonly isRepeatable: boolean;
}

export interface RolloutController extends Disposable {
  /**
   * Returns the version group that serves a request. All entries return the
   * same group for the same request key, which is the caller's attempt id.
   */
  groupFor(
    service: string,
    requestKey: string,
    isRepeatable: boolean,
  ): VersionGroup;
  /** Records a sample as evidence about its version group. */
  recordSample(sample: RolloutSample): void;
  /** Whether a rollout of the service is in progress. */
  isRollingOut(service: string): boolean;
}

export interface RolloutOptions {
  readonly rollouts: Mirror<Rollout>;
  readonly directory: EndpointDirectory;
  readonly network: PeerNetwork;
  readonly store: ObjectStore;
  readonly dutyElections: Pick<DutyElections, 'compete'>;
  plan(): RelayPlan;
  /** Ids of all other entries. */
  otherEntryIds(): readonly string[];
}

/**
 * Interval at which it is checked which version groups have ready endpoints, in
 * milliseconds; endpoints of a new version take seconds to start.
 */
const AVAILABILITY_INTERVAL_MS = 500;

/** Timeout of publishing a rollout state, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

/** Messages for the entries that may evaluate rollouts. */
const EVALUATOR_MESSAGES: ReadonlySet<keyof Messages> = new Set([
  'moveEvidence',
  'moveStates',
]);

const VERSION_GROUPS: readonly VersionGroup[] = ['incumbent', 'candidate'];

/**
 * Creates the rollout controller of one entry. While no rollout is in progress,
 * the controller neither reads the store nor renews a lease, since each of
 * these calls is billed.
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
  const trafficSplit = createTrafficSplit({clock, decisions});
  const knownStates = createKnownStates();
  const disposables = createDisposableStore();
  let activeRollouts: Disposable | undefined;

  function startOrStopRollouts(): void {
    if (moves.hasOpenRollouts() && activeRollouts === undefined) {
      activeRollouts = startRollouts(context, options, {
        moves,
        trafficSplit,
        knownStates,
      });
      log.info({}, 'rollout in progress');
    } else if (!moves.hasOpenRollouts() && activeRollouts !== undefined) {
      activeRollouts.dispose();
      activeRollouts = undefined;
      trafficSplit.setMoves([]);
      log.info({}, 'no rollout in progress');
    }
  }

  disposables.add(moves.onDidChange(startOrStopRollouts));
  startOrStopRollouts();
  dumps.add('rollouts', () => trafficSplit.dump());
  return {
    groupFor: (service, requestKey, isRepeatable) =>
      trafficSplit.versionFor({
        service,
        incumbent: 'incumbent',
        session: requestKey,
        isIdempotent: isRepeatable,
      }) as VersionGroup,
    recordSample: ({
      service,
      group,
      route,
      measure,
      isError,
      latencyMs,
      isRepeatable,
    }) =>
      trafficSplit.recordSample({
        service,
        route,
        ...(measure && {measure}),
        isError,
        latencyMs,
        version: group,
        isIdempotent: isRepeatable,
        // An entry does not know the total load of a service; failures that
        // occur under load appear in the samples of the service's routes.
        loadFraction: 0,
      }),
    isRollingOut: moves.isRollingOut,
    dispose() {
      activeRollouts?.dispose();
      disposables.dispose();
    },
  };
}

/** What an entry keeps while no rollout is in progress. */
interface RolloutMemory {
  readonly moves: RolloutMoves;
  readonly trafficSplit: TrafficSplit;
  readonly knownStates: KnownStates;
}

function startRollouts(
  context: GatewayContext,
  options: RolloutOptions,
  {moves, trafficSplit, knownStates}: RolloutMemory,
): Disposable {
  const {clock, log, decisions} = context;
  const {directory, store, dutyElections} = options;
  const disposables = createDisposableStore();
  const moveController = createMoveController({clock, decisions});
  const inFlightUpdates = new Set<string>();

  function availableGroups(service: string): VersionGroup[] {
    return VERSION_GROUPS.filter(
      group => directory.readyEndpoints(service, group).length > 0,
    );
  }

  function updateAvailability(): void {
    for (const {service} of moves.moveRecords.list('move')) {
      trafficSplit.setAvailableVersions(service, availableGroups(service));
    }
  }

  function onDidAdvance(states: readonly MoveState[]): void {
    moves.recordStates(states);
    for (const update of moves.unpublishedUpdates(states)) {
      if (!inFlightUpdates.has(update.name)) {
        void writeState(update);
      }
    }
  }

  /**
   * Publishes a rollout state. A failed write is retried the next time the
   * rollout is evaluated, since the mirrored rollout still has the old state.
   */
  async function writeState({
    name,
    target,
    state,
  }: ReturnType<RolloutMoves['unpublishedUpdates']>[number]): Promise<void> {
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
      network: createEvidenceNetwork(options),
      configuration: moves.moveRecords,
      split: trafficSplit,
      knownStates,
      controller: moveController,
    }),
  );
  disposables.add(
    scheduleRepeatedly(clock, AVAILABILITY_INTERVAL_MS, updateAvailability),
  );
  disposables.add(
    dutyElections.compete('moves', term =>
      createMoveDuty({
        clock,
        log,
        objects: store,
        configuration: moves.moveRecords,
        controller: moveController,
        knownStates,
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
 * Returns a network that sends evidence and lost states only to the entries that
 * may evaluate rollouts, so that their cost does not grow with the square of the
 * number of entries. Other messages, such as `moveCut`, go to all entries.
 */
function createEvidenceNetwork(options: RolloutOptions) {
  const {network} = options;
  return {
    addHandler: network.addHandler,
    onDidChangePeer: network.onDidChangePeer,
    send: network.send,
    broadcast: ((type, body) =>
      network.broadcast(
        type,
        body,
        EVALUATOR_MESSAGES.has(type)
          ? moveEvaluators(options)
          : options.otherEntryIds(),
      )) as PeerNetwork['broadcast'],
  };
}

function moveEvaluators({plan, otherEntryIds}: RolloutOptions): string[] {
  const otherIds = new Set(otherEntryIds());
  return plan().coordinatorIds.filter(id => otherIds.has(id));
}
