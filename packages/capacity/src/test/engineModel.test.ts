import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  seededRandom,
  createVirtualClock,
  type Random,
} from '@skylarkfield/base';
import {
  addCapacityStats,
  createEngineModel,
  estimateEngine,
  targetUtilization,
  type EngineModel,
  type LatencyTargets,
} from '../index.js';

/** True performance of a simulated engine, hidden from the model. */
interface Profile {
  readonly name: string;
  readonly tokenMs: number;
  readonly pairsMs: number;
  readonly stepMs: number;
  readonly contextStepMs: number;
  /** Mean wait that depends on no feature, in milliseconds. */
  readonly waitMs: number;
}

const PROFILES: readonly Profile[] = [
  {
    name: 'a fast engine',
    tokenMs: 1 / 140,
    pairsMs: 0.3,
    stepMs: 2.2,
    contextStepMs: 0.0175,
    waitMs: 15,
  },
  {
    name: 'a slow engine with costly attention',
    tokenMs: 1 / 38,
    pairsMs: 1.2,
    stepMs: 4.7,
    contextStepMs: 0.013,
    waitMs: 60,
  },
  {
    name: 'a very slow engine',
    tokenMs: 1 / 8,
    pairsMs: 2,
    stepMs: 20,
    contextStepMs: 0.05,
    waitMs: 300,
  },
];

const LATENCY_TARGETS: readonly LatencyTargets[] = [
  {goalMs: 1_000, timeoutMs: 10_000},
  {goalMs: 600, timeoutMs: 15_000},
];

/** Kinds of requests, sampled in turn. */
const REQUEST_KINDS = [
  {
    route: 'long',
    meanOwnTokens: 2_900,
    sharedTokens: 6_300,
    meanAnswerTokens: 50,
    baseWaitMs: 20,
  },
  {
    route: 'short',
    meanOwnTokens: 550,
    sharedTokens: 170,
    meanAnswerTokens: 280,
    baseWaitMs: 250,
  },
];

/**
 * Mean of `ownTokens ** 2` divided by the square of the mean of `ownTokens`, in
 * the samples of `addSamples`.
 */
const SQUARED_MEAN_RATIO = 1.163;

/**
 * Records samples of a simulated engine with exponentially distributed waits.
 */
function addSamples(
  model: EngineModel,
  profile: Profile,
  count: number,
  random: Random,
): void {
  const nextExponential = () => -Math.log(1 - random.next());
  for (let index = 0; index < count; index++) {
    const kind = REQUEST_KINDS[index % REQUEST_KINDS.length]!;
    const ownTokens = kind.meanOwnTokens * (0.3 + 1.4 * random.next());
    const promptTokens = kind.sharedTokens + ownTokens;
    const pendingTokens = random.next() * 4_000;
    const pairs = (ownTokens * promptTokens) / 1e6;
    model.recordPrompt({
      service: 'chat',
      route: kind.route,
      ownTokens,
      promptTokens,
      rereadTokens: 0,
      pendingTokens,
      tookMs:
        kind.baseWaitMs +
        profile.waitMs * nextExponential() +
        ownTokens * profile.tokenMs +
        pairs * profile.pairsMs +
        pendingTokens * profile.tokenMs * 0.5,
    });
    const contextTokens = random.next() * 200_000;
    model.recordAnswer({
      service: 'chat',
      route: kind.route,
      tokens: kind.meanAnswerTokens * nextExponential(),
      stepMs: profile.stepMs + (contextTokens * profile.contextStepMs) / 1e3,
      requests: 10,
      contextTokens,
      allowedMs: 9_000,
    });
  }
}

function meanPromptMs({tokenMs, pairsMs}: Profile): number {
  const timesMs = REQUEST_KINDS.map(
    ({meanOwnTokens: own, sharedTokens: shared}) =>
      own * tokenMs +
      (own * (shared + own * SQUARED_MEAN_RATIO) * pairsMs) / 1e6,
  );
  return timesMs.reduce((sum, timeMs) => sum + timeMs, 0) / timesMs.length;
}

function assertWithin(
  actual: number,
  expected: number,
  fraction: number,
): void {
  assert.ok(
    Math.abs(actual - expected) <= expected * fraction,
    `${actual} is not within ${fraction * 100} % of ${expected}`,
  );
}

describe('engine model', () => {
  for (const profile of PROFILES) {
    it(`estimates the speed of ${profile.name}`, () => {
      // Requests of one route wait longer than requests of the other, and all
      // have waits that depend on no feature. If the model attributed the waits
      // to the prompts, far too many endpoints would be requested.
      const model = createEngineModel(createVirtualClock());
      addSamples(model, profile, 600, seededRandom(1_000));
      const estimate = estimateEngine(model.stats()['chat'], LATENCY_TARGETS);
      assertWithin(estimate.usualPromptMs, meanPromptMs(profile), 0.2);
      assertWithin(estimate.contextStepMs, profile.contextStepMs, 0.2);
      assert.ok(estimate.isSure);
    });
  }

  it('is sure with the samples of nine entries when each entry has too few samples', () => {
    // Each of nine entries has 30 requests, too few for a sure estimate.
    const [, profile] = PROFILES;
    const random = seededRandom(5);
    const entryStats = Array.from({length: 9}, () => {
      const model = createEngineModel(createVirtualClock());
      addSamples(model, profile!, 30, random);
      return model.stats();
    });
    const singleEstimate = estimateEngine(
      entryStats[0]!['chat'],
      LATENCY_TARGETS,
    );
    const mergedEstimate = estimateEngine(
      addCapacityStats(entryStats)['chat'],
      LATENCY_TARGETS,
    );
    assert.equal(singleEstimate.isSure, false);
    assert.equal(mergedEstimate.isSure, true);
    assertWithin(mergedEstimate.usualPromptMs, meanPromptMs(profile!), 0.2);
  });

  it('follows engines that become slower', () => {
    // A new version processes prompts at about a quarter of the speed. Samples
    // of the old version must not hide the slowdown for longer than a minute.
    const clock = createVirtualClock();
    const model = createEngineModel(clock);
    addSamples(model, PROFILES[0]!, 300, seededRandom(1));
    clock.advanceSync(60_000);
    addSamples(model, PROFILES[1]!, 300, seededRandom(2));
    const estimate = estimateEngine(model.stats()['chat'], LATENCY_TARGETS);
    assertWithin(estimate.usualPromptMs, meanPromptMs(PROFILES[1]!), 0.3);
  });

  it('estimates the speed within 30 % although some requests hang', () => {
    // One request in fifty hangs for seconds at a failing endpoint.
    const [, profile] = PROFILES;
    const model = createEngineModel(createVirtualClock());
    const random = seededRandom(3);
    addSamples(model, profile!, 600, random);
    for (let index = 0; index < 12; index++) {
      const ownTokens = 900 + 4_000 * random.next();
      model.recordPrompt({
        service: 'chat',
        route: 'long',
        ownTokens,
        promptTokens: 6_300 + ownTokens,
        rereadTokens: 0,
        pendingTokens: 0,
        tookMs: 5_000,
      });
    }
    const estimate = estimateEngine(model.stats()['chat'], LATENCY_TARGETS);
    assertWithin(estimate.usualPromptMs, meanPromptMs(profile!), 0.3);
  });

  it('never estimates zero time for a prompt', () => {
    // Long answers occupy all slots, so every prompt waits for seconds, and
    // long prompts wait no longer than short ones. With an estimate of zero,
    // routing would always choose one endpoint, and all others would be
    // released.
    const model = createEngineModel(createVirtualClock());
    const random = seededRandom(6);
    for (let index = 0; index < 400; index++) {
      const ownTokens = 500 + 4_000 * random.next();
      model.recordPrompt({
        service: 'chat',
        route: 'long',
        ownTokens,
        promptTokens: ownTokens,
        rereadTokens: 0,
        pendingTokens: 0,
        tookMs: 6_000 - ownTokens / 2 + 2_000 * random.next(),
      });
    }
    const estimate = estimateEngine(model.stats()['chat'], LATENCY_TARGETS);
    assert.ok(estimate.usualTokenMs > 0);
    assert.equal(estimate.isSure, false);
  });

  it('decays the token rate of a removed route', () => {
    // An operator removes the route with the longest answers. If its token rate
    // did not decay, the service would keep endpoints that are not needed.
    const clock = createVirtualClock();
    const model = createEngineModel(clock);
    const answer = {service: 'chat', stepMs: 5, requests: 1, contextTokens: 9};
    for (let index = 0; index < 20; index++) {
      const removedRouteAnswer = {route: 'gone', tokens: 900, allowedMs: 9_000};
      model.recordAnswer({...answer, ...removedRouteAnswer});
    }
    clock.advanceSync(180_000);
    for (let index = 0; index < 20; index++) {
      const keptRouteAnswer = {route: 'kept', tokens: 90, allowedMs: 9_000};
      model.recordAnswer({...answer, ...keptRouteAnswer});
    }
    const {neededPace} = estimateEngine(model.stats()['chat'], LATENCY_TARGETS);
    assert.ok(neededPace < 20, `${neededPace}`);
  });

  it('estimates a prompt time within the latency targets without samples', () => {
    const estimate = estimateEngine(undefined, LATENCY_TARGETS);
    assert.equal(estimate.isSure, false);
    assert.ok(estimate.usualPromptMs > 0);
    assert.ok(estimate.usualPromptMs < 600);
  });
});

describe('target utilization', () => {
  function estimateUtilization(
    profile: Profile,
    latencyTargets: readonly LatencyTargets[],
  ): number {
    const model = createEngineModel(createVirtualClock());
    addSamples(model, profile, 300, seededRandom(4));
    return targetUtilization(
      estimateEngine(model.stats()['chat'], latencyTargets),
      latencyTargets,
    ).usual;
  }

  it('is lower for a latency target close to the time of a prompt', () => {
    const withWideTargets = estimateUtilization(PROFILES[1]!, LATENCY_TARGETS);
    const withTightTarget = estimateUtilization(PROFILES[1]!, [
      {goalMs: 250, timeoutMs: 10_000},
    ]);
    assert.ok(
      withTightTarget < withWideTargets,
      `${withTightTarget} is not below ${withWideTargets}`,
    );
  });

  it('is lower for an engine with slow decode steps', () => {
    // Processing a prompt stalls all running answers. With slow decode steps,
    // long answers exceed their callers' timeouts unless prompts take less
    // time.
    const [, slow, verySlow] = PROFILES;
    assert.ok(
      estimateUtilization(verySlow!, LATENCY_TARGETS) <
        estimateUtilization(slow!, LATENCY_TARGETS),
    );
  });
});
