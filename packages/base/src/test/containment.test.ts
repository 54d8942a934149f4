import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const PROCESS = fileURLToPath(new URL('failingTasks.js', import.meta.url));

describe('containment', () => {
  // Guards against processes that end because of one task that fails.
  it('logs a timer and a promise that fail, and the process goes on', async () => {
    const {stdout, stderr} = await promisify(execFile)(process.execPath, [
      PROCESS,
    ]);
    assert.equal(stdout, 'still running\n');
    const lines = stderr.trim().split('\n');
    assert.deepEqual(
      lines.map(line => (JSON.parse(line) as {task: string}).task).sort(),
      ['promise', 'timer'],
    );
  });
});
