import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVersionFallback} from '../callers/versionFallback.js';

describe('version fallback', () => {
  it('allows the incumbent before the first token', () => {
    const fallback = createVersionFallback('v2', 'v1');
    assert.deepEqual(fallback.eligibleVersions(0), ['v2', 'v1']);
    assert.equal(fallback.currentVersion(), 'v2');
    fallback.recordAttempt('v1');
    assert.equal(fallback.currentVersion(), 'v1');
  });

  it('keeps the version that sent the first token', () => {
    // The only endpoint of a version fails during a response. Resuming with
    // another version would mix the output of two versions in one response.
    const fallback = createVersionFallback('v2', 'v1');
    fallback.recordAttempt('v2');
    fallback.recordFirstToken('v2');
    assert.deepEqual(fallback.eligibleVersions(3), ['v2']);
    const onIncumbent = createVersionFallback('v2', 'v1');
    onIncumbent.recordAttempt('v1');
    onIncumbent.recordFirstToken('v1');
    assert.deepEqual(onIncumbent.eligibleVersions(3), ['v1']);
    assert.equal(onIncumbent.currentVersion(), 'v1');
  });

  it('has one eligible version when no move is in progress', () => {
    assert.deepEqual(createVersionFallback('v1', 'v1').eligibleVersions(0), [
      'v1',
    ]);
  });
});
