import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createUnreadResponses} from '../unreadResponses.js';

const MEBIBYTE = 1_024 * 1_024;

describe('createUnreadResponses', () => {
  // Guards against bounds of each connection that bound nothing together.
  it('closes the connection for which most bytes wait', () => {
    const closed: string[] = [];
    const unread = new Map([
      ['read', 40 * MEBIBYTE],
      ['large', 30 * MEBIBYTE],
      ['small', 10 * MEBIBYTE],
      ['later', 25 * MEBIBYTE],
      ['tiny', 100],
    ]);
    const unreadResponses = createUnreadResponses();
    for (const name of unread.keys()) {
      unreadResponses.record({
        unreadBytes: () => unread.get(name) ?? 0,
        close: () => closed.push(name),
      });
      // What is read no longer counts.
      unread.set('read', 0);
    }
    assert.deepEqual(closed, ['large']);
  });
});
