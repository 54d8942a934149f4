/**
 * `moves`: simulated good and bad versions, rolled out by the moves package and
 * by a canary with fixed thresholds on the same traffic model.
 */
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import {createMoveController, type MoveState} from '@skylarkfield/moves';
import type {Move} from '@skylarkfield/records';
import type {MeasureOptions} from './measurements.js';
import {createCanary} from './replay/canary.js';
import {drawTick} from './replay/moveTraffic.js';
import {
  drawVersion,
  versionKinds,
  trafficMixes,
  type TrafficMix,
  type Version,
} from './replay/versions.js';
import {quantile} from './replay/admissionReplay.js';

/** Number of versions drawn for each of the four traffic mixes. */
const DEFAULT_VERSIONS_PER_MIX = 130;

/** Approximate versions judged per second; converts `--seconds` to versions. */
const VERSIONS_PER_SECOND = 14;
const HOUR_MS = 3_600_000;

/** Interval at which a move is evaluated, by name of the traffic mix. */
const TICK_MS: Readonly<Record<string, number>> = {
  namu: 10_000,
  sahakarana: 15_000,
  quiet: 40_000,
  'very-quiet': 80_000,
};

const WALL_START_MS = 1_800_000_000_000;

/** Result of the rollout of one version. */
interface Verdict {
  readonly mix: string;
  readonly version: Version;
  /** Whether the move ended with all traffic on the new version. */
  readonly isFinished: boolean;
  /** Requests to the new version on routes on which its fault is active. */
  readonly badRequests: number;
  /** Reason for the last phase of the move or for the canary's rollback. */
  readonly reason: string;
}

/** `ours`: the move controller; `canary`: the canary with fixed thresholds. */
type JudgeName = 'ours' | 'canary';

const judges: Readonly<
  Record<
    JudgeName,
    (mix: TrafficMix, version: Version, seed: number) => Verdict
  >
> = {ours: judgeWithMoveController, canary: judgeWithCanary};

/**
 * Measures the move controller and the canary on the same versions.
 *
 * @example
 * const report = await measureMoves({seed: 1000});
 */
export async function measureMoves(options: MeasureOptions) {
  const versionsPerMix =
    options.seconds === undefined
      ? DEFAULT_VERSIONS_PER_MIX
      : Math.ceil(
          (options.seconds * VERSIONS_PER_SECOND) / trafficMixes.length,
        );
  const verdicts: Record<JudgeName, Verdict[]> = {ours: [], canary: []};
  for (const mix of trafficMixes) {
    const random = seededRandom(options.seed);
    for (let index = 0; index < versionsPerMix; index++) {
      const kind = pickKind(index);
      const version = drawVersion(kind, mix, random);
      const seed = options.seed * 100_003 + index;
      for (const judge of ['ours', 'canary'] as const) {
        verdicts[judge].push(judges[judge](mix, version, seed));
      }
    }
    // Lets the process handle signals during a long run.
    await new Promise(resolve => setImmediate(resolve));
  }
  return {
    versions: verdicts.ours.length,
    summary: [
      ...summarize('ours', verdicts.ours),
      ...summarize('canary', verdicts.canary),
    ],
    kinds: [
      ...summarizeByKind('ours', verdicts.ours),
      ...summarizeByKind('canary', verdicts.canary),
    ],
    wrong: listMisjudged(verdicts.ours),
  };
}

/** Cycles through the kinds by weight, so that a run includes every kind. */
function pickKind(index: number) {
  const weightedKinds = versionKinds.flatMap(({kind, weight}) =>
    Array(weight).fill(kind),
  );
  // The weights sum to 100; a step coprime to 100 visits every item.
  return weightedKinds[(index * 37) % weightedKinds.length];
}

function summarize(judge: JudgeName, verdicts: readonly Verdict[]) {
  const userMixes = ['namu', 'sahakarana'];
  return [
    {
      name: 'both users',
      mixVerdicts: verdicts.filter(({mix}) => userMixes.includes(mix)),
    },
    ...trafficMixes.map(({name}) => ({
      name,
      mixVerdicts: verdicts.filter(({mix}) => mix === name),
    })),
  ].map(({name, mixVerdicts}) => {
    const goodVerdicts = mixVerdicts.filter(({version}) => !version.isBad);
    const badVerdicts = mixVerdicts.filter(({version}) => version.isBad);
    const badRequestCounts = badVerdicts.map(({badRequests}) => badRequests);
    return {
      judge,
      mix: name,
      good: goodVerdicts.length,
      goodMovedIn: fractionOf(goodVerdicts, ({isFinished}) => isFinished),
      falseAlarms: goodVerdicts.filter(({reason}) =>
        reason.includes('incumbent'),
      ).length,
      bad: badVerdicts.length,
      badTakenBack: fractionOf(badVerdicts, ({isFinished}) => !isFinished),
      badServedMedian: quantile(badRequestCounts, 0.5),
      badServedP95: quantile(badRequestCounts, 0.95),
    };
  });
}

function summarizeByKind(judge: JudgeName, verdicts: readonly Verdict[]) {
  return versionKinds.map(({kind}) => {
    const kindVerdicts = verdicts.filter(({version}) => version.kind === kind);
    return {
      judge,
      kind,
      versions: kindVerdicts.length,
      judgedRight: fractionOf(
        kindVerdicts,
        ({isFinished, version}) => isFinished !== version.isBad,
      ),
      servedMedian: quantile(
        kindVerdicts.map(({badRequests}) => badRequests),
        0.5,
      ),
    };
  });
}

function listMisjudged(verdicts: readonly Verdict[]) {
  return verdicts
    .filter(({isFinished, version}) => isFinished === version.isBad)
    .map(({mix, version, reason, badRequests}) => ({
      mix,
      kind: version.kind,
      errorFactor: version.errorFactor,
      latencyFactor: version.latencyFactor,
      onset: version.onset,
      route: version.route ?? '',
      badRequests,
      why: reason,
    }));
}

function fractionOf<T>(
  items: readonly T[],
  matches: (item: T) => boolean,
): number {
  return items.filter(matches).length / Math.max(1, items.length);
}

function judgeWithMoveController(
  mix: TrafficMix,
  version: Version,
  seed: number,
): Verdict {
  const clock = createVirtualClock(WALL_START_MS);
  const decisions = createDecisionLog(clock, createSilentLogger());
  const controller = createMoveController({clock, decisions});
  const random = seededRandom(seed);
  const durationMs = mix.moveHours * HOUR_MS;
  const tickMs = TICK_MS[mix.name] as number;
  const move: Move = {
    name: 'move',
    service: mix.name,
    from: 'v1',
    to: 'v2',
    deadline: WALL_START_MS + durationMs,
    maxUnprovenShare: 0.1,
  };
  let state: MoveState | undefined;
  let badRequests = 0;
  for (let elapsedMs = 0; elapsedMs <= durationMs; elapsedMs += tickMs) {
    state = controller.advance(move, state, WALL_START_MS + elapsedMs);
    if (state.phase === 'taken-back' || state.phase === 'finished') {
      break;
    }
    const progress = elapsedMs / durationMs;
    const tick = drawTick(mix, version, state, progress, tickMs / 1000, random);
    badRequests += tick.badRequests;
    controller.addEvidence(move.name, tick.sums);
  }
  const isFinished = state?.phase === 'finished';
  return {
    mix: mix.name,
    version,
    isFinished,
    badRequests,
    reason: state?.why ?? '',
  };
}

function judgeWithCanary(
  mix: TrafficMix,
  version: Version,
  seed: number,
): Verdict {
  const canary = createCanary();
  const random = seededRandom(seed);
  const durationMs = mix.moveHours * HOUR_MS;
  const tickMs = TICK_MS[mix.name] as number;
  let badRequests = 0;
  for (let elapsedMs = 0; elapsedMs <= durationMs; elapsedMs += tickMs) {
    const progress = elapsedMs / durationMs;
    const shares = canary.advance(progress);
    if (canary.isRolledBack()) {
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
    canary.addEvidence(tick.sums);
  }
  const isFinished = !canary.isRolledBack();
  const reason = isFinished ? '' : 'worse than the incumbent';
  return {mix: mix.name, version, isFinished, badRequests, reason};
}
