import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BLOCK_TOKENS, extendBlocks, promptBlocks} from '../promptBlocks.js';

function tokens(count: number): string[] {
  return Array.from({length: count}, (_, index) => `t${index}`);
}

describe('prompt blocks', () => {
  it('leaves out a block that is not full', () => {
    assert.equal(promptBlocks(tokens(BLOCK_TOKENS * 2 + 3)).length, 2);
  });

  it('gives another hash to a block whose beginning differs', () => {
    const same = promptBlocks(tokens(64));
    const other = promptBlocks(['x', ...tokens(64).slice(1)]);
    assert.notEqual(same[3], other[3]);
  });

  it('extends known blocks to what hashing anew gives', () => {
    const known = promptBlocks(tokens(40));
    assert.deepEqual(
      extendBlocks(known, tokens(100)),
      promptBlocks(tokens(100)),
    );
  });
});
