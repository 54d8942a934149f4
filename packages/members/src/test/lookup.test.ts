import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {seededRandom} from '@skylarkfield/base';
import {rankEntries, type Member} from '../index.js';

function createMember(index: number, overrides: Partial<Member> = {}): Member {
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

function createMembers(count: number): Member[] {
  return Array.from({length: count}, (_, index) => createMember(index));
}

describe('lookup', () => {
  for (const state of ['leaving', 'suspect', 'gone'] as const) {
    it(`excludes a ${state} entry`, () => {
      const members = [...createMembers(3), createMember(3, {state})];
      const {entries} = rankEntries(members, {});
      assert.ok(!entries.some(entry => entry.id === 'm3'));
      assert.equal(entries.length, 3);
    });
  }

  it('maps each session to a stable entry and remaps few when an entry leaves', () => {
    const members = createMembers(7);
    let movedCount = 0;
    for (let session = 0; session < 700; session++) {
      const query = {customer: 'namu', affinity: `s${session}`};
      const [firstEntry] = rankEntries(members, query).entries;
      const remainingMembers = members.filter(other => other.id !== 'm3');
      const [firstEntryAfterRemoval] = rankEntries(
        remainingMembers,
        query,
      ).entries;
      if (firstEntry!.id !== firstEntryAfterRemoval!.id) {
        assert.equal(firstEntry!.id, 'm3');
        movedCount += 1;
      }
    }
    assert.ok(
      movedCount > 50 && movedCount < 200,
      `${movedCount} of 700 moved`,
    );
  });

  it('ranks an entry loaded beyond the load bound last despite affinity', () => {
    const query = {customer: 'namu', affinity: 's1'};
    const [firstEntry] = rankEntries(createMembers(7), query).entries;
    const loadedMembers = createMembers(7).map(other =>
      other.id === firstEntry!.id ? {...other, load: 100} : other,
    );
    const {entries} = rankEntries(loadedMembers, query);
    assert.notEqual(entries[0]!.id, firstEntry!.id);
    const ids = entries.map(entry => entry.id);
    assert.equal(ids.at(-1), firstEntry!.id, 'the overloaded entry is last');
  });

  it("prefers the caller's failure domain only at equal load", () => {
    const query = {failureDomain: 'domain-1'};
    assert.equal(rankEntries(createMembers(4), query).entries[0]!.id, 'm1');
    const loadedMembers = createMembers(4).map(other =>
      other.id === 'm1' ? {...other, load: 60} : other,
    );
    assert.notEqual(rankEntries(loadedMembers, query).entries[0]!.id, 'm1');
  });

  it('spreads callers without affinity evenly', () => {
    const random = seededRandom(5);
    const counts = new Map<string, number>();
    for (let call = 0; call < 7_000; call++) {
      const [firstEntry] = rankEntries(createMembers(7), {}, random).entries;
      counts.set(firstEntry!.id, (counts.get(firstEntry!.id) ?? 0) + 1);
    }
    for (const [id, count] of counts) {
      assert.ok(count > 800 && count < 1_200, `${id}: ${count}`);
    }
    assert.equal(counts.size, 7);
  });
});
