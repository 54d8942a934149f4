import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseCommand} from '../commandLine.js';
import {loadMeasurement} from '../measurements.js';
import {renderTable} from '../table.js';

describe('bench command', () => {
  it('parses the measurement name, seed and duration', () => {
    const command = parseCommand(['moves', '--seed', '7', '--seconds', '3']);
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
    it(`rejects the arguments ${args.join(' ')}`, () => {
      assert.throws(() => parseCommand(args));
    });
  }

  it('reports an unknown measurement name as unavailable', async () => {
    assert.deepEqual(await loadMeasurement('toString'), {
      type: 'unavailable',
      reason: 'unknown name',
    });
  });

  it('renders scalar values as lines and lists of objects as tables', () => {
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
