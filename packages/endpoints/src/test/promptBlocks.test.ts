import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  TOKENS_PER_BLOCK,
  extendBlockHashes,
  hashPromptBlocks,
} from '../promptBlocks.js';

function tokens(count: number): string[] {
  return Array.from({length: count}, (_, index) => `t${index}`);
}

describe('prompt blocks', () => {
  it('omits a block that is not full', () => {
    assert.equal(hashPromptBlocks(tokens(TOKENS_PER_BLOCK * 2 + 3)).length, 2);
  });

  it('changes the hash of a block when an earlier token differs', () => {
    const same = hashPromptBlocks(tokens(64));
    const other = hashPromptBlocks(['x', ...tokens(64).slice(1)]);
    assert.notEqual(same[3], other[3]);
  });

  it('extends known blocks to the same hashes as a full computation', () => {
    const known = hashPromptBlocks(tokens(40));
    assert.deepEqual(
      extendBlockHashes(known, tokens(100)),
      hashPromptBlocks(tokens(100)),
    );
  });
});
