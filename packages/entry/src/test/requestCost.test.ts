import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAdmissionController} from '@skylarkfield/admission';
import {
  decisionLog,
  seededRandom,
  silentLogger,
  sleep,
  virtualClock,
} from '@skylarkfield/base';
import {createRequestCosts, type ExpectedWork} from '../callers/requestCost.js';

const workOfCustomers = {
  rosters: {promptTokens: 4_000, cachedTokens: 0, maxTokens: 64},
  tags: {promptTokens: 40, cachedTokens: 0, maxTokens: 64},
};

/**
 * Returns the token share of the customer with long prompts while both have a
 * backlog.
 */
async function longPromptShare(
  costOf: (work: ExpectedWork) => number,
): Promise<number> {
  const clock = virtualClock();
  const admission = createAdmissionController({
    clock,
    random: seededRandom(1),
    decisions: decisionLog(clock, silentLogger()),
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
    const work = workOfCustomers[customer];
    const {signal} = new AbortController();
    const permit = await admission.admit(
      {
        service: 'assistant',
        customer,
        urgency: 3,
        deadline: Infinity,
        cost: costOf(work),
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
  it('keeps a customer with long prompts from starving the others', async () => {
    // One customer sends long prompts, another short ones. With fairness by
    // request count, nearly all compute goes to the long prompts, and the other
    // customer queues behind them.
    const costs = createRequestCosts();
    const shareWithEqualCosts = await longPromptShare(() => 1);
    const shareWithEstimatedCosts = await longPromptShare(work =>
      costs.costOf('assistant', work),
    );
    assert.ok(shareWithEqualCosts > 0.95, `${shareWithEqualCosts}`);
    assert.ok(shareWithEstimatedCosts < 0.8, `${shareWithEstimatedCosts}`);
  });

  it('is 1 for typical requests and bounded for others', () => {
    const costs = createRequestCosts();
    const {rosters, tags} = workOfCustomers;
    assert.equal(costs.costOf('assistant', tags), 1);
    for (let count = 0; count < 1_000; count++) {
      costs.costOf('assistant', tags);
    }
    assert.equal(costs.costOf('assistant', tags), 1);
    assert.equal(
      costs.costOf('assistant', {...rosters, promptTokens: 1e9}),
      16,
    );
    assert.equal(
      costs.costOf('assistant', {
        promptTokens: 0,
        cachedTokens: 0,
        maxTokens: 0,
      }),
      1 / 16,
    );
    assert.equal(costs.costOf('match', rosters), 1);
  });

  it('excludes cached tokens', () => {
    const costs = createRequestCosts();
    const {rosters} = workOfCustomers;
    const cold = costs.costOf('assistant', rosters);
    const warm = costs.costOf('assistant', {...rosters, cachedTokens: 4_000});
    assert.ok(warm < cold / 5, `${warm}`);
  });
});
