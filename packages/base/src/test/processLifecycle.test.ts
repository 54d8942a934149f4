import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createProcessLifecycle,
  type LifecycleEvent,
} from '../processLifecycle.js';

const cases: readonly [readonly LifecycleEvent[], string][] = [
  [[], 'serving'],
  [['announce'], 'lingering'],
  [['announce', 'refuse'], 'leaving'],
  [['announce', 'refuse', 'close'], 'stopped'],
  [['refuse'], 'serving'],
  [['announce', 'announce'], 'lingering'],
  [['announce', 'refuse', 'close', 'announce'], 'stopped'],
];

describe('process lifecycle', () => {
  for (const [events, expected] of cases) {
    it(`is ${expected} after ${events.join(', ') || 'nothing'}`, () => {
      const lifecycle = createProcessLifecycle();
      events.forEach(lifecycle.send);
      assert.equal(lifecycle.state(), expected);
    });
  }
});
