import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {
  createEngineModel,
  estimateEngine,
  type EngineEstimate,
} from '@skylarkfield/capacity';
import type {Choice} from '@skylarkfield/routing';
import {waitTooLong} from '../attemptOutcome.js';
import {createEngineObserver} from '../engineObserver.js';

const reliableEstimate: EngineEstimate = {
  ...estimateEngine(undefined, []),
  usualTokenMs: 0.03,
  isSure: true,
};

const demand = {
  model: 'm',
  promptTokens: 2_000,
  mostOutputTokens: 100,
  parts: [],
};

function waitOf(options: {
  readonly estimate?: EngineEstimate;
  readonly isModel?: boolean;
  readonly tokensAhead: number;
  readonly leftMs: number;
}) {
  const clock = virtualClock();
  const observer = createEngineObserver({
    model: createEngineModel(clock),
    clock,
    estimateFor: () => options.estimate ?? reliableEstimate,
    fits: () => true,
    tokensPerEvent: () => 4,
    onDidReread() {},
  });
  const route = {name: 'r1', goalMs: 800, timeoutMs: 4_000};
  const isModel = options.isModel ?? true;
  const call = {
    head: {demand: isModel ? demand : undefined},
    route,
    service: 'chat',
  };
  const choice = {tokensAhead: options.tokensAhead} as Choice;
  return observer.expectedWait(call, choice, options.leftMs);
}

describe('expected wait', () => {
  it('is too long if queued prompts use up the time until the deadline', () => {
    // After a reclaim the remaining endpoints have 100,000 prompt tokens
    // queued, which take 3 s. A caller with a timeout of 4 s would receive only
    // the start of a response.
    const wait = waitOf({tokensAhead: 100_000, leftMs: 4_000});
    assert.equal(wait.isTooLong, true);
    const rejection = waitTooLong('chat', wait);
    assert.equal(rejection.run, 'not-run');
    assert.equal(rejection.retryAfterMs, 600);
  });

  it('is accepted while the response can still meet the deadline', () => {
    // A late response is better than none: the target is missed, but the caller
    // is still waiting.
    const wait = waitOf({tokensAhead: 60_000, leftMs: 4_000});
    assert.equal(wait.isTooLong, false);
  });

  it('rejects no request before the estimate is reliable', () => {
    // A system that has just started only has priors for its engines, which
    // must not reject callers while endpoints are idle.
    const estimate = {...reliableEstimate, isSure: false};
    const wait = waitOf({estimate, tokensAhead: 1_000_000, leftMs: 100});
    assert.equal(wait.isTooLong, false);
  });

  it('is not estimated for a plain service', () => {
    const wait = waitOf({isModel: false, tokensAhead: 1e6, leftMs: 100});
    assert.equal(wait.isTooLong, false);
  });
});
