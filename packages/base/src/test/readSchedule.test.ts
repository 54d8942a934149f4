import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createReadSchedule, type SlicedReads} from '../readSchedule.js';

const MEBIBYTE = 1_024 * 1_024;

/** Creates a schedule whose turns the test runs, and connections for it. */
function createTurns() {
  const tasks: Array<() => void> = [];
  const log: string[] = [];
  const schedule = createReadSchedule(task => tasks.push(task));
  return {
    schedule,
    /** Names in the order in which they passed on bytes or were closed. */
    log,
    runTurn: () => tasks.splice(0).forEach(task => task()),
    receive(name: string, sliceCount: number, bytes = 0): SlicedReads {
      let slicesLeft = sliceCount;
      const reads: SlicedReads = {
        passOn(maxSlices) {
          const count = Math.min(maxSlices, slicesLeft);
          slicesLeft -= count;
          log.push(...(count > 0 ? [name] : []));
          return count;
        },
        hasMore: () => slicesLeft > 0,
        heldBytes: () => bytes,
        close: () => log.push(`${name} closed`),
      };
      schedule.passOnReceived(reads);
      return reads;
    },
  };
}

describe('createReadSchedule', () => {
  // Guards against large reads that keep the processor from small ones.
  it('passes on newly received bytes between quanta of others', () => {
    const {log, receive, runTurn} = createTurns();
    for (const name of ['a', 'b']) {
      receive(name, 70);
    }
    runTurn();
    receive('ordinary', 1);
    runTurn();
    runTurn();
    assert.equal(
      log.join(' '),
      `a b ${'a b '.repeat(4)}ordinary ${'a b '.repeat(4).trim()}`,
    );
  });

  // Guards against a turn that many connections make long.
  it('shares a turn among all connections', () => {
    const {log, receive, runTurn} = createTurns();
    for (let index = 0; index < 200; index++) {
      receive(`c${index}`, 1);
    }
    const countPerTurn = [log.length];
    while (log.length < 200) {
      runTurn();
      countPerTurn.push(log.length);
    }
    assert.deepEqual(countPerTurn, [64, 128, 192, 200]);
    assert.deepEqual(
      log,
      Array.from({length: 200}, (_, index) => `c${index}`),
    );
  });

  // Guards against bounds of each connection that bound nothing together.
  it('closes connections with many slices once too many bytes wait', () => {
    const {log, receive, schedule} = createTurns();
    const first = receive('first', 100, 15 * MEBIBYTE);
    receive('second', 100, MEBIBYTE);
    receive('third', 100, MEBIBYTE);
    receive('ordinary', 8, MEBIBYTE);
    schedule.remove(first);
    receive('fourth', 100, MEBIBYTE);
    assert.deepEqual(
      [...new Set(log)],
      ['first', 'second', 'third', 'third closed', 'ordinary', 'fourth'],
    );
  });
});
