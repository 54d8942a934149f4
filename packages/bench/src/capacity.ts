/**
 * `capacity`: what entries learn of engines that nobody described, against their
 * true speed, over time; and how long it takes until they are within 20 %.
 */
import {
  ENGINE_PROFILES,
  kindsFor,
  promptMs,
  type EngineProfile,
} from './engines/profiles.js';
import {playEngines} from './engines/engineReplay.js';
import {SERVICE} from './engines/replayEntry.js';
import type {MeasureOptions} from './measurements.js';

const DEFAULT_SECONDS = 40;
const ENGINES = 6;
const ENTRIES = 6;
const LOAD = 0.4;
const NEAR = 0.2;

/**
 * Runs the measurement.
 *
 * @example
 * const report = await measureCapacity({seed: 1000});
 */
export async function measureCapacity(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const rows = [];
  const curves: object[] = [];
  for (const profile of ENGINE_PROFILES) {
    const trueMs = usualPromptMs(profile);
    const learned: number[] = [];
    let usualUse = 0;
    await playEngines({
      seed: options.seed,
      seconds,
      profile,
      engines: ENGINES,
      entries: ENTRIES,
      loadAt: () => LOAD,
      refusesLate: true,
      onDidSecond(second, {engines}) {
        const {usualPromptMs: ms} = engines.figures(SERVICE);
        usualUse = engines.signs(SERVICE).use.usual;
        learned.push(ms / trueMs);
        curves.push({profile: profile.name, second, ratio: ms / trueMs});
      },
    });
    rows.push({
      profile: profile.name,
      trueMs,
      ratioAtEnd: learned.at(-1),
      secondsUntilNear: secondsUntilNear(learned),
      usualUse,
    });
  }
  return {engines: ENGINES, entries: ENTRIES, load: LOAD, rows, curves};
}

/** The second from which on the ratio stays near one; -1 when it does not. */
function secondsUntilNear(ratios: readonly number[]): number {
  const lastFar = ratios.findLastIndex(ratio => Math.abs(ratio - 1) > NEAR);
  return lastFar === ratios.length - 1 ? -1 : lastFar + 2;
}

function usualPromptMs(profile: EngineProfile): number {
  const kinds = kindsFor(profile);
  const weights = kinds.reduce((sum, {weight}) => sum + weight, 0);
  return kinds.reduce(
    (sum, kind) => sum + (kind.weight / weights) * promptMs(kind, profile),
    0,
  );
}
