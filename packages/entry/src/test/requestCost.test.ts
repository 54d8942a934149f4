import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAdmissionController} from '@skylarkfield/admission';
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  sleep,
  createVirtualClock,
} from '@skylarkfield/base';
import {
  createRequestCostEstimator,
  type ExpectedWork,
} from '../callers/requestCost.js';

const workByCustomer = {
  rosters: {promptTokens: 4_000, cachedTokens: 0, maxTokens: 64},
  tags: {promptTokens: 40, cachedTokens: 0, maxTokens: 64},
};

/**
 * Returns the fraction of admitted tokens that the customer with long prompts
 * gets while both customers have a backlog.
 */
async function measureLongPromptShare(
  estimateCost: (work: ExpectedWork) => number,
): Promise<number> {
  const clock = createVirtualClock();
  const admission = createAdmissionController({
    clock,
    random: seededRandom(1),
    decisions: createDecisionLog(clock, createSilentLogger()),
  });
  admission.setService('assistant', {
    name: 'assistant',
    type: 'model',
    version: 'v1',
    routes: [],
    targetMs: 1_500,
    timeoutMs: 60_000,
    concurrency: 1,
    queue: 1_000,
    fleet: {minReplicas: 1, maxReplicas: 1, machineClass: 's', weights: ''},
  });
  const admittedTokens = {rosters: 0, tags: 0};

  async function submit(customer: 'rosters' | 'tags'): Promise<void> {
    const work = workByCustomer[customer];
    const {signal} = new AbortController();
    const permit = await admission.admit(
      {
        service: 'assistant',
        customer,
        urgency: 3,
        deadline: Infinity,
        cost: estimateCost(work),
      },
      signal,
    );
    admittedTokens[customer] += work.promptTokens + work.maxTokens;
    await sleep(clock, 10, signal);
    permit.release({outcome: 'ok', latencyMs: 10});
  }

  for (let count = 0; count < 400; count++) {
    void submit('rosters');
    void submit('tags');
  }
  await clock.advance(3_000);
  return (
    admittedTokens.rosters / (admittedTokens.rosters + admittedTokens.tags)
  );
}

describe('cost of a request', () => {
  it('keeps a customer with long prompts from starving other customers', async () => {
    // One customer sends long prompts, another customer short prompts. With
    // fairness by request count, nearly all compute goes to the long prompts,
    // and the customer with short prompts queues behind the long prompts.
    const costEstimator = createRequestCostEstimator();
    const shareWithEqualCosts = await measureLongPromptShare(() => 1);
    const shareWithEstimatedCosts = await measureLongPromptShare(work =>
      costEstimator.estimateCost('assistant', work),
    );
    assert.ok(shareWithEqualCosts > 0.95, `${shareWithEqualCosts}`);
    assert.ok(shareWithEstimatedCosts < 0.8, `${shareWithEstimatedCosts}`);
  });

  it('is 1 for typical requests and limited to 1/16 to 16 for unusual requests', () => {
    const costEstimator = createRequestCostEstimator();
    const {rosters, tags} = workByCustomer;
    assert.equal(costEstimator.estimateCost('assistant', tags), 1);
    for (let count = 0; count < 1_000; count++) {
      costEstimator.estimateCost('assistant', tags);
    }
    assert.equal(costEstimator.estimateCost('assistant', tags), 1);
    assert.equal(
      costEstimator.estimateCost('assistant', {...rosters, promptTokens: 1e9}),
      16,
    );
    assert.equal(
      costEstimator.estimateCost('assistant', {
        promptTokens: 0,
        cachedTokens: 0,
        maxTokens: 0,
      }),
      1 / 16,
    );
    assert.equal(costEstimator.estimateCost('match', rosters), 1);
  });

  it('excludes cached tokens', () => {
    const costEstimator = createRequestCostEstimator();
    const {rosters} = workByCustomer;
    const uncachedCost = costEstimator.estimateCost('assistant', rosters);
    const cachedCost = costEstimator.estimateCost('assistant', {
      ...rosters,
      cachedTokens: 4_000,
    });
    assert.ok(cachedCost < uncachedCost / 5, `${cachedCost}`);
  });
});
