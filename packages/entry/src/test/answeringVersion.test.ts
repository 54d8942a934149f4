import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAnsweringVersion} from '../callers/answeringVersion.js';

describe('the version that answers a model request', () => {
  it('may be the incumbent as long as no token has come', () => {
    const answering = createAnsweringVersion('v2', 'v1');
    assert.deepEqual(answering.usable(0), ['v2', 'v1']);
    assert.equal(answering.current(), 'v2');
    answering.placed('v1');
    assert.equal(answering.current(), 'v1');
  });

  it('stays the one that began the answer', () => {
    // The only endpoint of the version dies in the middle of an answer. Going on
    // with another version would hand the caller one text written by two.
    const answering = createAnsweringVersion('v2', 'v1');
    answering.placed('v2');
    answering.streaming('v2');
    assert.deepEqual(answering.usable(3), ['v2']);
    const fallen = createAnsweringVersion('v2', 'v1');
    fallen.placed('v1');
    fallen.streaming('v1');
    assert.deepEqual(fallen.usable(3), ['v1']);
    assert.equal(fallen.current(), 'v1');
  });

  it('is asked for once when no move is under way', () => {
    assert.deepEqual(createAnsweringVersion('v1', 'v1').usable(0), ['v1']);
  });
});
