import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {neighboursOf, type Node} from '../index.js';

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

function nodesOf(fleet: Fleet): Node[] {
  return Array.from({length: fleet.count}, (_, index) => ({
    id: `m${index}`,
    failureDomain: fleet.domain(index),
  }));
}

function links(nodes: readonly Node[]): Map<string, string[]> {
  return new Map(nodes.map(({id}) => [id, neighboursOf(id, nodes)]));
}

describe('neighbours', () => {
  it('are all the others in a small installation', () => {
    const nodes = nodesOf({...FLEETS[2]!, count: 24});
    assert.equal(neighboursOf('m0', nodes).length, 23);
  });

  for (const fleet of FLEETS) {
    it(`are mutual and few: ${fleet.name}`, () => {
      // A neighbour that doesn't know it is one sends no heartbeats and would
      // be suspected every few seconds for nothing.
      const all = links(nodesOf(fleet));
      for (const [id, neighbours] of all) {
        assert.ok(neighbours.length >= 2, `${id} has too few`);
        assert.ok(neighbours.length <= 15, `${id} has too many`);
        for (const other of neighbours) {
          assert.ok(all.get(other)!.includes(id), `${id} and ${other}`);
        }
      }
    });
  }

  it('connect all, and lie in other failure domains too', () => {
    const nodes = nodesOf(FLEETS[3]!);
    const domains = new Map(nodes.map(node => [node.id, node.failureDomain]));
    const all = links(nodes);
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

  it('change for few when one member goes', () => {
    const nodes = nodesOf(FLEETS[3]!);
    const before = links(nodes);
    const after = links(nodes.filter(node => node.id !== 'm7'));
    const changed = [...after].filter(
      ([id, now]) => now.join() !== before.get(id)!.join(),
    );
    assert.ok(changed.length <= 30, `${changed.length} changed`);
  });
});
