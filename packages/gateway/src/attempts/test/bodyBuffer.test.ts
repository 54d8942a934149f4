import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {
  createBodyBuffer,
  createBodyMemory,
  MAX_BODY_BYTES,
  SHARED_BODY_BYTES,
  UNSHARED_BODY_BYTES,
} from '../bodyBuffer.js';

const BLOCK = Buffer.alloc(64 * 1024);
const FLOOD_COUNT = 48;

/** Heap of a process that receives a body in chunks of one byte, in MiB. */
const HEAP_MIB = 64;
const ONE_BYTE_CHUNKS = 4_000_000;

describe('body buffer', () => {
  // Guards against many answers without end that take all memory together.
  it('shares memory between long bodies, and serves short ones beside them', () => {
    const memory = createBodyMemory();
    const floods = Array.from({length: FLOOD_COUNT}, () => ({
      body: createBodyBuffer(memory),
      isOpen: true,
    }));
    let mostBytes = 0;
    while (floods.some(({isOpen}) => isOpen)) {
      for (const flood of floods.filter(({isOpen}) => isOpen)) {
        flood.isOpen = flood.body.push(BLOCK) === undefined;
        const short = createBodyBuffer(memory);
        assert.equal(short.push(Buffer.alloc(UNSHARED_BODY_BYTES)), undefined);
        short.dispose();
      }
      const keptBytes = floods.reduce(
        (sum, {body}) => sum + body.bytes().length,
        0,
      );
      mostBytes = Math.max(mostBytes, keptBytes);
    }
    assert.ok(
      mostBytes <= FLOOD_COUNT * UNSHARED_BODY_BYTES + SHARED_BODY_BYTES,
    );
    const long = createBodyBuffer(memory);
    assert.equal(long.push(Buffer.alloc(MAX_BODY_BYTES)), undefined);
    assert.equal(long.push(Buffer.alloc(1)), 'too-long');
    assert.ok(memory.tryTake(SHARED_BODY_BYTES));
  });

  // Guards against chunks of one byte, whose objects take a hundred times as much.
  it('keeps chunks of one byte in about the memory of their bytes', async () => {
    const script = `
      const {createBodyBuffer, createBodyMemory} = await import(
        ${JSON.stringify(new URL('../bodyBuffer.js', import.meta.url).href)});
      const body = createBodyBuffer(createBodyMemory?.());
      const received = Buffer.alloc(64 * 1024);
      for (let size = 0; size < ${ONE_BYTE_CHUNKS}; size += 1) {
        body.push(received.subarray(0, 1));
      }
      process.exit(body.bytes().length === ${ONE_BYTE_CHUNKS} ? 0 : 1);`;
    const worker = new Worker(
      new URL(`data:text/javascript,${encodeURIComponent(script)}`),
      {resourceLimits: {maxOldGenerationSizeMb: HEAP_MIB}},
    );
    const exitCode = await new Promise((resolve, reject) => {
      worker.once('error', reject);
      worker.once('exit', resolve);
    });
    assert.equal(exitCode, 0);
  });
});
