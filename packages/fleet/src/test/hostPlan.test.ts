import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {Demand, Offer, CapacityPool} from '../contracts.js';
import {planHosts} from '../hostPlan.js';

const DOMAINS = ['a', 'b', 'c', 'd'];

function createOffers(
  reclaimablePrices: readonly number[],
  onDemandPrices: readonly number[],
): Offer[] {
  return DOMAINS.flatMap((failureDomain, index) => [
    {
      failureDomain,
      machineClass: 'gpu',
      market: 'reclaimable' as const,
      pricePerHour: reclaimablePrices[index]!,
    },
    {
      failureDomain,
      machineClass: 'gpu',
      market: 'on-demand' as const,
      pricePerHour: onDemandPrices[index]!,
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
const offers = createOffers([1, 1.1, 1.2, 1.3], [3, 3, 3, 3]);

function countHosts(
  plan: ReturnType<typeof planHosts>,
  domain: string,
): number {
  return plan.wanted
    .filter(hosts => hosts.failureDomain === domain)
    .reduce((sum, hosts) => sum + hosts.count, 0);
}

describe('host plan', () => {
  // All hosts of a failure domain are lost at once. If the domain had most of
  // the replicas, answers would be late until replacements have loaded their
  // weights.
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
        (reclaimablePrices, onDemandPrices, replicas, minReplicas) => {
          const plan = planHosts(
            {...demand, replicas, minReplicas, maxReplicas: 100},
            createOffers(reclaimablePrices, onDemandPrices),
            [],
          );
          const neededReplicas = Math.max(replicas, minReplicas);
          const totalHosts = DOMAINS.reduce(
            (sum, domain) => sum + countHosts(plan, domain),
            0,
          );
          for (const domain of DOMAINS) {
            assert.ok(totalHosts - countHosts(plan, domain) >= neededReplicas);
          }
          assert.equal(plan.shortfall, undefined);
        },
      ),
      {seed: 7, numRuns: 300},
    );
  });

  it('uses an expensive failure domain only if that saves enough spare hosts', () => {
    const planAtEqualPrices = planHosts(
      demand,
      createOffers([1, 1, 1, 1], [9, 9, 9, 9]),
      [],
    );
    const planWithExpensiveDomain = planHosts(
      demand,
      createOffers([1, 1, 1, 8], [9, 9, 9, 9]),
      [],
    );
    assert.equal(countHosts(planAtEqualPrices, 'd'), 2);
    assert.equal(countHosts(planWithExpensiveDomain, 'd'), 0);
  });

  it('uses on-demand hosts where reclaims make reclaimable hosts more expensive', () => {
    const frequentlyReclaimedPools: CapacityPool[] = DOMAINS.map(
      failureDomain => ({
        failureDomain,
        machineClass: 'gpu',
        reclaimRate: 6,
        isRefused: () => false,
      }),
    );
    const plan = planHosts(demand, offers, frequentlyReclaimedPools);
    assert.ok(plan.wanted.every(hosts => hosts.market === 'on-demand'));
  });

  // A correlated reclaim takes the reclaimable hosts of two failure domains;
  // the remaining hosts have to keep the service available until replacements
  // start.
  it('leaves the minimum of replicas after a reclaim in two failure domains', () => {
    const plan = planHosts({...demand, minReplicas: 6}, offers, []);
    const reclaimableCounts = DOMAINS.map(domain =>
      plan.wanted
        .filter(
          hosts =>
            hosts.failureDomain === domain && hosts.market === 'reclaimable',
        )
        .reduce((sum, hosts) => sum + hosts.count, 0),
    ).sort((a, b) => b - a);
    const totalHosts = plan.wanted.reduce((sum, hosts) => sum + hosts.count, 0);
    assert.ok(totalHosts - reclaimableCounts[0]! - reclaimableCounts[1]! >= 6);
  });

  it('avoids pools that reject starts and reports the missing fault tolerance', () => {
    const rejectingPools: CapacityPool[] = DOMAINS.slice(1).map(
      failureDomain => ({
        failureDomain,
        machineClass: 'gpu',
        reclaimRate: 0,
        isRefused: () => true,
      }),
    );
    const plan = planHosts(demand, offers, rejectingPools);
    assert.equal(countHosts(plan, 'a'), 6);
    assert.match(plan.shortfall ?? '', /failure domain/);
  });

  it('reports when no failure domain offers the machine class', () => {
    const plan = planHosts({...demand, machineClass: 'tpu'}, offers, []);
    assert.match(plan.shortfall ?? '', /offers the class/);
  });
});
