/**
 * `shedding`: the load on engines rises to twice their prompt capacity.
 * Compares, for several engine profiles, the request results when entries
 * refuse at once the requests that would miss their deadline, and when entries
 * send every request.
 */
import {ENGINE_PROFILES} from './engines/profiles.js';
import {replayEngines, type ReplayOutcome} from './engines/engineReplay.js';
import type {MeasureOptions} from './measurements.js';

const DEFAULT_SECONDS = 24;
/** Load while entries estimate the engine speed, before the overload. */
const BASELINE_LOAD = 0.4;
/** Load from `OVERLOAD_START_SECOND`, relative to the prompt capacity. */
const OVERLOAD = 2;
const OVERLOAD_START_SECOND = 12;
const ENGINE_COUNT = 4;
const ENTRY_COUNT = 4;
/**
 * Minimum milliseconds per prompt token of the measured profiles. Faster
 * engines have so many open requests that a run takes minutes.
 */
const MIN_PROMPT_TOKEN_MS = 1 / 40;

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
    ({promptTokenMs}) => promptTokenMs >= MIN_PROMPT_TOKEN_MS,
  );
  for (const profile of profiles) {
    for (const shouldRefuseLate of [false, true]) {
      const outcomes = await replayEngines({
        seed: options.seed,
        seconds,
        profile,
        engineCount: ENGINE_COUNT,
        entryCount: ENTRY_COUNT,
        loadAt: second =>
          second < OVERLOAD_START_SECOND ? BASELINE_LOAD : OVERLOAD,
        shouldRefuseLate,
      });
      rows.push({
        profile: profile.name,
        refusesLate: shouldRefuseLate,
        ...summarize(outcomes),
      });
    }
  }
  return {engines: ENGINE_COUNT, entries: ENTRY_COUNT, load: OVERLOAD, rows};
}

function summarize(allOutcomes: readonly ReplayOutcome[]) {
  const outcomes = allOutcomes.filter(
    ({arrivedMs}) => arrivedMs >= OVERLOAD_START_SECOND * 1_000,
  );
  const fractionOf = (
    result: ReplayOutcome['result'],
    kind?: string,
  ): number => {
    const outcomesOfKind = outcomes.filter(
      outcome => kind === undefined || outcome.kind === kind,
    );
    const outcomesWithResult = outcomesOfKind.filter(
      outcome => outcome.result === result,
    );
    return outcomesWithResult.length / Math.max(1, outcomesOfKind.length);
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
