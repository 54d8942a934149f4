import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {neighboursOf, type NeighbourCandidate} from '../index.js';

interface Fleet {
  readonly name: string;
  readonly count: number;
  domain(index: number): string;
}

const FLEETS: readonly Fleet[] = [
  {name: 'one failure domain', count: 60, domain: () => 'a'},
  {name: 'two, one rare', count: 60, domain: i => (i === 0 ? 'b' : 'a')},
  {name: 'four', count: 100, domain: i => `d${i % 4}`},
  {name: 'ten', count: 400, domain: i => `d${i % 10}`},
];

function createMembers(fleet: Fleet): NeighbourCandidate[] {
  return Array.from({length: fleet.count}, (_, index) => ({
    id: `m${index}`,
    failureDomain: fleet.domain(index),
  }));
}

function neighboursById(
  members: readonly NeighbourCandidate[],
): Map<string, string[]> {
  return new Map(members.map(({id}) => [id, neighboursOf(id, members)]));
}

describe('neighbours', () => {
  it('are all other members in a small cluster', () => {
    const nodes = createMembers({...FLEETS[2]!, count: 24});
    assert.equal(neighboursOf('m0', nodes).length, 23);
  });

  for (const fleet of FLEETS) {
    it(`are mutual and few: ${fleet.name}`, () => {
      // A one-sided neighbour sends no heartbeats and would be falsely
      // suspected every few seconds.
      const all = neighboursById(createMembers(fleet));
      for (const [id, neighbours] of all) {
        assert.ok(neighbours.length >= 2, `${id} has too few`);
        assert.ok(neighbours.length <= 15, `${id} has too many`);
        for (const other of neighbours) {
          assert.ok(all.get(other)!.includes(id), `${id} and ${other}`);
        }
      }
    });
  }

  it('form a connected graph that spans failure domains', () => {
    const nodes = createMembers(FLEETS[3]!);
    const domains = new Map(nodes.map(node => [node.id, node.failureDomain]));
    const all = neighboursById(nodes);
    const reached = new Set(['m0']);
    for (const id of reached) {
      all.get(id)!.forEach(other => reached.add(other));
    }
    assert.equal(reached.size, nodes.length);
    for (const [id, neighbours] of all) {
      const foreign = neighbours.filter(
        other => domains.get(other) !== domains.get(id),
      );
      assert.ok(foreign.length >= 2, `${id}: ${foreign.length}`);
    }
  });

  it('change for few members when one is removed', () => {
    const nodes = createMembers(FLEETS[3]!);
    const before = neighboursById(nodes);
    const after = neighboursById(nodes.filter(node => node.id !== 'm7'));
    const changed = [...after].filter(
      ([id, now]) => now.join() !== before.get(id)!.join(),
    );
    assert.ok(changed.length <= 30, `${changed.length} changed`);
  });
});
