import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {
  createRequestBodyMemory,
  UNSHARED_REQUEST_BYTES,
  type BodyAllocation,
  type RequestBodyMemory,
} from '../requestBodyMemory.js';

const TOTAL_BYTES = 1_000;

describe('memory of request bodies', () => {
  let memory: RequestBodyMemory;
  let evicted: string[];

  beforeEach(() => {
    memory = createRequestBodyMemory(() => TOTAL_BYTES);
    evicted = [];
  });

  /** Begins a body that has taken the given part of the shared memory. */
  function hold(name: string, sharedBytes: number): BodyAllocation {
    const body = memory.allocate(() => evicted.push(name));
    assert.ok(body.tryGrow(UNSHARED_REQUEST_BYTES + sharedBytes));
    return body;
  }

  // Guards against memory that grows with the number of connections.
  it('evicts the incomplete bodies that made no progress for longest', () => {
    const first = hold('first', 300);
    hold('second', 300);
    hold('third', 300);
    assert.ok(first.tryGrow(50));
    hold('fourth', 600);
    assert.deepEqual(evicted, ['second', 'third']);
    assert.equal(memory.sharedBytes(), 950);
  });

  it('rejects a body for which eviction does not suffice, and evicts none', () => {
    hold('complete', 800).complete();
    hold('incomplete', 100);
    const body = memory.allocate(() => {});
    assert.equal(body.tryGrow(UNSHARED_REQUEST_BYTES + 201), false);
    assert.deepEqual(evicted, []);
    assert.equal(memory.sharedBytes(), 900);
  });

  it('always has room for small bodies, and takes back what is disposed', () => {
    const large = hold('large', TOTAL_BYTES);
    large.complete();
    const small = memory.allocate(() => {});
    assert.ok(small.tryGrow(UNSHARED_REQUEST_BYTES));
    large.dispose();
    large.dispose();
    assert.equal(memory.sharedBytes(), 0);
  });
});
