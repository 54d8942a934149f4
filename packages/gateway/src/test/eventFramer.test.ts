import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEventFramer} from '../eventFramer.js';

const STREAM =
  'x-weight-versions: 3\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n: note\n\nid:30\r\ndata: three\r\n\r\nid: 4\nda';

describe('event framer', () => {
  for (const size of [1, 2, 7, 1_000]) {
    it(`splits a stream received in chunks of ${size} bytes into complete events`, () => {
      // An endpoint may fail in the middle of an event. The caller must not
      // receive the partial event before the first event of the resumed stream.
      const framer = createEventFramer();
      const bytes = Buffer.from(STREAM);
      const frames = [];
      for (let offset = 0; offset < bytes.length; offset += size) {
        frames.push(...framer.push(bytes.subarray(offset, offset + size)));
      }
      assert.deepEqual(
        frames.map(({id}) => id),
        [1, 2, undefined, 30],
      );
      const completeEvents = Buffer.concat(
        frames.map(frame => frame.bytes),
      ).toString();
      assert.equal(completeEvents + framer.remainder().toString(), STREAM);
      assert.equal(framer.remainder().toString(), 'id: 4\nda');
    });
  }
});
