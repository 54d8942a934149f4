import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SUBSET_SIZE, entriesPerEndpoint, pickSubset} from '../subset.js';

function names(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

describe('subsets of a large service', () => {
  const entries = names('entry-', 60);
  const endpoints = names('replica-', 600);
  const subsets = entries.map(entry => pickSubset(entry, entries, endpoints));

  it('uses a small service whole', () => {
    const few = names('replica-', SUBSET_SIZE);
    assert.equal(pickSubset('entry-1', entries, few).size, few.length);
  });

  it('gives every endpoint the same number of entries', () => {
    const expected = entriesPerEndpoint(endpoints.length, entries.length);
    for (const endpoint of endpoints) {
      const assignees = subsets.filter(subset => subset.has(endpoint)).length;
      assert.equal(assignees, expected);
    }
  });

  it('reassigns few endpoints when an entry leaves', () => {
    const remaining = entries.slice(1);
    remaining.forEach((entry, index) => {
      const before = subsets[index + 1]!;
      const after = pickSubset(entry, remaining, endpoints);
      const kept = [...before].filter(endpoint => after.has(endpoint));
      assert.equal(kept.length, before.size);
      assert.ok(after.size <= before.size + 12);
    });
  });
});
