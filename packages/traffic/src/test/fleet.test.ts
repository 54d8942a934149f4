import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import type {FleetTerms, ModelDemand} from '../contracts.js';
import {fitsMemory, promptWork} from '../engineWork.js';
import {
  createFleetDemand,
  type DemandSigns,
  type FleetDemand,
} from '../fleetDemand.js';
import {endpointsNeeded, planFleet, type FleetPlan} from '../fleetPlan.js';

const USE = {usual: 0.34, brief: 0.5};

const terms: FleetTerms = {
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
    it(`withstands the loss of any failure domain's reclaimable endpoints when ${needed} are needed`, () => {
      // All reclaimable endpoints of a failure domain are taken back at once.
      // If those that are left did not carry the work, callers would wait as
      // long as a new endpoint takes to start.
      const plan = planFleet({
        terms,
        needed: {usual: needed, brief: needed},
        scarce: new Map(),
      });
      const all = count(plan, 'onDemand') + count(plan, 'reclaimable');
      for (const {reclaimable} of Object.values(plan)) {
        assert.ok(all - reclaimable >= needed, JSON.stringify(plan));
      }
    });
  }

  it('keeps to the bounds of every failure domain', () => {
    for (const needed of [1, 5, 40]) {
      const plan = planFleet({
        terms,
        needed: {usual: needed, brief: needed},
        scarce: new Map(),
      });
      for (const {onDemand, reclaimable} of Object.values(plan)) {
        assert.ok(onDemand + reclaimable >= terms.least);
        assert.ok(onDemand + reclaimable <= terms.most);
      }
    }
  });

  it('puts endpoints that stay where they are cheapest', () => {
    const plan = planFleet({
      terms,
      needed: {usual: 4, brief: 4},
      scarce: new Map(),
    });
    assert.equal(plan['b']?.onDemand, count(plan, 'onDemand'));
  });

  it('fills up with endpoints that stay while no reclaimable ones are to be had', () => {
    // Two failure domains were reclaimed and no more are sold for a while.
    const scarce = new Map([
      ['a', 1],
      ['b', 0],
      ['c', 0],
      ['d', 1],
    ]);
    const plan = planFleet({terms, needed: {usual: 5, brief: 5}, scarce});
    assert.equal(count(plan, 'reclaimable'), 2);
    assert.equal(count(plan, 'onDemand'), 3);
  });

  it('keeps what is bearable after a loss, and what is usual before', () => {
    // Endpoints that are lost are back after seconds. Keeping as many for them
    // as for an ordinary hour would pay for a third that is rarely of use.
    const needed = {usual: 8, brief: 5};
    const plan = planFleet({terms, needed, scarce: new Map()});
    const all = count(plan, 'onDemand') + count(plan, 'reclaimable');
    assert.ok(all >= needed.usual && all <= needed.usual + 1, `${all}`);
    for (const {reclaimable} of Object.values(plan)) {
      assert.ok(all - reclaimable >= needed.brief, JSON.stringify(plan));
    }
  });

  it('orders none of a market that is not sold', () => {
    const plan = planFleet({
      terms: {...terms, reclaimablePrice: undefined},
      needed: {usual: 3, brief: 3},
      scarce: new Map(),
    });
    assert.equal(count(plan, 'reclaimable'), 0);
    assert.ok(count(plan, 'onDemand') >= 3);
  });
});

/** Signs of a service whose callers are served well. */
function signs(
  workRate: number,
  present: number,
  other: Partial<DemandSigns> = {},
): DemandSigns {
  return {
    workRate,
    present,
    use: USE,
    latePart: 0,
    isSure: true,
    ...other,
  };
}

function usual(demand: FleetDemand, now: DemandSigns): number {
  return demand.note(now).usual;
}

describe('fleet demand', () => {
  it('keeps part of what it found until work was seen for a while', () => {
    // The system starts before its callers. Sending the endpoints away because
    // nobody asks yet would meet the first callers with none.
    const clock = virtualClock();
    const demand = createFleetDemand(clock);
    demand.note(signs(0, 3));
    assert.equal(usual(demand, signs(0, 10)), 6);
    clock.advanceSync(60_000);
    assert.equal(usual(demand, signs(0, 5)), 6);
    assert.equal(usual(demand, signs(400, 5)), 6);
    clock.advanceSync(20_000);
    assert.equal(usual(demand, signs(400, 5)), endpointsNeeded(400, USE.usual));
  });

  it('keeps what it found for as long as engines are not known', () => {
    // Little traffic teaches little. Endpoints sent away by a guess would be
    // missed by the first callers of the busy hour.
    const clock = virtualClock();
    const demand = createFleetDemand(clock);
    demand.note(signs(0, 10));
    demand.note(signs(400, 10, {isSure: false}));
    clock.advanceSync(60_000);
    assert.equal(usual(demand, signs(400, 10, {isSure: false})), 6);
    assert.equal(usual(demand, signs(400, 10)), 2);
  });

  it('rises at once and falls only after a while', () => {
    const clock = virtualClock();
    const demand = createFleetDemand(clock);
    demand.note(signs(100, 1));
    clock.advanceSync(20_000);
    const high = usual(demand, signs(3_000, 1));
    assert.equal(high, endpointsNeeded(3_000, USE.usual));
    clock.advanceSync(4_000);
    assert.equal(usual(demand, signs(400, 8)), high);
    clock.advanceSync(5_000);
    assert.equal(usual(demand, signs(400, 8)), endpointsNeeded(400, USE.usual));
  });

  it('does not order by a guess, nor remembers one', () => {
    // The first prompts are read with empty caches, and a model of a few
    // requests took them for three times the work that they were.
    const clock = virtualClock();
    const demand = createFleetDemand(clock);
    demand.note(signs(0, 10));
    const guess = signs(8_000, 10, {isSure: false});
    assert.equal(usual(demand, guess), 10);
    clock.advanceSync(1_000);
    assert.equal(usual(demand, signs(400, 10)), 6);
  });

  it('asks for more than there is while callers are late, whatever the work says', () => {
    // A new version reads prompts at half the speed that the old ones taught.
    // The work looks as small as before, and callers wait in vain.
    const clock = virtualClock();
    const demand = createFleetDemand(clock);
    demand.note(signs(1_200, 4));
    clock.advanceSync(20_000);
    assert.equal(usual(demand, signs(1_200, 4)), 4);
    assert.equal(usual(demand, signs(1_200, 4, {latePart: 0.5})), 5);
    clock.advanceSync(4_000);
    assert.equal(usual(demand, signs(1_200, 5)), 5);
  });

  it('does not order without bound when callers are late for another reason', () => {
    // Every endpoint fails for a while. More of them would fail as well.
    const clock = virtualClock();
    const demand = createFleetDemand(clock);
    demand.note(signs(1_200, 4));
    clock.advanceSync(20_000);
    const late = {latePart: 1};
    assert.equal(usual(demand, signs(1_200, 30, late)), 8);
  });
});

describe('work of a request', () => {
  const engine = {slots: 48, memoryTokens: 300_000, tokensPerEvent: 4};

  function demandOf(promptTokens: number, ownPart: number): ModelDemand {
    const parts = [{id: 'own', tokens: ownPart}];
    return {model: 'm', promptTokens, mostOutputTokens: 100, parts};
  }

  it('leaves out sizes that no engine can hold', () => {
    // A caller's header says that its prompt has as many tokens as there are
    // atoms. Counted, it would order every endpoint that is sold.
    assert.equal(fitsMemory(demandOf(1e200, 10), engine), false);
    assert.equal(fitsMemory(demandOf(12_000, 4_000), engine), true);
    assert.equal(fitsMemory(demandOf(12_000, 4_000), undefined), false);
  });

  it('takes no part for longer than its prompt', () => {
    const {ownTokens, pairs} = promptWork(demandOf(2_000, 1e200));
    assert.equal(ownTokens, 2_000);
    assert.equal(pairs, 4);
  });
});
