import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {seededRandom} from '@skylarkfield/base';
import {rankEntries, type Member} from '../index.js';

function member(index: number, overrides: Partial<Member> = {}): Member {
  return {
    id: `m${index}`,
    incarnation: 1,
    state: 'live',
    callerUrl: `http://m${index}`,
    innerUrl: `ws://m${index}`,
    failureDomain: `domain-${index % 4}`,
    region: 'r',
    load: 10,
    ...overrides,
  };
}

function members(count: number): Member[] {
  return Array.from({length: count}, (_, index) => member(index));
}

describe('lookup', () => {
  for (const state of ['leaving', 'suspect', 'gone'] as const) {
    it(`excludes a ${state} entry`, () => {
      const all = [...members(3), member(3, {state})];
      const {entries} = rankEntries(all, {});
      assert.ok(!entries.some(entry => entry.id === 'm3'));
      assert.equal(entries.length, 3);
    });
  }

  it('maps a session to a stable entry, and few move when one leaves', () => {
    const all = members(7);
    let moved = 0;
    for (let session = 0; session < 700; session++) {
      const query = {customer: 'namu', affinity: `s${session}`};
      const [first] = rankEntries(all, query).entries;
      const remaining = all.filter(other => other.id !== 'm3');
      const [after] = rankEntries(remaining, query).entries;
      if (first!.id !== after!.id) {
        assert.equal(first!.id, 'm3');
        moved += 1;
      }
    }
    assert.ok(moved > 50 && moved < 200, `${moved} of 700 moved`);
  });

  it('skips an entry loaded beyond the bound, also with affinity', () => {
    const query = {customer: 'namu', affinity: 's1'};
    const [first] = rankEntries(members(7), query).entries;
    const loaded = members(7).map(other =>
      other.id === first!.id ? {...other, load: 100} : other,
    );
    const {entries} = rankEntries(loaded, query);
    assert.notEqual(entries[0]!.id, first!.id);
    const ids = entries.map(entry => entry.id);
    assert.equal(ids.at(-1), first!.id, 'it is ranked last of seven');
  });

  it("prefers the caller's failure domain only at equal load", () => {
    const query = {failureDomain: 'domain-1'};
    assert.equal(rankEntries(members(4), query).entries[0]!.id, 'm1');
    const loaded = members(4).map(other =>
      other.id === 'm1' ? {...other, load: 60} : other,
    );
    assert.notEqual(rankEntries(loaded, query).entries[0]!.id, 'm1');
  });

  it('spreads callers without affinity evenly', () => {
    const random = seededRandom(5);
    const counts = new Map<string, number>();
    for (let call = 0; call < 7_000; call++) {
      const [first] = rankEntries(members(7), {}, random).entries;
      counts.set(first!.id, (counts.get(first!.id) ?? 0) + 1);
    }
    for (const [id, count] of counts) {
      assert.ok(count > 800 && count < 1_200, `${id}: ${count}`);
    }
    assert.equal(counts.size, 7);
  });
});
