import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {rankQuotaOwners} from '../quotaOwners.js';

const WINDOW_MS = 8_000;
const NOW_MS = 100_000;
const times = {wallMs: NOW_MS, windowMs: WINDOW_MS};

function createCandidates(ids: readonly string[], ageMs = 60_000) {
  return ids.map(id => ({id, startedAtMs: NOW_MS - ageMs}));
}

describe('quota owners', () => {
  it('differ between customers, and move only where an entry leaves', () => {
    const all = createCandidates(['a', 'b', 'c', 'd', 'e']);
    const customers = Array.from({length: 50}, (_, index) => `c${index}`);
    const owners = customers.map(name => rankQuotaOwners(name, [all], times));
    assert.equal(new Set(owners.map(([owner]) => owner)).size, all.length);
    const remaining = all.filter(({id}) => id !== 'c');
    for (const [index, name] of customers.entries()) {
      const expected = owners[index]!.filter(id => id !== 'c');
      assert.deepEqual(rankQuotaOwners(name, [remaining], times), expected);
    }
  });

  it('are of the first group if one of it has run for a window', () => {
    const groups = [createCandidates(['a', 'b']), createCandidates(['c', 'd'])];
    const ranking = rankQuotaOwners('chain', groups, times);
    assert.deepEqual(ranking.slice(0, 2).sort(), ['a', 'b']);
  });

  // Guards against an owner that does not know the usage before its start.
  it('have run for a window if any entry has, or are the oldest', () => {
    const young = createCandidates(['a'], 2_000);
    const younger = createCandidates(['b'], 1_000);
    const groups = [[...younger, ...young], createCandidates(['c'])];
    assert.deepEqual(rankQuotaOwners('chain', groups, times), ['c', 'a', 'b']);
  });
});
