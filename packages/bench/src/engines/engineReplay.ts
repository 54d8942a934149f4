/** Replays requests through entries to engines on a virtual clock. */
import {
  scheduleRepeatedly,
  seededRandom,
  createVirtualClock,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import {answerWork, promptWork, type ModelDemand} from '@skylarkfield/traffic';
import {
  requestKindsFor,
  computePromptMs,
  type EngineProfile,
  type RequestKind,
} from './profiles.js';
import {createReplayEngine, type EngineRequest} from './replayEngine.js';
import {createReplayEntry, SERVICE, type ReplayEntry} from './replayEntry.js';

/** Result of one request as its caller sees it. */
export interface ReplayOutcome {
  readonly kind: string;
  readonly arrivedMs: number;
  /** `in-time`: the first answer event met the goal of the request kind. */
  readonly result: 'in-time' | 'late' | 'refused' | 'timed-out';
  /** Milliseconds from the arrival until the result. */
  readonly durationMs: number;
}

export interface EngineReplayOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly profile: EngineProfile;
  readonly engineCount: number;
  /** Number of engines that a load of 1 saturates; default: `engineCount`. */
  readonly referenceEngineCount?: number;
  readonly entryCount: number;
  /** Offered load relative to the prompt capacity of the engines, by second. */
  loadAt(second: number): number;
  /** Whether entries refuse requests that would miss their deadline. */
  readonly shouldRefuseLate: boolean;
  /** Called with the first entry once per second of virtual time. */
  onDidElapseSecond?(second: number, entry: ReplayEntry): void;
}

const DIGEST_INTERVAL_MS = 300;
const SECOND_MS = 1_000;
/** Request sizes are uniform from 0.5 to 1.5 times the mean of their kind. */
const MIN_SIZE_FACTOR = 0.5;

/**
 * Replays one run; requests that are open at its end are not counted.
 *
 * @example
 * const outcomes = await replayEngines({
 *   seed: 1, seconds: 30, profile, engineCount: 6, entryCount: 6,
 *   loadAt: () => 2, shouldRefuseLate: true,
 * });
 */
export async function replayEngines(
  options: EngineReplayOptions,
): Promise<readonly ReplayOutcome[]> {
  const clock = createVirtualClock();
  const random = seededRandom(options.seed);
  const {profile} = options;
  const kinds = requestKindsFor(profile);
  const engines = new Map(
    Array.from({length: options.engineCount}, (_, index) => [
      `engine-${index}`,
      createReplayEngine(clock, profile),
    ]),
  );
  const entries = Array.from({length: options.entryCount}, (_, index) =>
    createReplayEntry({
      id: `entry-${index}`,
      engineIds: [...engines.keys()],
      profile,
      kinds,
      clock,
      random,
    }),
  );
  const outcomes: ReplayOutcome[] = [];

  function exchangeDigests(): void {
    for (const entry of entries) {
      const digest = entry.createDigest();
      entries
        .filter(other => other !== entry)
        .forEach(other => other.acceptDigest(entry.id, digest));
    }
  }

  function handleArrival(): void {
    const kind = pickKind(kinds, random);
    const entry = entries[Math.floor(random.next() * entries.length)]!;
    serveRequest(kind, entry);
  }

  function serveRequest(kind: RequestKind, entry: ReplayEntry): void {
    const arrivedMs = clock.now();
    const sizeFactor = MIN_SIZE_FACTOR + random.next();
    const demand = createDemand(kind, sizeFactor);
    const recordOutcome = (result: ReplayOutcome['result']) =>
      outcomes.push({
        kind: kind.name,
        arrivedMs,
        result,
        durationMs: clock.now() - arrivedMs,
      });
    const choice = entry.router.choose({
      service: SERVICE,
      version: 'v1',
      blocks: [],
      promptTokens: demand.ownTokens,
      ownTokens: demand.ownTokens,
      urgency: kind.urgency,
      excluded: new Set(),
    });
    if (choice === undefined) {
      recordOutcome('refused');
      return;
    }
    const call = createCall(kind, demand.model);
    entry.estimates.work.record(SERVICE, promptWork(demand.model));
    const expectedWait = entry.observer.expectedWait(
      call,
      choice,
      kind.deadlineMs,
    );
    if (options.shouldRefuseLate && expectedWait.isTooLong) {
      choice.finish({outcome: 'cancelled', latencyMs: 0});
      recordOutcome('refused');
      return;
    }
    const observation = entry.observer.observe(call, choice, true);
    const sink = observation.wrap({
      hasBegun: () => false,
      begin() {},
      write: () => true,
      whenDrained() {},
      lastEventId: () => undefined,
      finish() {},
    });
    const engine = engines.get(choice.endpoint)!;
    let firstEventMs: number | undefined;
    const request: EngineRequest = {
      ...demand,
      urgency: kind.urgency,
      onDidEvent() {
        if (firstEventMs === undefined) {
          firstEventMs = clock.now() - arrivedMs;
          observation.recordBegin();
          choice.recordFirstToken();
        }
        sink.write({bytes: Buffer.alloc(0), id: undefined});
      },
      onDidEnd() {
        timer.dispose();
        observation.recordEnd();
        entry.estimates.work.record(
          SERVICE,
          answerWork(demand.model, demand.answerTokens),
        );
        choice.finish({outcome: 'ok', latencyMs: firstEventMs ?? 0});
        recordOutcome(
          (firstEventMs ?? Infinity) <= kind.goalMs ? 'in-time' : 'late',
        );
      },
    };
    const timer = clock.after(kind.deadlineMs, () => {
      engine.cancel(request);
      choice.finish({outcome: 'failed', latencyMs: kind.deadlineMs});
      recordOutcome('timed-out');
    });
    engine.submit(request);
  }

  const digestTimer = scheduleRepeatedly(
    clock,
    DIGEST_INTERVAL_MS,
    exchangeDigests,
  );
  const saturatingRatePerMs = computeSaturatingRatePerMs(options, kinds);
  const arrivalsPerMs = () =>
    saturatingRatePerMs * options.loadAt(clock.now() / SECOND_MS);
  scheduleArrivals(clock, random, arrivalsPerMs, handleArrival);
  for (let second = 1; second <= options.seconds; second++) {
    clock.advanceSync(SECOND_MS);
    options.onDidElapseSecond?.(second, entries[0]!);
  }
  digestTimer.dispose();
  return outcomes;
}

function pickKind(kinds: readonly RequestKind[], random: Random): RequestKind {
  let remaining =
    random.next() * kinds.reduce((sum, {weight}) => sum + weight, 0);
  return kinds.find(({weight}) => (remaining -= weight) <= 0) ?? kinds[0]!;
}

/** Returns the requests per millisecond whose prompts saturate the engines. */
function computeSaturatingRatePerMs(
  {
    profile,
    engineCount,
    referenceEngineCount = engineCount,
  }: EngineReplayOptions,
  kinds: readonly RequestKind[],
): number {
  const totalWeight = kinds.reduce((sum, {weight}) => sum + weight, 0);
  const meanPromptMs = kinds.reduce(
    (sum, kind) =>
      sum + (kind.weight / totalWeight) * computePromptMs(kind, profile),
    0,
  );
  return referenceEngineCount / meanPromptMs;
}

function scheduleArrivals(
  clock: Clock,
  random: Random,
  arrivalsPerMs: () => number,
  onArrival: () => void,
): void {
  const gapMs = -Math.log(1 - random.next()) / arrivalsPerMs();
  clock.after(gapMs, () => {
    onArrival();
    scheduleArrivals(clock, random, arrivalsPerMs, onArrival);
  });
}

function createDemand(kind: RequestKind, sizeFactor: number) {
  const ownTokens = Math.round(kind.ownTokens * sizeFactor);
  const promptTokens = ownTokens + kind.sharedTokens;
  const model: ModelDemand = {
    model: 'm',
    promptTokens: ownTokens,
    mostOutputTokens: kind.answerTokens * 4,
    parts: [{id: 'own', tokens: ownTokens}],
  };
  const answerTokens = Math.max(1, Math.round(kind.answerTokens * sizeFactor));
  return {ownTokens, promptTokens, answerTokens, model};
}

function createCall(kind: RequestKind, demand: ModelDemand) {
  return {
    head: {demand},
    route: {
      name: kind.name,
      goalMs: kind.goalMs,
      timeoutMs: kind.deadlineMs,
    },
    service: SERVICE,
  };
}
