import assert from 'node:assert/strict';
import {PassThrough, Readable} from 'node:stream';
import {describe, it} from 'node:test';
import {readLines, readText} from '../boundedRead.js';
import {createVirtualClock} from '../virtualClock.js';

const BOUNDS = {maxBytes: 8, timeoutMs: 100};
const TOO_LONG = {kind: 'protocol-violation', message: /exceeds 8 bytes/};
const TOO_LATE = {kind: 'protocol-violation', message: /within 100 ms/};

async function collectLines(body: Readable, clock = createVirtualClock()) {
  const lines: string[] = [];
  for await (const line of readLines(body, BOUNDS, clock)) {
    lines.push(line);
  }
  return lines;
}

const bytes = (...chunks: string[]) =>
  Readable.from(chunks.map(chunk => Buffer.from(chunk, 'latin1')));

const nextTurn = () => new Promise(resolve => setImmediate(resolve));

describe('bounded reads', () => {
  // Guards against a body that is kept although it exceeds its bound.
  it('end a body at its bound of bytes', async () => {
    const clock = createVirtualClock();
    assert.equal(
      await readText(bytes('1234', '5678'), BOUNDS, clock),
      '12345678',
    );
    const body = bytes('1234', '5678', '9');
    await assert.rejects(readText(body, BOUNDS, clock), TOO_LONG);
    assert.ok(body.destroyed);
  });

  // Guards against a body that trickles and is waited for without end.
  it('end a body that has not ended in time', async () => {
    const clock = createVirtualClock();
    const body = new PassThrough();
    const text = assert.rejects(readText(body, BOUNDS, clock), TOO_LATE);
    for (let sentBytes = 0; sentBytes < 4; sentBytes += 1) {
      body.write('x');
      await clock.advance(26);
    }
    await text;
  });

  it('split lines wherever the chunks end, and join characters', async () => {
    assert.deepEqual(
      await collectLines(bytes('a\r', '\nb\n\nc\xc3', '\xb6\n12345678', '\nd')),
      ['a', 'b', '', 'cö', '12345678', 'd'],
    );
  });

  // Guards against a line that is kept although it exceeds its bound.
  it('end a stream at a line that exceeds its bound of bytes', async () => {
    await assert.rejects(collectLines(bytes('a\n12345', '6789')), TOO_LONG);
  });

  // Guards against a stream that stands still inside a line, or ends while idle.
  it('bound the time of a line, not the time between lines', async () => {
    const clock = createVirtualClock();
    const body = new PassThrough();
    const lines = assert.rejects(collectLines(body, clock), TOO_LATE);
    body.write('a\n');
    await nextTurn();
    await clock.advance(1_000);
    assert.ok(!body.destroyed);
    body.write('b');
    await nextTurn();
    await clock.advance(101);
    await lines;
  });
});
