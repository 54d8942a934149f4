/** Compares stream migration with plain retry during a reclaim. */
import type {Reclaim} from './reclaim/fleet.js';
import {replayReclaim} from './reclaim/replay.js';

const reclaimsByName: Readonly<Record<string, Reclaim>> = {
  notice5s: {type: 'notice', noticeMs: 5000},
  notice1500ms: {type: 'notice', noticeMs: 1500},
  crash: {type: 'crash'},
  silence: {type: 'silence'},
  pause1400ms: {type: 'pause', durationMs: 1400, isEverywhere: false},
  pauseAll1400ms: {type: 'pause', durationMs: 1400, isEverywhere: true},
  pauseAll4000ms: {type: 'pause', durationMs: 4000, isEverywhere: true},
};

/**
 * Measures stream migration and plain retry, with the same streams, for each
 * way of losing a failure domain.
 *
 * @example
 * const result = await measureReclaim({seed: 1000});
 */
export async function measureReclaim(options: {
  readonly seed: number;
  readonly seconds?: number;
}): Promise<object> {
  const result: Record<string, object> = {};
  for (const [name, reclaim] of Object.entries(reclaimsByName)) {
    result[name] = {
      plain: await replayReclaim('plain', reclaim, options.seed),
      skylarkfield: await replayReclaim('skylarkfield', reclaim, options.seed),
    };
  }
  return result;
}
