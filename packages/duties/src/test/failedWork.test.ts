import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createVirtualClock,
  seededRandom,
  toDisposable,
} from '@skylarkfield/base';
import {createMemoryPlatform} from '@skylarkfield/providers';
import {createDutyElections} from '../duties.js';

describe('a duty whose work cannot be started', () => {
  // Guards against a holder that renews its lease for ever and does no work.
  it('is handed over to another process', async () => {
    const clock = createVirtualClock();
    const platform = createMemoryPlatform({clock});
    platform.faults.setDelay(2);
    const starts = new Map([
      ['a', 0],
      ['b', 0],
    ]);
    let runningCount = 0;
    for (const id of starts.keys()) {
      createDutyElections({
        clock,
        random: seededRandom(5),
        store: platform.createClient(id, {clock}),
        self: {id, incarnation: 1},
        members: () => ['a', 'b'],
      }).compete('fleet', () => {
        const isFirst = [...starts.values()].every(count => count === 0);
        starts.set(id, starts.get(id)! + 1);
        if (isFirst) {
          throw new Error('odd state');
        }
        runningCount += 1;
        return toDisposable(() => (runningCount -= 1));
      });
    }
    await clock.advance(6_000);
    assert.equal(runningCount, 1);
    assert.deepEqual([...starts.values()], [1, 1]);
  });
});
