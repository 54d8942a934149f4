import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {
  createEngineModel,
  estimateEngine,
  type EngineEstimate,
} from '@skylarkfield/capacity';
import type {Choice} from '@skylarkfield/routing';
import {waitTooLongError} from '../../attempts/attemptOutcome.js';
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

function estimateWait(options: {
  readonly estimate?: EngineEstimate;
  readonly isModel?: boolean;
  readonly tokensAhead: number;
  readonly leftMs: number;
}) {
  const clock = createVirtualClock();
  const observer = createEngineObserver({
    model: createEngineModel(clock),
    clock,
    estimateFor: () => options.estimate ?? reliableEstimate,
    fitsKvCache: () => true,
    tokensPerEvent: () => 4,
    onDidRecompute() {},
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
    // After a reclaim, the remaining endpoints have 100,000 prompt tokens
    // queued, which take 3 s. A caller with a timeout of 4 s would receive only
    // the start of a response.
    const wait = estimateWait({tokensAhead: 100_000, leftMs: 4_000});
    assert.equal(wait.isTooLong, true);
    const rejection = waitTooLongError('chat', wait);
    assert.equal(rejection.run, 'not-run');
    assert.equal(rejection.retryAfterMs, 600);
  });

  it('is not too long while the response can still meet the deadline', () => {
    // A late response is better than none: the response misses the latency
    // target, but the caller is still waiting for it.
    const wait = estimateWait({tokensAhead: 60_000, leftMs: 4_000});
    assert.equal(wait.isTooLong, false);
  });

  it('is never too long before the engine estimate is reliable', () => {
    // A system that has just started has only prior estimates of its engines,
    // by which no caller may be rejected while endpoints are idle.
    const estimate = {...reliableEstimate, isSure: false};
    const wait = estimateWait({estimate, tokensAhead: 1_000_000, leftMs: 100});
    assert.equal(wait.isTooLong, false);
  });

  it('is not estimated for a plain service', () => {
    const wait = estimateWait({isModel: false, tokensAhead: 1e6, leftMs: 100});
    assert.equal(wait.isTooLong, false);
  });
});

describe('observed attempt', () => {
  /** Observes an attempt whose first event comes late; returns its records. */
  async function observePrompt(isSilent: boolean, slowness = 1) {
    const clock = createVirtualClock();
    const tookMs: number[] = [];
    const observer = createEngineObserver({
      model: {
        ...createEngineModel(clock),
        recordPrompt: prompt => void tookMs.push(prompt.tookMs),
      },
      clock,
      estimateFor: () => reliableEstimate,
      fitsKvCache: () => true,
      tokensPerEvent: () => 4,
      onDidRecompute() {},
    });
    const call = {
      head: {demand},
      route: {name: 'r1', goalMs: 800, timeoutMs: 4_000},
      service: 'chat',
    };
    const choice = {
      tokensAhead: 0,
      cachedTokens: 0,
      slowness: () => slowness,
    } as Choice;
    const attempt = observer.observe(call, choice, true);
    await clock.advance(1_500);
    if (isSilent) {
      attempt.recordStall();
    }
    attempt.recordBegin();
    return tookMs;
  }

  // Guards against engines that seem slow, so that too many are ordered, after they stood still.
  it('records no prompt time of an endpoint that was silent', async () => {
    assert.deepEqual(await observePrompt(false), [1_500]);
    assert.deepEqual(await observePrompt(true), []);
  });

  // Guards against orders of further engines because hosts were slow for a moment.
  it('records the prompt time without the slowness of the host', async () => {
    assert.deepEqual(await observePrompt(false, 2.5), [600]);
  });
});
