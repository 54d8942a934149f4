import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPopularity} from '../popularity.js';

function blocks(name: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${name}${index}`);
}

describe('popularity of prefixes', () => {
  const system = blocks('system', 40);

  it('finds where the part that all requests share ends', () => {
    const popularity = createPopularity();
    for (let request = 0; request < 100; request++) {
      popularity.note([...system, ...blocks(`own${request}-`, 40)]);
    }
    const next = [...system, ...blocks('new', 40)];
    assert.equal(popularity.sharedBlocks(next, 8), system.length);
  });

  it('does not call a history shared that one endpoint can serve', () => {
    const popularity = createPopularity();
    const history = [...system, ...blocks('crew', 200)];
    for (let request = 0; request < 100; request++) {
      const isHistory = request % 20 === 0;
      popularity.note(isHistory ? history : [...system, `own${request}`]);
    }
    assert.equal(popularity.sharedBlocks(history, 8), system.length);
  });

  it('does not take the first few requests for popularity', () => {
    const popularity = createPopularity();
    popularity.note(system);
    popularity.note(system);
    assert.equal(popularity.sharedBlocks(system, 8), 0);
  });
});
