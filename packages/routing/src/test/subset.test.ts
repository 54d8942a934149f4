import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SUBSET_SIZE, entriesPerEndpoint, pickSubset} from '../subset.js';

function createNames(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

describe('endpoint subsets', () => {
  const entries = createNames('entry-', 60);
  const endpoints = createNames('replica-', 600);
  const subsets = entries.map(entry => pickSubset(entry, entries, endpoints));

  it('assigns every endpoint of a small service to each entry', () => {
    const smallService = createNames('replica-', SUBSET_SIZE);
    assert.equal(
      pickSubset('entry-1', entries, smallService).size,
      smallService.length,
    );
  });

  it('assigns every endpoint to the same number of entries', () => {
    const expected = entriesPerEndpoint(endpoints.length, entries.length);
    for (const endpoint of endpoints) {
      const assigneeCount = subsets.filter(subset =>
        subset.has(endpoint),
      ).length;
      assert.equal(assigneeCount, expected);
    }
  });

  it('reassigns few endpoints when an entry leaves', () => {
    const remaining = entries.slice(1);
    remaining.forEach((entry, index) => {
      const before = subsets[index + 1]!;
      const after = pickSubset(entry, remaining, endpoints);
      const keptEndpoints = [...before].filter(endpoint => after.has(endpoint));
      assert.equal(keptEndpoints.length, before.size);
      assert.ok(after.size <= before.size + 12);
    });
  });
});
