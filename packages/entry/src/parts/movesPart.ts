/** The version moves of this entry: its traffic split, what it follows, and the duty. */
import {disposableStore, every, type Disposable} from '@skylarkfield/base';
import type {DutyElections} from '@skylarkfield/duties';
import {
  createMoveDuty,
  createMoveFollower,
  createMoveController,
  createTrafficSplit,
  type TrafficSplit,
} from '@skylarkfield/moves';
import type {ObjectStore} from '@skylarkfield/providers';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {Configuration} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';
import {listedVersions} from '../listedVersions.js';
import type {EndpointPool} from '../serving.js';

/** How often the split hears which versions have endpoints, in milliseconds. */
const AVAILABILITY_INTERVAL_MS = 1_000;

interface MovesOptions {
  readonly split: TrafficSplit;
  readonly configuration: Configuration;
  readonly network: PeerNetwork;
  readonly objects: ObjectStore;
  readonly endpoints: EndpointPool;
  readonly duties: Pick<DutyElections, 'compete'>;
}

/**
 * Makes the split, which requests ask from the first one on.
 *
 * @example
 * const split = createMovesPart(context);
 */
export function createMovesPart(context: EntryContext): TrafficSplit {
  const {clock, decisions, dumps} = context;
  const split = createTrafficSplit({clock, decisions});
  dumps.add('moves', () => split.dump());
  return split;
}

/**
 * Follows moves and competes for the duty of advancing them.
 *
 * @example
 * owned.add(startMoves(context, {split, configuration, network, objects, endpoints, duties}));
 */
export function startMoves(
  context: EntryContext,
  options: MovesOptions,
): Disposable {
  const {clock, log, decisions, dumps} = context;
  const {split, configuration, network, objects, endpoints, duties} = options;
  const owned = disposableStore();
  const controller = createMoveController({clock, decisions});
  owned.add(dumps.add('moveJudge', () => controller.dump()));
  owned.add(
    createMoveFollower({
      clock,
      objects,
      network,
      configuration,
      split,
      controller,
    }),
  );
  owned.add(every(clock, AVAILABILITY_INTERVAL_MS, setAvailable));
  owned.add(
    duties.compete('moves', tenure =>
      createMoveDuty({
        clock,
        log,
        objects,
        configuration,
        controller,
        tenure,
        hasEndpoints: (service, version) =>
          listedVersions(service, endpoints).has(version),
      }),
    ),
  );
  return owned;

  function setAvailable(): void {
    for (const {service} of configuration.list('move')) {
      split.setAvailableVersions(service, [
        ...listedVersions(service, endpoints),
      ]);
    }
  }
}
