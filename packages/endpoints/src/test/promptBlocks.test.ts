import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  TOKENS_PER_BLOCK,
  extendBlockHashes,
  hashPromptBlocks,
} from '../promptBlocks.js';

function createTokens(count: number): string[] {
  return Array.from({length: count}, (_, index) => `t${index}`);
}

describe('prompt blocks', () => {
  it('omits a block that is not full', () => {
    assert.equal(
      hashPromptBlocks(createTokens(TOKENS_PER_BLOCK * 2 + 3)).length,
      2,
    );
  });

  it('changes the hash of a block when an earlier token differs', () => {
    const originalHashes = hashPromptBlocks(createTokens(64));
    const changedHashes = hashPromptBlocks(['x', ...createTokens(64).slice(1)]);
    assert.notEqual(originalHashes[3], changedHashes[3]);
  });

  it('extends the hashes of a prefix to the hashes of the whole text', () => {
    const prefixHashes = hashPromptBlocks(createTokens(40));
    assert.deepEqual(
      extendBlockHashes(prefixHashes, createTokens(100)),
      hashPromptBlocks(createTokens(100)),
    );
  });
});
