/**
 * `moves`: seeded versions of every kind, judged by the moves package and by a
 * canary with fixed thresholds on the same traffic model.
 */
import {
  decisionLog,
  seededRandom,
  silentLogger,
  virtualClock,
} from '@skylarkfield/base';
import {createMoveController, type MoveState} from '@skylarkfield/moves';
import type {Move} from '@skylarkfield/records';
import type {MeasureOptions} from './measurements.js';
import {createCanary} from './replay/canary.js';
import {drawTick} from './replay/moveTraffic.js';
import {
  drawVersion,
  kinds,
  mixes,
  type Mix,
  type Version,
} from './replay/versions.js';
import {quantile} from './replay/world.js';

/** Versions for each mix; four mixes. */
const DEFAULT_VERSIONS = 130;

/** Versions judged in a second, about, for `--seconds`. */
const VERSIONS_PER_SECOND = 14;
const HOUR_MS = 3_600_000;

/** Ticks of a move; a tick is the time until the judge sees and acts. */
const TICK_MS: Readonly<Record<string, number>> = {
  namu: 10_000,
  sahakarana: 15_000,
  quiet: 40_000,
  'very-quiet': 80_000,
};

const WALL_START_MS = 1_800_000_000_000;

interface Verdict {
  readonly mix: string;
  readonly version: Version;
  readonly isIn: boolean;
  readonly badRequests: number;
  readonly why: string;
}

type JudgeType = 'ours' | 'canary';

const judges: Readonly<
  Record<JudgeType, (mix: Mix, version: Version, seed: number) => Verdict>
> = {ours: judgeOurs, canary: judgeCanary};

/**
 * Runs the measurement.
 *
 * @example
 * const report = await measureMoves({seed: 1000});
 */
export async function measureMoves(options: MeasureOptions) {
  const perMix =
    options.seconds === undefined
      ? DEFAULT_VERSIONS
      : Math.ceil((options.seconds * VERSIONS_PER_SECOND) / mixes.length);
  const verdicts: Record<JudgeType, Verdict[]> = {ours: [], canary: []};
  for (const mix of mixes) {
    const random = seededRandom(options.seed);
    for (let index = 0; index < perMix; index++) {
      const kind = pickKind(index);
      const version = drawVersion(kind, mix, random);
      const seed = options.seed * 100_003 + index;
      for (const type of ['ours', 'canary'] as const) {
        verdicts[type].push(judges[type](mix, version, seed));
      }
    }
    // A long run must not keep the process from hearing signals.
    await new Promise(resolve => setImmediate(resolve));
  }
  return {
    versions: verdicts.ours.length,
    summary: [
      ...summarize('ours', verdicts.ours),
      ...summarize('canary', verdicts.canary),
    ],
    kinds: [
      ...byKind('ours', verdicts.ours),
      ...byKind('canary', verdicts.canary),
    ],
    wrong: listWrong(verdicts.ours),
  };
}

/** Kinds in turn by their parts, so that every run has all of them. */
function pickKind(index: number) {
  const all = kinds.flatMap(({kind, part}) => Array(part).fill(kind));
  // A step that has no factor in common with 100 visits all of them.
  return all[(index * 37) % all.length];
}

function summarize(judge: JudgeType, verdicts: readonly Verdict[]) {
  const users = ['namu', 'sahakarana'];
  return [
    {name: 'both users', own: verdicts.filter(({mix}) => users.includes(mix))},
    ...mixes.map(({name}) => ({
      name,
      own: verdicts.filter(({mix}) => mix === name),
    })),
  ].map(({name, own}) => {
    const good = own.filter(({version}) => !version.isBad);
    const bad = own.filter(({version}) => version.isBad);
    const served = bad.map(({badRequests}) => badRequests);
    return {
      judge,
      mix: name,
      good: good.length,
      goodMovedIn: part(good, ({isIn}) => isIn),
      falseAlarms: good.filter(({why}) => why.includes('incumbent')).length,
      bad: bad.length,
      badTakenBack: part(bad, ({isIn}) => !isIn),
      badServedMedian: quantile(served, 0.5),
      badServedP95: quantile(served, 0.95),
    };
  });
}

function byKind(judge: JudgeType, verdicts: readonly Verdict[]) {
  return kinds.map(({kind}) => {
    const own = verdicts.filter(({version}) => version.kind === kind);
    return {
      judge,
      kind,
      versions: own.length,
      judgedRight: part(own, ({isIn, version}) => isIn !== version.isBad),
      servedMedian: quantile(
        own.map(({badRequests}) => badRequests),
        0.5,
      ),
    };
  });
}

function listWrong(verdicts: readonly Verdict[]) {
  return verdicts
    .filter(({isIn, version}) => isIn === version.isBad)
    .map(({mix, version, why, badRequests}) => ({
      mix,
      kind: version.kind,
      errorFactor: version.errorFactor,
      latencyFactor: version.latencyFactor,
      onset: version.onset,
      route: version.route ?? '',
      badRequests,
      why,
    }));
}

function part<T>(items: readonly T[], matches: (item: T) => boolean): number {
  return items.filter(matches).length / Math.max(1, items.length);
}

function judgeOurs(mix: Mix, version: Version, seed: number): Verdict {
  const clock = virtualClock(WALL_START_MS);
  const decisions = decisionLog(clock, silentLogger());
  const judge = createMoveController({clock, decisions});
  const random = seededRandom(seed);
  const spanMs = mix.hours * HOUR_MS;
  const tickMs = TICK_MS[mix.name] as number;
  const move: Move = {
    name: 'move',
    service: mix.name,
    from: 'v1',
    to: 'v2',
    deadline: WALL_START_MS + spanMs,
    maxUnprovenShare: 0.1,
  };
  let state: MoveState | undefined;
  let badRequests = 0;
  for (let passedMs = 0; passedMs <= spanMs; passedMs += tickMs) {
    state = judge.advance(move, state, WALL_START_MS + passedMs);
    if (state.phase === 'taken-back' || state.phase === 'finished') {
      break;
    }
    const progress = passedMs / spanMs;
    const tick = drawTick(mix, version, state, progress, tickMs / 1000, random);
    badRequests += tick.badRequests;
    judge.addEvidence(move.name, tick.sums);
  }
  const isIn = state?.phase === 'finished';
  return {mix: mix.name, version, isIn, badRequests, why: state?.why ?? ''};
}

function judgeCanary(mix: Mix, version: Version, seed: number): Verdict {
  const canary = createCanary();
  const random = seededRandom(seed);
  const spanMs = mix.hours * HOUR_MS;
  const tickMs = TICK_MS[mix.name] as number;
  let badRequests = 0;
  for (let passedMs = 0; passedMs <= spanMs; passedMs += tickMs) {
    const progress = passedMs / spanMs;
    const shares = canary.advance(progress);
    if (canary.isTakenBack()) {
      break;
    }
    const tick = drawTick(
      mix,
      version,
      shares,
      progress,
      tickMs / 1000,
      random,
    );
    badRequests += tick.badRequests;
    canary.add(tick.sums);
  }
  const isIn = !canary.isTakenBack();
  const why = isIn ? '' : 'worse than the incumbent';
  return {mix: mix.name, version, isIn, badRequests, why};
}
