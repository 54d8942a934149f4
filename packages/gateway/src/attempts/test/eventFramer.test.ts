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

  for (const lineEnd of ['\n', '\r\n', '\r']) {
    it(`splits events whose lines end with ${JSON.stringify(lineEnd)}`, () => {
      const event = `id: 1${lineEnd}data: one${lineEnd}${lineEnd}`;
      for (const size of [1, 3, 1_000]) {
        const framer = createEventFramer();
        const bytes = Buffer.from(event.repeat(3));
        const ids = [];
        for (let offset = 0; offset < bytes.length; offset += size) {
          const chunk = bytes.subarray(offset, offset + size);
          ids.push(...framer.push(chunk).map(({id}) => id));
        }
        assert.deepEqual(ids, [1, 1, 1]);
        assert.equal(framer.isInsideEvent(), false);
      }
    });
  }

  // Guards against complete streams that are taken for broken ones because of bytes after their last event.
  for (const remainder of [
    '',
    '\n',
    '\r\n',
    ': note',
    ': note\n',
    '\r\n: note\r\n',
  ]) {
    it(`is not inside an event after ${JSON.stringify(remainder)}`, () => {
      const framer = createEventFramer();
      framer.push(Buffer.from(`data: one\n\n${remainder}`));
      assert.equal(framer.isInsideEvent(), false);
    });
  }

  // Guards against streams that are passed on as complete although their last event is not.
  for (const remainder of [
    'd',
    'data: two\n',
    ': note\nid: 2',
    '\r\nid: 2\r\n',
  ]) {
    it(`is inside an event after ${JSON.stringify(remainder)}`, () => {
      const framer = createEventFramer();
      framer.push(Buffer.from(`data: one\n\n${remainder}`));
      assert.ok(framer.isInsideEvent());
    });
  }

  // Guards against long events that keep the process busy since each chunk reads all earlier ones again.
  it('reads each byte of a long event once', {timeout: 20_000}, () => {
    const framer = createEventFramer();
    const chunk = Buffer.alloc(1_000, 'x');
    const chunkCount = 8_000;
    for (let count = 0; count < chunkCount; count++) {
      assert.deepEqual(framer.push(chunk), []);
    }
    assert.equal(framer.remainderBytes(), chunkCount * chunk.length);
    const [frame] = framer.push(Buffer.from('\n\n'));
    assert.equal(frame?.bytes.length, chunkCount * chunk.length + 2);
    assert.equal(framer.remainderBytes(), 0);
  });

  it('does not take a byte order mark for an event', () => {
    const mark = Buffer.from([0xef, 0xbb, 0xbf]);
    for (const length of [1, 2, 3]) {
      const framer = createEventFramer();
      framer.push(mark.subarray(0, length));
      assert.equal(framer.isInsideEvent(), false);
    }
    const framer = createEventFramer();
    framer.push(mark);
    framer.push(Buffer.from('data: one'));
    assert.ok(framer.isInsideEvent());
  });
});
