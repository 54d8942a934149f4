import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {before, describe, it} from 'node:test';
import {readOutsideShapes, type OutsideShapes} from './outsideShapes.js';

const FIXTURE = new URL(
  '../../src/test/fixtures/outsideShapes.json',
  import.meta.url,
);

/** Returns the items of the first list missing in the second, with repeats. */
function findMissing(wanted: readonly string[], found: readonly string[]) {
  const remaining = [...found];
  return wanted.filter(item => {
    const index = remaining.indexOf(item);
    if (index >= 0) {
      remaining.splice(index, 1);
    }
    return index < 0;
  });
}

// Guards against a rename that breaks compatibility with another release: field
// names of messages, stored objects and settings are serialized as the
// interfaces spell them. A release that adds to a shape updates its line in the
// fixture.
describe('data of the previous release', () => {
  const released = JSON.parse(readFileSync(FIXTURE, 'utf8')) as OutsideShapes;
  let shapes: OutsideShapes;

  before(() => {
    shapes = readOutsideShapes();
  });

  it('has the same message bodies', () => {
    for (const [type, body] of Object.entries(released.messages)) {
      assert.equal(shapes.messages[type], body, type);
    }
  });

  it('has the same stored objects and answers', () => {
    assert.deepEqual(findMissing(released.types, shapes.types), []);
  });

  it('is accepted by the same schemas', () => {
    assert.deepEqual(findMissing(released.schemas, shapes.schemas), []);
  });
});
