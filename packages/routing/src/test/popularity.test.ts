import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPrefixPopularity} from '../popularity.js';

function blocks(name: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${name}${index}`);
}

describe('popularity of prefixes', () => {
  const system = blocks('system', 40);

  it('finds the end of the prefix that all requests share', () => {
    const popularity = createPrefixPopularity();
    for (let index = 0; index < 100; index++) {
      popularity.recordRequest([...system, ...blocks(`own${index}-`, 40)]);
    }
    const next = [...system, ...blocks('new', 40)];
    assert.equal(popularity.countSharedBlocks(next, 8), system.length);
  });

  it('does not count a history as shared that one endpoint can serve', () => {
    const popularity = createPrefixPopularity();
    const history = [...system, ...blocks('crew', 200)];
    for (let index = 0; index < 100; index++) {
      const isHistory = index % 20 === 0;
      popularity.recordRequest(
        isHistory ? history : [...system, `own${index}`],
      );
    }
    assert.equal(popularity.countSharedBlocks(history, 8), system.length);
  });

  it('does not count a prefix as shared after a few requests', () => {
    const popularity = createPrefixPopularity();
    popularity.recordRequest(system);
    popularity.recordRequest(system);
    assert.equal(popularity.countSharedBlocks(system, 8), 0);
  });
});
