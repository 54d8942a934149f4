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
    const expectedAssigneeCount = entriesPerEndpoint(
      endpoints.length,
      entries.length,
    );
    for (const endpoint of endpoints) {
      const assigneeCount = subsets.filter(subset =>
        subset.has(endpoint),
      ).length;
      assert.equal(assigneeCount, expectedAssigneeCount);
    }
  });

  it('reassigns few endpoints when an entry leaves', () => {
    const remainingEntries = entries.slice(1);
    remainingEntries.forEach((entry, index) => {
      const subsetBefore = subsets[index + 1]!;
      const subsetAfter = pickSubset(entry, remainingEntries, endpoints);
      const keptEndpoints = [...subsetBefore].filter(endpoint =>
        subsetAfter.has(endpoint),
      );
      assert.equal(keptEndpoints.length, subsetBefore.size);
      assert.ok(subsetAfter.size <= subsetBefore.size + 12);
    });
  });
});
