import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {Demand, Offer, Supply} from '../contracts.js';
import {planHosts} from '../hostPlan.js';

const DOMAINS = ['a', 'b', 'c', 'd'];

function offersOf(
  reclaimable: readonly number[],
  onDemand: readonly number[],
): Offer[] {
  return DOMAINS.flatMap((failureDomain, index) => [
    {
      failureDomain,
      machineClass: 'gpu',
      market: 'reclaimable' as const,
      pricePerHour: reclaimable[index]!,
    },
    {
      failureDomain,
      machineClass: 'gpu',
      market: 'on-demand' as const,
      pricePerHour: onDemand[index]!,
    },
  ]);
}

const demand: Demand = {
  service: 'match',
  machineClass: 'gpu',
  replicas: 6,
  minReplicas: 2,
  maxReplicas: 40,
};
const prices = offersOf([1, 1.1, 1.2, 1.3], [3, 3, 3, 3]);

function countIn(plan: ReturnType<typeof planHosts>, domain: string): number {
  return plan.wanted
    .filter(hosts => hosts.failureDomain === domain)
    .reduce((sum, hosts) => sum + hosts.count, 0);
}

describe('host plan', () => {
  // A whole failure domain is reclaimed at once. If most replicas stood there,
  // answers would be late until replacements have loaded their weights.
  it('keeps enough replicas after the loss of any failure domain', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 100}), {minLength: 4, maxLength: 4}),
        fc.array(fc.integer({min: 50, max: 300}), {
          minLength: 4,
          maxLength: 4,
        }),
        fc.integer({min: 0, max: 30}),
        fc.integer({min: 0, max: 10}),
        (cheap, dear, replicas, minReplicas) => {
          const plan = planHosts(
            {...demand, replicas, minReplicas, maxReplicas: 100},
            offersOf(cheap, dear),
            [],
          );
          const needed = Math.max(replicas, minReplicas);
          const total = DOMAINS.reduce(
            (sum, domain) => sum + countIn(plan, domain),
            0,
          );
          for (const domain of DOMAINS) {
            assert.ok(total - countIn(plan, domain) >= needed);
          }
          assert.equal(plan.shortfall, undefined);
        },
      ),
      {seed: 7, numRuns: 300},
    );
  });

  it('uses more failure domains when the spare hosts saved are worth it', () => {
    const even = planHosts(demand, offersOf([1, 1, 1, 1], [9, 9, 9, 9]), []);
    const dear = planHosts(demand, offersOf([1, 1, 1, 8], [9, 9, 9, 9]), []);
    assert.equal(countIn(even, 'd'), 2);
    assert.equal(countIn(dear, 'd'), 0);
  });

  it('takes on-demand hosts where reclaims make cheap ones dear', () => {
    const stormy: Supply[] = DOMAINS.map(failureDomain => ({
      failureDomain,
      machineClass: 'gpu',
      reclaimRate: 6,
      isRefused: () => false,
    }));
    const plan = planHosts(demand, prices, stormy);
    assert.ok(plan.wanted.every(hosts => hosts.market === 'on-demand'));
  });

  // Two failure domains are reclaimed in one wave; what is left has to keep the
  // service alive, if slowly, until others are started.
  it('leaves the least number of replicas after a wave over two failure domains', () => {
    const plan = planHosts({...demand, minReplicas: 6}, prices, []);
    const reclaimable = DOMAINS.map(domain =>
      plan.wanted
        .filter(
          hosts =>
            hosts.failureDomain === domain && hosts.market === 'reclaimable',
        )
        .reduce((sum, hosts) => sum + hosts.count, 0),
    ).sort((a, b) => b - a);
    const total = plan.wanted.reduce((sum, hosts) => sum + hosts.count, 0);
    assert.ok(total - reclaimable[0]! - reclaimable[1]! >= 6);
  });

  it('avoids places that refuse starts, and says when the rest is too little', () => {
    const onlyA: Supply[] = DOMAINS.slice(1).map(failureDomain => ({
      failureDomain,
      machineClass: 'gpu',
      reclaimRate: 0,
      isRefused: () => true,
    }));
    const plan = planHosts(demand, prices, onlyA);
    assert.equal(countIn(plan, 'a'), 6);
    assert.match(plan.shortfall ?? '', /failure domain/);
  });

  it('says when no failure domain offers the class', () => {
    const plan = planHosts({...demand, machineClass: 'tpu'}, prices, []);
    assert.match(plan.shortfall ?? '', /offers the class/);
  });
});
