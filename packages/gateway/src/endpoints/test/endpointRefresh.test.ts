import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEmitter, createVirtualClock} from '@skylarkfield/base';
import {startEndpointRefresh} from '../endpointRefresh.js';

/** Two mirrors, and the times at which their endpoints are applied. */
function setUp() {
  const clock = createVirtualClock();
  const refreshTimes: number[] = [];
  const mirrors = Array.from({length: 2}, () => {
    const changeEmitter = createEmitter<void>();
    return {
      hasContent: false,
      isLoaded() {
        return this.hasContent;
      },
      onDidChange: changeEmitter.event,
      change() {
        this.hasContent = true;
        changeEmitter.fire();
      },
    };
  });
  let isViewLoaded = false;
  const refreshSoon = startEndpointRefresh({
    clock,
    mirrors,
    isViewLoaded: () => isViewLoaded,
    refresh() {
      refreshTimes.push(clock.now());
      isViewLoaded = mirrors.every(mirror => mirror.isLoaded());
    },
  });
  return {clock, mirrors, refreshSoon, refreshTimes};
}

describe('endpoint refresh', () => {
  // Guards against callers that wait for the interval after all endpoints are known.
  it('applies the first complete view at once', async () => {
    const {clock, mirrors, refreshTimes} = setUp();
    mirrors[0]!.change();
    await clock.advance(30);
    mirrors[1]!.change();
    assert.deepEqual(refreshTimes, [0, 30]);
  });

  // Guards against applying all endpoints anew for each one that registers.
  it('applies later changes and requests at a limited rate', async () => {
    const {clock, mirrors, refreshSoon, refreshTimes} = setUp();
    mirrors.forEach(mirror => mirror.change());
    await clock.advance(1_000);
    refreshTimes.length = 0;
    for (let index = 0; index < 10; index++) {
      mirrors[index % 2]!.change();
      refreshSoon();
      await clock.advance(10);
    }
    await clock.advance(1_000);
    assert.deepEqual(refreshTimes, [1_000, 1_100]);
  });
});
