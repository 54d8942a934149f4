/**
 * `shedding`: load on engines rises to twice their prompt capacity. Compares,
 * for several engine profiles, the results of requests when entries refuse at
 * once those that would miss their deadline and when they send all of them.
 */
import {ENGINE_PROFILES} from './engines/profiles.js';
import {replayEngines, type ReplayOutcome} from './engines/engineReplay.js';
import type {MeasureOptions} from './measurements.js';

const DEFAULT_SECONDS = 24;
/** Load until `OVERLOAD_START_SECOND`, while entries estimate engine speed. */
const BASELINE_LOAD = 0.4;
const OVERLOAD = 2;
const OVERLOAD_START_SECOND = 12;
const ENGINES = 4;
const ENTRIES = 4;
/**
 * Minimum milliseconds per prompt token of the measured profiles. Faster
 * engines have so many open requests that a run takes minutes.
 */
const MIN_TOKEN_MS = 1 / 40;

/**
 * Measures each profile with and without load shedding.
 *
 * @example
 * const report = await measureShedding({seed: 1000});
 */
export async function measureShedding(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const rows = [];
  const profiles = ENGINE_PROFILES.filter(
    ({tokenMs}) => tokenMs >= MIN_TOKEN_MS,
  );
  for (const profile of profiles) {
    for (const refusesLate of [false, true]) {
      const outcomes = await replayEngines({
        seed: options.seed,
        seconds,
        profile,
        engines: ENGINES,
        entries: ENTRIES,
        loadAt: second =>
          second < OVERLOAD_START_SECOND ? BASELINE_LOAD : OVERLOAD,
        refusesLate,
      });
      rows.push({profile: profile.name, refusesLate, ...summarize(outcomes)});
    }
  }
  return {engines: ENGINES, entries: ENTRIES, load: OVERLOAD, rows};
}

function summarize(all: readonly ReplayOutcome[]) {
  const outcomes = all.filter(
    ({arrivedMs}) => arrivedMs >= OVERLOAD_START_SECOND * 1_000,
  );
  const fractionOf = (
    result: ReplayOutcome['result'],
    kind?: string,
  ): number => {
    const matching = outcomes.filter(
      outcome => kind === undefined || outcome.kind === kind,
    );
    const found = matching.filter(outcome => outcome.result === result);
    return found.length / Math.max(1, matching.length);
  };
  return {
    inTime: fractionOf('in-time'),
    revisionInTime: fractionOf('in-time', 'revision'),
    draftInTime: fractionOf('in-time', 'draft'),
    chatInTime: fractionOf('in-time', 'chat'),
    refused: fractionOf('refused'),
    timedOut: fractionOf('timed-out'),
  };
}
