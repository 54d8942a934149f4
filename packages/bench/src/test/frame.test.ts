import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {readCommand} from '../commandLine.js';
import {loadMeasurement} from '../measurements.js';
import {renderTable} from '../table.js';

describe('bench command', () => {
  it('parses a name, seed and duration', () => {
    const command = readCommand(['moves', '--seed', '7', '--seconds', '3']);
    assert.equal(command.name, 'moves');
    assert.equal(command.seed, 7);
    assert.equal(command.seconds, 3);
  });

  for (const args of [
    ['a', 'b'],
    ['a', '--seed', 'x'],
    ['a', '--seconds', '-1'],
    ['a', '--colour'],
  ]) {
    it(`rejects ${args.join(' ')}`, () => {
      assert.throws(() => readCommand(args));
    });
  }

  it('reports an unknown name', async () => {
    assert.deepEqual(await loadMeasurement('toString'), {
      type: 'unavailable',
      reason: 'unknown name',
    });
  });

  it('renders scalar values and rows', () => {
    const text = renderTable({
      seed: 1,
      limits: {low: 0.123456},
      rows: [{load: 1, goodput: 0.5}, {load: 2}],
    });
    assert.equal(
      text,
      [
        'seed        1',
        'limits.low  0.1235',
        '',
        'rows',
        'load  goodput',
        '1     0.5',
        '2',
      ].join('\n'),
    );
  });
});
