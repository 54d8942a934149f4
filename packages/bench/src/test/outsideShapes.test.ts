import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {before, describe, it} from 'node:test';
import {readOutsideShapes, type OutsideShapes} from './outsideShapes.js';

const FIXTURE = new URL(
  '../../src/test/fixtures/outsideShapes.json',
  import.meta.url,
);

/** Items of the first list that the second one lacks, counting repeats. */
function missing(wanted: readonly string[], found: readonly string[]) {
  const left = [...found];
  return wanted.filter(item => {
    const at = left.indexOf(item);
    if (at >= 0) {
      left.splice(at, 1);
    }
    return at < 0;
  });
}

// Guards against a rename that changes what another release reads: field names
// of messages, stored objects and settings travel as the interfaces spell them.
// A release that adds to a shape updates its line in the fixture.
describe('data of the release before', () => {
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
    assert.deepEqual(missing(released.types, shapes.types), []);
  });

  it('is accepted by the same schemas', () => {
    assert.deepEqual(missing(released.schemas, shapes.schemas), []);
  });
});
