import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPrefixPopularity} from '../popularity.js';

function createBlocks(name: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${name}${index}`);
}

describe('popularity of prefixes', () => {
  const systemPrompt = createBlocks('system', 40);

  it('finds the end of the prefix that all requests share', () => {
    const popularity = createPrefixPopularity();
    for (let index = 0; index < 100; index++) {
      popularity.recordRequest([
        ...systemPrompt,
        ...createBlocks(`own${index}-`, 40),
      ]);
    }
    const newPrompt = [...systemPrompt, ...createBlocks('new', 40)];
    assert.equal(
      popularity.countSharedBlocks(newPrompt, 8),
      systemPrompt.length,
    );
  });

  it('does not count a history as shared that one of 20 requests has', () => {
    const popularity = createPrefixPopularity();
    const history = [...systemPrompt, ...createBlocks('crew', 200)];
    for (let index = 0; index < 100; index++) {
      const isHistory = index % 20 === 0;
      popularity.recordRequest(
        isHistory ? history : [...systemPrompt, `own${index}`],
      );
    }
    assert.equal(popularity.countSharedBlocks(history, 8), systemPrompt.length);
  });

  it('does not count a prefix as shared after only two requests', () => {
    const popularity = createPrefixPopularity();
    popularity.recordRequest(systemPrompt);
    popularity.recordRequest(systemPrompt);
    assert.equal(popularity.countSharedBlocks(systemPrompt, 8), 0);
  });

  // Guards against a process without memory, since callers declare how many blocks their prompts have.
  it('forgets earlier requests once large prompts have filled two windows', () => {
    const popularity = createPrefixPopularity();
    for (let index = 0; index < 100; index++) {
      popularity.recordRequest(systemPrompt);
    }
    assert.equal(popularity.countSharedBlocks(systemPrompt, 8), 40);
    for (let index = 0; index < 150; index++) {
      popularity.recordRequest(createBlocks(`large${index}-`, 8_000));
    }
    assert.equal(popularity.countSharedBlocks(systemPrompt, 8), 0);
  });
});
