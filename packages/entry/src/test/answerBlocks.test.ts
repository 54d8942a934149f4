import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {hashPromptBlocks, tokenizePrompt} from '@skylarkfield/endpoints';
import {answerBlocks} from '../callers/answerBlocks.js';

describe('blocks of an answer that goes on elsewhere', () => {
  const words = Array.from({length: 70}, (_, index) => `w${index}`);

  for (const promptLength of [1, 16, 20, 32]) {
    it(`are those of the whole text after ${promptLength} tokens of prompt`, () => {
      const prompt = words.slice(0, promptLength).join(' ');
      const known = hashPromptBlocks(tokenizePrompt(prompt));
      const delivered = words.slice(promptLength).map(word => ` ${word}`);
      assert.deepEqual(
        answerBlocks(prompt, known, delivered),
        hashPromptBlocks(words),
      );
      assert.equal(answerBlocks(prompt, known, []), known);
    });
  }
});
