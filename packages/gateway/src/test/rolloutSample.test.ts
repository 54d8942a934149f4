import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Route} from '@skylarkfield/traffic';
import type {ForwardingResult} from '../forwardedCall.js';
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

  it('is an error if another endpoint had to answer', () => {
    const result = {...HEDGED, hasFailedAttempt: true};
    assert.equal(sampleOf(CALL, result)?.isError, true);
  });
});
