import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {neighbourIdsOf, type NeighbourCandidate} from '../index.js';

interface Fleet {
  readonly name: string;
  readonly count: number;
  domainOf(index: number): string;
}

const FLEETS: readonly Fleet[] = [
  {name: 'one failure domain', count: 60, domainOf: () => 'a'},
  {
    name: 'two failure domains, one rare',
    count: 60,
    domainOf: i => (i === 0 ? 'b' : 'a'),
  },
  {name: 'four failure domains', count: 100, domainOf: i => `d${i % 4}`},
  {name: 'ten failure domains', count: 400, domainOf: i => `d${i % 10}`},
];

function createMembers(fleet: Fleet): NeighbourCandidate[] {
  return Array.from({length: fleet.count}, (_, index) => ({
    id: `m${index}`,
    failureDomain: fleet.domainOf(index),
  }));
}

function neighboursById(
  members: readonly NeighbourCandidate[],
): Map<string, string[]> {
  return new Map(members.map(({id}) => [id, neighbourIdsOf(id, members)]));
}

describe('neighbours', () => {
  it('are all other members in a small cluster', () => {
    const members = createMembers({...FLEETS[2]!, count: 24});
    assert.equal(neighbourIdsOf('m0', members).length, 23);
  });

  for (const fleet of FLEETS) {
    it(`are mutual and few: ${fleet.name}`, () => {
      // A one-sided neighbour sends no heartbeats and would be falsely
      // suspected every few seconds.
      const neighboursOfEach = neighboursById(createMembers(fleet));
      for (const [id, neighbours] of neighboursOfEach) {
        assert.ok(neighbours.length >= 2, `${id} has too few`);
        assert.ok(neighbours.length <= 15, `${id} has too many`);
        for (const other of neighbours) {
          assert.ok(
            neighboursOfEach.get(other)!.includes(id),
            `${id} and ${other}`,
          );
        }
      }
    });
  }

  it('form a connected graph that spans the failure domains', () => {
    const members = createMembers(FLEETS[3]!);
    const domains = new Map(
      members.map(member => [member.id, member.failureDomain]),
    );
    const neighboursOfEach = neighboursById(members);
    const reached = new Set(['m0']);
    for (const id of reached) {
      neighboursOfEach.get(id)!.forEach(other => reached.add(other));
    }
    assert.equal(reached.size, members.length);
    for (const [id, neighbours] of neighboursOfEach) {
      const otherDomainNeighbours = neighbours.filter(
        other => domains.get(other) !== domains.get(id),
      );
      assert.ok(
        otherDomainNeighbours.length >= 2,
        `${id}: ${otherDomainNeighbours.length}`,
      );
    }
  });

  it('change for few members when a member is removed', () => {
    const members = createMembers(FLEETS[3]!);
    const before = neighboursById(members);
    const after = neighboursById(members.filter(member => member.id !== 'm7'));
    const changed = [...after].filter(
      ([id, now]) => now.join() !== before.get(id)!.join(),
    );
    assert.ok(changed.length <= 30, `${changed.length} changed`);
  });
});
