import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {before, describe, it} from 'node:test';
import {extractOutsideShapes, type OutsideShapes} from './outsideShapes.js';

const FIXTURE = new URL(
  '../../src/test/fixtures/outsideShapes.json',
  import.meta.url,
);

/** Returns the expected items that are not in `actual`, duplicates included. */
function findMissing(expected: readonly string[], actual: readonly string[]) {
  const remaining = [...actual];
  return expected.filter(item => {
    const index = remaining.indexOf(item);
    if (index >= 0) {
      remaining.splice(index, 1);
    }
    return index < 0;
  });
}

// Guards against a rename that breaks compatibility with another release: field
// names of messages, stored objects and settings are serialized as the
// interfaces declare them. A release that adds a field updates the line of that
// structure in the fixture.
describe('data of the previous release', () => {
  const releasedShapes = JSON.parse(
    readFileSync(FIXTURE, 'utf8'),
  ) as OutsideShapes;
  let shapes: OutsideShapes;

  before(() => {
    shapes = extractOutsideShapes();
  });

  it('has the same message bodies', () => {
    for (const [type, body] of Object.entries(releasedShapes.messages)) {
      assert.equal(shapes.messages[type], body, type);
    }
  });

  it('has the same stored objects and answers', () => {
    assert.deepEqual(findMissing(releasedShapes.types, shapes.types), []);
  });

  it('is accepted by the same schemas', () => {
    assert.deepEqual(findMissing(releasedShapes.schemas, shapes.schemas), []);
  });
});
