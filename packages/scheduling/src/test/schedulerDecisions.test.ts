import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock, seededRandom} from '@skylarkfield/base';
import type {PlacementDecision} from '../contracts.js';
import {createServiceScheduler} from '../serviceScheduler.js';

function createSingleSlot() {
  const clock = createVirtualClock();
  const scheduler = createServiceScheduler({
    clock,
    random: seededRandom(1),
    cacheTokens: 0,
    promptTime: () => 0,
  });
  scheduler.setEndpoints([{id: 'i-0', slots: 1, failureDomain: 'a'}]);

  function request(
    id: string,
    targetAt: number,
    deadlineAt: number,
    onDidDecide: (decision: PlacementDecision) => void = () => {},
  ) {
    const fields = {route: 'r', urgency: 0, customer: '', failureDomain: 'a'};
    return scheduler.request(
      'e1',
      {...fields, id, targetAt, deadlineAt},
      onDidDecide,
    );
  }
  return {clock, scheduler, request};
}

describe('decisions of createServiceScheduler', () => {
  // Guards against a second decision on a request, if the decision on another one cannot be sent and is withdrawn at once.
  it('decides once on each request when a decision is withdrawn', () => {
    const {clock, scheduler, request} = createSingleSlot();
    const decisions: string[] = [];
    request('expires', 100, 100);
    request('unsent', 1_550, 1_090, ({type}) => {
      decisions.push(`unsent ${type}`);
      scheduler.end('e1', {id: 'unsent', outcome: 'cancelled', tookMs: 0});
    });
    request('other', 1_550, 5_000, ({type}) => {
      decisions.push(`other ${type}`);
    });
    clock.advanceSync(1_200);
    scheduler.end('e1', {id: 'other', outcome: 'ok', tookMs: 50});
    clock.advanceSync(5_000);
    assert.deepEqual(decisions, ['unsent rejected', 'other placed']);
    scheduler.dispose();
  });

  // Guards against callers of a route without responses so far who are all told to return at the same time.
  it('spreads the rejected callers of an unknown route', () => {
    const {scheduler, request} = createSingleSlot();
    request('first', 100, 100);
    const retryAfters = Array.from({length: 20}, (_, index) => {
      const answer = request(`r${index}`, 0, -1);
      return answer.type === 'rejected' ? answer.retryAfterMs : undefined;
    });
    assert.equal(new Set(retryAfters).size, 20, String(retryAfters));
    scheduler.dispose();
  });
});
