import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Route} from '@skylarkfield/traffic';
import type {ForwardingResult} from '../../forwarding/forwardedCall.js';
import {sampleOf} from '../rolloutSample.js';

const CALL = {
  service: 's',
  version: 'candidate',
  route: {name: 'r', kind: 'streaming', isResumable: true} as Route,
} as const;

const HEDGED: ForwardingResult = {
  status: 200,
  firstByteMs: 80,
  endpoints: ['a', 'b'],
  error: undefined,
};

describe('rollout sample', () => {
  // Guards against rolling back a version whose endpoints stood still and went on.
  it('is no error if the first endpoint went on beside a hedge', () => {
    assert.equal(sampleOf(CALL, HEDGED)?.isError, false);
  });

  // Guards against rolling back a version because its hosts were paused.
  it('is none if the request waited for an endpoint that stood still', () => {
    const result = {...HEDGED, hasWaitedForStill: true};
    assert.equal(sampleOf(CALL, result), undefined);
  });

  // Guards against a version whose endpoints stand still for good.
  it('is a doubtful error if another endpoint answered for one that stood still', () => {
    const sample = sampleOf(CALL, {
      ...HEDGED,
      hasWaitedForStill: true,
      stillEndpoints: ['a'],
    });
    assert.equal(sample?.isError, true);
    assert.deepEqual(sample?.stillEndpoints, ['a']);
  });

  // Guards against faults that are excused because an endpoint stood still too.
  it('is an error if an endpoint failed besides', () => {
    const sample = sampleOf(CALL, {
      ...HEDGED,
      hasFailedAttempt: true,
      hasWaitedForStill: true,
      stillEndpoints: ['a'],
    });
    assert.equal(sample?.isError, true);
    assert.equal(sample?.stillEndpoints, undefined);
  });

  // Guards against rolling back a version because its hosts were slow for a moment.
  it('leaves out the delay by a slow host', () => {
    const result = {...HEDGED, hostDelayMs: 30};
    assert.equal(sampleOf(CALL, result)?.latencyMs, 50);
  });

  it('is an error if another endpoint had to answer', () => {
    const result = {...HEDGED, hasFailedAttempt: true};
    assert.equal(sampleOf(CALL, result)?.isError, true);
  });
});
