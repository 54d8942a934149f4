import assert from 'node:assert/strict';
import {test} from 'node:test';
import {withTimeLimit} from '../timeLimit.js';
import {createVirtualClock} from '../virtualClock.js';

/** A call that ends only when its signal is aborted. */
function hang(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const end = () => reject(signal.reason as Error);
    signal.addEventListener('abort', end);
    if (signal.aborted) {
      end();
    }
  });
}

// Guards against calls that never end since their timeout was collected as garbage.
test('a call is aborted at its time limit, and before when its owner is', async () => {
  const clock = createVirtualClock();
  const owner = new AbortController();
  const limited = withTimeLimit(clock, 100, owner.signal, hang);
  const owned = withTimeLimit(clock, 200, owner.signal, hang);
  const rejections = Promise.all([
    assert.rejects(limited, {name: 'TimeoutError'}),
    assert.rejects(owned, {message: 'term ended'}),
  ]);
  await clock.advance(100);
  owner.abort(new Error('term ended'));
  await rejections;
  await assert.rejects(withTimeLimit(clock, 100, owner.signal, hang), {
    message: 'term ended',
  });
});
