/** Version moves of this entry: traffic split, move follower and move duty. */
import {
  createDisposableStore,
  scheduleRepeatedly,
  type Disposable,
} from '@skylarkfield/base';
import type {DutyElections} from '@skylarkfield/duties';
import {
  createMoveDuty,
  createMoveFollower,
  createKnownStates,
  createMoveController,
  createTrafficSplit,
  type TrafficSplit,
} from '@skylarkfield/moves';
import type {ObjectStore} from '@skylarkfield/providers';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {Configuration} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import {availableVersions} from '../availableVersions.js';
import type {EndpointPool} from '../servingContext.js';

/**
 * Interval of updates of the traffic split with the versions that have
 * endpoints, in milliseconds.
 */
const AVAILABILITY_UPDATE_INTERVAL_MS = 1_000;

interface MovesComponentOptions {
  readonly trafficSplit: TrafficSplit;
  readonly configuration: Configuration;
  readonly network: PeerNetwork;
  readonly objectStore: ObjectStore;
  readonly endpointPool: EndpointPool;
  readonly duties: Pick<DutyElections, 'compete'>;
}

/**
 * Creates the traffic split, which selects the version of each request and must
 * exist before the first request.
 *
 * @example
 * const split = createTrafficSplitComponent(context);
 */
export function createTrafficSplitComponent(
  context: EntryContext,
): TrafficSplit {
  const {clock, decisions, dumps} = context;
  const split = createTrafficSplit({clock, decisions});
  dumps.add('moves', () => split.dump());
  return split;
}

/**
 * Applies the states of moves to the traffic split and takes part in the lease
 * election of the move duty.
 *
 * @example
 * disposables.add(startMovesComponent(context, options));
 */
export function startMovesComponent(
  context: EntryContext,
  options: MovesComponentOptions,
): Disposable {
  const {clock, log, decisions, dumps} = context;
  const {
    trafficSplit,
    configuration,
    network,
    objectStore,
    endpointPool,
    duties,
  } = options;
  const disposables = createDisposableStore();
  const moveController = createMoveController({clock, decisions});
  const knownStates = createKnownStates();
  disposables.add(dumps.add('moveJudge', () => moveController.dump()));
  disposables.add(
    createMoveFollower({
      clock,
      objects: objectStore,
      network,
      configuration,
      split: trafficSplit,
      knownStates,
      controller: moveController,
    }),
  );
  disposables.add(
    scheduleRepeatedly(
      clock,
      AVAILABILITY_UPDATE_INTERVAL_MS,
      updateAvailableVersions,
    ),
  );
  disposables.add(
    duties.compete('moves', term =>
      createMoveDuty({
        clock,
        log,
        objects: objectStore,
        configuration,
        controller: moveController,
        knownStates,
        term,
        hasEndpoints: (service, version) =>
          availableVersions(service, endpointPool).has(version),
      }),
    ),
  );
  return disposables;

  function updateAvailableVersions(): void {
    for (const {service} of configuration.list('move')) {
      trafficSplit.setAvailableVersions(service, [
        ...availableVersions(service, endpointPool),
      ]);
    }
  }
}
