import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import type {FleetConfig, ModelDemand} from '../contracts.js';
import {fitsKvCache, promptWork} from '../engineWork.js';
import {
  createDemandEstimator,
  type DemandSignals,
  type DemandEstimator,
} from '../demandEstimator.js';
import {createRemovalHold} from '../removalHold.js';
import {countEndpointsNeeded, planFleet, type FleetPlan} from '../fleetPlan.js';

const UTILIZATION = {usual: 0.34, brief: 0.5};

const config: FleetConfig = {
  least: 1,
  most: 4,
  bootMs: 4_000,
  reclaimablePrice: 0.22,
  prices: {a: 1, b: 0.8, c: 1.25, d: 0.9},
};

function countEndpoints(
  plan: FleetPlan,
  market: 'onDemand' | 'reclaimable',
): number {
  return Object.values(plan).reduce((sum, fleet) => sum + fleet[market], 0);
}

describe('fleet plan', () => {
  for (const neededCount of [1, 2, 4, 6, 8]) {
    it(`survives the loss of any failure domain's reclaimable endpoints when ${neededCount} are needed`, () => {
      // All reclaimable endpoints of a failure domain are reclaimed at once. If
      // too few endpoints remained, requests would wait until a new endpoint
      // has started.
      const plan = planFleet({
        config,
        needed: {usual: neededCount, brief: neededCount},
        scarce: new Map(),
      });
      const totalCount =
        countEndpoints(plan, 'onDemand') + countEndpoints(plan, 'reclaimable');
      for (const {reclaimable} of Object.values(plan)) {
        assert.ok(
          totalCount - reclaimable >= neededCount,
          JSON.stringify(plan),
        );
      }
    });
  }

  it('stays within the configured bounds of every failure domain', () => {
    for (const neededCount of [1, 5, 40]) {
      const plan = planFleet({
        config,
        needed: {usual: neededCount, brief: neededCount},
        scarce: new Map(),
      });
      for (const {onDemand, reclaimable} of Object.values(plan)) {
        assert.ok(onDemand + reclaimable >= config.least);
        assert.ok(onDemand + reclaimable <= config.most);
      }
    }
  });

  it('places on-demand endpoints in the cheapest failure domain', () => {
    const plan = planFleet({
      config,
      needed: {usual: 4, brief: 4},
      scarce: new Map(),
    });
    assert.equal(plan['b']?.onDemand, countEndpoints(plan, 'onDemand'));
  });

  it('adds on-demand endpoints if no more reclaimable ones are available', () => {
    // The endpoints of two failure domains were reclaimed, and no domain offers
    // more reclaimable endpoints.
    const scarce = new Map([
      ['a', 1],
      ['b', 0],
      ['c', 0],
      ['d', 1],
    ]);
    const plan = planFleet({config, needed: {usual: 5, brief: 5}, scarce});
    assert.equal(countEndpoints(plan, 'reclaimable'), 2);
    // A third failure domain may be reclaimed before the others recover.
    assert.equal(countEndpoints(plan, 'onDemand'), 4);
  });

  it('covers the usual need, and the brief need after a loss', () => {
    // Lost endpoints are replaced within seconds. Covering the usual need after
    // a loss would cost a third more, for endpoints that are rarely needed.
    const needed = {usual: 8, brief: 5};
    const plan = planFleet({config, needed, scarce: new Map()});
    const totalCount =
      countEndpoints(plan, 'onDemand') + countEndpoints(plan, 'reclaimable');
    assert.ok(
      totalCount >= needed.usual && totalCount <= needed.usual + 1,
      `${totalCount}`,
    );
    for (const {reclaimable} of Object.values(plan)) {
      assert.ok(totalCount - reclaimable >= needed.brief, JSON.stringify(plan));
    }
  });

  it('plans no reclaimable endpoints if the service has no price for them', () => {
    const plan = planFleet({
      config: {...config, reclaimablePrice: undefined},
      needed: {usual: 3, brief: 3},
      scarce: new Map(),
    });
    assert.equal(countEndpoints(plan, 'reclaimable'), 0);
    assert.ok(countEndpoints(plan, 'onDemand') >= 3);
  });
});

describe('removal hold', () => {
  // Endpoints that a falling need releases between two reclaims of a group are
  // missed when the second failure domain is reclaimed.
  it('lasts fifteen seconds from the last reclaim of the service', () => {
    const clock = createVirtualClock();
    const hold = createRemovalHold(clock);
    assert.ok(!hold.isHeld('chat'));
    hold.recordReclaim('chat');
    clock.advanceSync(10_000);
    hold.recordReclaim('chat');
    clock.advanceSync(14_900);
    assert.ok(hold.isHeld('chat'));
    assert.ok(!hold.isHeld('booking'));
    clock.advanceSync(100);
    assert.ok(!hold.isHeld('chat'));
  });
});

/** Creates the signals of a service whose requests are on time. */
function createSignals(
  workRate: number,
  readyCount: number,
  overrides: Partial<DemandSignals> = {},
): DemandSignals {
  return {
    workRate,
    readyEndpoints: readyCount,
    use: UTILIZATION,
    latePart: 0,
    isSure: true,
    ...overrides,
  };
}

function updateUsualNeed(
  estimator: DemandEstimator,
  signals: DemandSignals,
): number {
  return estimator.update(signals).usual;
}

describe('fleet demand', () => {
  it('keeps a fraction of the initial endpoints until some seconds after the first work', () => {
    // The endpoints start before the callers. If idle endpoints were released
    // at once, too few would be left for the first callers.
    const clock = createVirtualClock();
    const estimator = createDemandEstimator(clock);
    estimator.update(createSignals(0, 3));
    assert.equal(updateUsualNeed(estimator, createSignals(0, 10)), 6);
    clock.advanceSync(60_000);
    assert.equal(updateUsualNeed(estimator, createSignals(0, 5)), 6);
    assert.equal(updateUsualNeed(estimator, createSignals(400, 5)), 6);
    clock.advanceSync(20_000);
    assert.equal(
      updateUsualNeed(estimator, createSignals(400, 5)),
      countEndpointsNeeded(400, UTILIZATION.usual),
    );
  });

  it('keeps a fraction of the initial endpoints while the estimate is uncertain', () => {
    // Low traffic gives few samples. Endpoints released because of an uncertain
    // estimate would be missing when the busy hour starts.
    const clock = createVirtualClock();
    const estimator = createDemandEstimator(clock);
    estimator.update(createSignals(0, 10));
    estimator.update(createSignals(400, 10, {isSure: false}));
    clock.advanceSync(60_000);
    assert.equal(
      updateUsualNeed(estimator, createSignals(400, 10, {isSure: false})),
      6,
    );
    assert.equal(updateUsualNeed(estimator, createSignals(400, 10)), 2);
  });

  it('rises at once and falls only after eight seconds of less work', () => {
    const clock = createVirtualClock();
    const estimator = createDemandEstimator(clock);
    estimator.update(createSignals(100, 1));
    clock.advanceSync(20_000);
    const highNeed = updateUsualNeed(estimator, createSignals(3_000, 1));
    assert.equal(highNeed, countEndpointsNeeded(3_000, UTILIZATION.usual));
    clock.advanceSync(4_000);
    assert.equal(updateUsualNeed(estimator, createSignals(400, 8)), highNeed);
    clock.advanceSync(5_000);
    assert.equal(
      updateUsualNeed(estimator, createSignals(400, 8)),
      countEndpointsNeeded(400, UTILIZATION.usual),
    );
  });

  it('does not exceed the initial endpoints while the estimate is uncertain', () => {
    // The first prompts are processed with empty caches, and from a few
    // requests three times the actual work was estimated. This need must not
    // outlast the uncertain estimate.
    const clock = createVirtualClock();
    const estimator = createDemandEstimator(clock);
    estimator.update(createSignals(0, 10));
    const uncertainSignals = createSignals(8_000, 10, {isSure: false});
    assert.equal(updateUsualNeed(estimator, uncertainSignals), 10);
    clock.advanceSync(1_000);
    assert.equal(updateUsualNeed(estimator, createSignals(400, 10)), 6);
  });

  it('exceeds the present endpoints while requests are late, whatever the work rate', () => {
    // A new version processes prompts at half the estimated speed. The
    // estimated work does not rise although requests time out.
    const clock = createVirtualClock();
    const estimator = createDemandEstimator(clock);
    estimator.update(createSignals(1_200, 4));
    clock.advanceSync(20_000);
    assert.equal(updateUsualNeed(estimator, createSignals(1_200, 4)), 4);
    assert.equal(
      updateUsualNeed(estimator, createSignals(1_200, 4, {latePart: 0.5})),
      5,
    );
    clock.advanceSync(4_000);
    assert.equal(updateUsualNeed(estimator, createSignals(1_200, 5)), 5);
  });

  it('is at most twice the need due to work when all requests are late', () => {
    // All endpoints fail for some time; more endpoints would fail as well.
    const clock = createVirtualClock();
    const estimator = createDemandEstimator(clock);
    estimator.update(createSignals(1_200, 4));
    clock.advanceSync(20_000);
    const lateOverrides = {latePart: 1};
    assert.equal(
      updateUsualNeed(estimator, createSignals(1_200, 30, lateOverrides)),
      8,
    );
  });
});

describe('work of a request', () => {
  const engine = {slots: 48, memoryTokens: 300_000, tokensPerEvent: 4};

  function createDemand(
    promptTokens: number,
    lastPartTokens: number,
  ): ModelDemand {
    const parts = [{id: 'own', tokens: lastPartTokens}];
    return {model: 'm', promptTokens, mostOutputTokens: 100, parts};
  }

  it('is not counted for a prompt larger than the KV cache', () => {
    // A caller declares an absurd number of prompt tokens. If these were
    // counted, all available endpoints would be requested.
    assert.equal(fitsKvCache(createDemand(1e200, 10), engine), false);
    assert.equal(fitsKvCache(createDemand(12_000, 4_000), engine), true);
    assert.equal(fitsKvCache(createDemand(12_000, 4_000), undefined), false);
  });

  it('counts at most the prompt tokens if a part is declared longer', () => {
    const {ownTokens, pairs} = promptWork(createDemand(2_000, 1e200));
    assert.equal(ownTokens, 2_000);
    assert.equal(pairs, 4);
  });
});
