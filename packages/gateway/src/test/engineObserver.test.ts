import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {
  createEngineModel,
  engineFigures,
  type EngineFigures,
} from '@skylarkfield/capacity';
import type {Choice} from '@skylarkfield/routing';
import {waitTooLong} from '../attemptOutcome.js';
import {createEngineObserver} from '../engineObserver.js';

const known: EngineFigures = {
  ...engineFigures(undefined, []),
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
  readonly figures?: EngineFigures;
  readonly isModel?: boolean;
  readonly tokensAhead: number;
  readonly leftMs: number;
}) {
  const clock = virtualClock();
  const observer = createEngineObserver({
    model: createEngineModel(clock),
    clock,
    figures: () => options.figures ?? known,
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
  return observer.wait(call, choice, options.leftMs);
}

describe('wait of a request', () => {
  it('is too long when others take the time that the caller has', () => {
    // After a reclaim the endpoints that are left have 100,000 tokens to read,
    // which takes 3 s. A caller who stays for 4 s would get the start of an
    // answer and then nothing.
    const wait = waitOf({tokensAhead: 100_000, leftMs: 4_000});
    assert.equal(wait.isTooLong, true);
    const refusal = waitTooLong('chat', wait);
    assert.equal(refusal.run, 'not-run');
    assert.equal(refusal.retryAfterMs, 600);
  });

  it('is borne while the answer can still come in time', () => {
    // Late is better than never: the goal has passed, the caller is still there.
    const wait = waitOf({tokensAhead: 60_000, leftMs: 4_000});
    assert.equal(wait.isTooLong, false);
  });

  it('turns nobody away by a guess', () => {
    // A system that has just started believes something of its engines. Refused
    // by that, callers would be turned away from free endpoints.
    const figures = {...known, isSure: false};
    const wait = waitOf({figures, tokensAhead: 1_000_000, leftMs: 100});
    assert.equal(wait.isTooLong, false);
  });

  it('is not known for a plain service', () => {
    const wait = waitOf({isModel: false, tokensAhead: 1e6, leftMs: 100});
    assert.equal(wait.isTooLong, false);
  });
});
