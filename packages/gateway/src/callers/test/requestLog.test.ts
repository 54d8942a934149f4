import assert from 'node:assert/strict';
import {test} from 'node:test';
import {lossFields} from '../requestLog.js';

const DEMAND = {model: 'm', promptTokens: 300, mostOutputTokens: 8};

function createHead(partIds: readonly string[]) {
  const parts = partIds.map(id => ({id, tokens: 100}));
  return {demand: {...DEMAND, parts}};
}

// Guards against crashes with a part of the prompt in common that the log does
// not show.
test('a request that lost its endpoint is logged with the parts of its prompt', () => {
  assert.deepEqual(lossFields('f00d', createHead(['a1', 'b2', 'own'])), {
    fingerprint: 'f00d',
    parts: ['a1', 'b2'],
  });
});

test('parts are logged only of requests that lost their endpoint', () => {
  assert.deepEqual(lossFields(undefined, createHead(['a1', 'own'])), {});
  assert.deepEqual(lossFields('f00d', createHead(['own'])), {
    fingerprint: 'f00d',
  });
});

test('the number of logged parts is bounded', () => {
  const partIds = Array.from({length: 500}, (_, index) => `p${index}`);
  assert.equal(lossFields('f00d', createHead(partIds)).parts?.length, 16);
});
