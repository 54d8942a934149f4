import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {hashPromptBlocks, tokenizePrompt} from '@skylarkfield/endpoints';
import {hashSequenceBlocks} from '../callers/sequenceBlocks.js';

describe('hashSequenceBlocks', () => {
  const words = Array.from({length: 70}, (_, index) => `w${index}`);

  for (const promptLength of [1, 16, 20, 32]) {
    it(`hashes prompt and delivered tokens as one sequence, with ${promptLength} prompt tokens`, () => {
      const prompt = words.slice(0, promptLength).join(' ');
      const promptBlocks = hashPromptBlocks(tokenizePrompt(prompt));
      const delivered = words.slice(promptLength).map(word => ` ${word}`);
      assert.deepEqual(
        hashSequenceBlocks(prompt, promptBlocks, delivered),
        hashPromptBlocks(words),
      );
      assert.equal(hashSequenceBlocks(prompt, promptBlocks, []), promptBlocks);
    });
  }
});
