/** The traffic split of this entry. */
import {createTrafficSplit, type TrafficSplit} from '@skylarkfield/moves';
import type {Configuration} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';

/**
 * Makes the split; the moves follow the configuration.
 *
 * @example
 * const split = createMovesPart(context, configuration);
 */
export function createMovesPart(
  context: EntryContext,
  configuration: Configuration,
): TrafficSplit {
  const {clock, decisions, dumps} = context;
  const split = createTrafficSplit({clock, decisions});
  dumps.add('moves', () => split.dump());
  applyMoves();
  configuration.onDidChange(kind => {
    if (kind === 'move') {
      applyMoves();
    }
  });
  return split;

  function applyMoves(): void {
    split.setMoves(configuration.list('move'));
  }
}
