import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import type {FleetConfig, ModelDemand} from '../contracts.js';
import {fitsMemory, promptWork} from '../engineWork.js';
import {
  createDemandEstimator,
  type DemandSignals,
  type DemandEstimator,
} from '../demandEstimator.js';
import {endpointsNeeded, planFleet, type FleetPlan} from '../fleetPlan.js';

const UTILIZATION = {usual: 0.34, brief: 0.5};

const config: FleetConfig = {
  least: 1,
  most: 4,
  bootMs: 4_000,
  reclaimablePrice: 0.22,
  prices: {a: 1, b: 0.8, c: 1.25, d: 0.9},
};

function count(plan: FleetPlan, market: 'onDemand' | 'reclaimable'): number {
  return Object.values(plan).reduce((sum, fleet) => sum + fleet[market], 0);
}

describe('fleet plan', () => {
  for (const needed of [1, 2, 4, 6, 8]) {
    it(`survives the loss of any failure domain's reclaimable endpoints when ${needed} are needed`, () => {
      // All reclaimable endpoints of a failure domain are reclaimed at once. If
      // those that are left could not carry the work, requests would wait for
      // as long as a new endpoint takes to start.
      const plan = planFleet({
        config,
        needed: {usual: needed, brief: needed},
        scarce: new Map(),
      });
      const all = count(plan, 'onDemand') + count(plan, 'reclaimable');
      for (const {reclaimable} of Object.values(plan)) {
        assert.ok(all - reclaimable >= needed, JSON.stringify(plan));
      }
    });
  }

  it('respects the bounds of every failure domain', () => {
    for (const needed of [1, 5, 40]) {
      const plan = planFleet({
        config,
        needed: {usual: needed, brief: needed},
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
    assert.equal(plan['b']?.onDemand, count(plan, 'onDemand'));
  });

  it('fills up with on-demand endpoints while no reclaimable ones are available', () => {
    // Two failure domains were reclaimed, and no more are available for a
    // while.
    const scarce = new Map([
      ['a', 1],
      ['b', 0],
      ['c', 0],
      ['d', 1],
    ]);
    const plan = planFleet({config, needed: {usual: 5, brief: 5}, scarce});
    assert.equal(count(plan, 'reclaimable'), 2);
    assert.equal(count(plan, 'onDemand'), 3);
  });

  it('covers the usual need, and the brief need after a loss', () => {
    // Lost endpoints are replaced within seconds. Covering the usual need after
    // a loss would cost a third more for endpoints that are rarely used.
    const needed = {usual: 8, brief: 5};
    const plan = planFleet({config, needed, scarce: new Map()});
    const all = count(plan, 'onDemand') + count(plan, 'reclaimable');
    assert.ok(all >= needed.usual && all <= needed.usual + 1, `${all}`);
    for (const {reclaimable} of Object.values(plan)) {
      assert.ok(all - reclaimable >= needed.brief, JSON.stringify(plan));
    }
  });

  it('orders no reclaimable endpoints when none are offered', () => {
    const plan = planFleet({
      config: {...config, reclaimablePrice: undefined},
      needed: {usual: 3, brief: 3},
      scarce: new Map(),
    });
    assert.equal(count(plan, 'reclaimable'), 0);
    assert.ok(count(plan, 'onDemand') >= 3);
  });
});

/** Signals of a service whose requests are on time. */
function signalsOf(
  workRate: number,
  present: number,
  overrides: Partial<DemandSignals> = {},
): DemandSignals {
  return {
    workRate,
    present,
    use: UTILIZATION,
    latePart: 0,
    isSure: true,
    ...overrides,
  };
}

function usualNeed(demand: DemandEstimator, signals: DemandSignals): number {
  return demand.update(signals).usual;
}

describe('fleet demand', () => {
  it('keeps a fraction of the initial endpoints until work was seen for a while', () => {
    // The system starts before its callers. If idle endpoints were released at
    // once, none would be left for the first callers.
    const clock = virtualClock();
    const demand = createDemandEstimator(clock);
    demand.update(signalsOf(0, 3));
    assert.equal(usualNeed(demand, signalsOf(0, 10)), 6);
    clock.advanceSync(60_000);
    assert.equal(usualNeed(demand, signalsOf(0, 5)), 6);
    assert.equal(usualNeed(demand, signalsOf(400, 5)), 6);
    clock.advanceSync(20_000);
    assert.equal(
      usualNeed(demand, signalsOf(400, 5)),
      endpointsNeeded(400, UTILIZATION.usual),
    );
  });

  it('keeps a fraction of the initial endpoints while the estimate is uncertain', () => {
    // Little traffic gives few samples. Endpoints released by an uncertain
    // estimate would be missing when the busy hour starts.
    const clock = virtualClock();
    const demand = createDemandEstimator(clock);
    demand.update(signalsOf(0, 10));
    demand.update(signalsOf(400, 10, {isSure: false}));
    clock.advanceSync(60_000);
    assert.equal(usualNeed(demand, signalsOf(400, 10, {isSure: false})), 6);
    assert.equal(usualNeed(demand, signalsOf(400, 10)), 2);
  });

  it('rises at once and falls only after a while', () => {
    const clock = virtualClock();
    const demand = createDemandEstimator(clock);
    demand.update(signalsOf(100, 1));
    clock.advanceSync(20_000);
    const highNeed = usualNeed(demand, signalsOf(3_000, 1));
    assert.equal(highNeed, endpointsNeeded(3_000, UTILIZATION.usual));
    clock.advanceSync(4_000);
    assert.equal(usualNeed(demand, signalsOf(400, 8)), highNeed);
    clock.advanceSync(5_000);
    assert.equal(
      usualNeed(demand, signalsOf(400, 8)),
      endpointsNeeded(400, UTILIZATION.usual),
    );
  });

  it('neither orders by an uncertain estimate nor remembers it', () => {
    // The first prompts are processed with empty caches, and a model of a few
    // requests estimated three times the actual work.
    const clock = virtualClock();
    const demand = createDemandEstimator(clock);
    demand.update(signalsOf(0, 10));
    const uncertain = signalsOf(8_000, 10, {isSure: false});
    assert.equal(usualNeed(demand, uncertain), 10);
    clock.advanceSync(1_000);
    assert.equal(usualNeed(demand, signalsOf(400, 10)), 6);
  });

  it('needs more than are present while requests are late, whatever the work rate', () => {
    // A new version processes prompts at half the estimated speed. The work
    // looks as small as before while requests time out.
    const clock = virtualClock();
    const demand = createDemandEstimator(clock);
    demand.update(signalsOf(1_200, 4));
    clock.advanceSync(20_000);
    assert.equal(usualNeed(demand, signalsOf(1_200, 4)), 4);
    assert.equal(usualNeed(demand, signalsOf(1_200, 4, {latePart: 0.5})), 5);
    clock.advanceSync(4_000);
    assert.equal(usualNeed(demand, signalsOf(1_200, 5)), 5);
  });

  it('is bounded when requests are late for another reason', () => {
    // Every endpoint fails for a while. More endpoints would fail as well.
    const clock = virtualClock();
    const demand = createDemandEstimator(clock);
    demand.update(signalsOf(1_200, 4));
    clock.advanceSync(20_000);
    const late = {latePart: 1};
    assert.equal(usualNeed(demand, signalsOf(1_200, 30, late)), 8);
  });
});

describe('work of a request', () => {
  const engine = {slots: 48, memoryTokens: 300_000, tokensPerEvent: 4};

  function demandOf(promptTokens: number, ownPart: number): ModelDemand {
    const parts = [{id: 'own', tokens: ownPart}];
    return {model: 'm', promptTokens, mostOutputTokens: 100, parts};
  }

  it('rejects sizes that no engine can hold', () => {
    // A caller declares an absurd number of prompt tokens. If it were counted,
    // every available endpoint would be ordered.
    assert.equal(fitsMemory(demandOf(1e200, 10), engine), false);
    assert.equal(fitsMemory(demandOf(12_000, 4_000), engine), true);
    assert.equal(fitsMemory(demandOf(12_000, 4_000), undefined), false);
  });

  it('counts no part as longer than its prompt', () => {
    const {ownTokens, pairs} = promptWork(demandOf(2_000, 1e200));
    assert.equal(ownTokens, 2_000);
    assert.equal(pairs, 4);
  });
});
