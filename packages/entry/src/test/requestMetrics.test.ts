import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServingError, type ErrorKind, type RunState} from '@skylarkfield/base';
import {isVersionFault} from '../callers/requestMetrics.js';

const cases: readonly [ErrorKind, RunState, boolean][] = [
  ['endpoint-failed', 'may-have-run', true],
  ['interrupted', 'may-have-run', true],
  ['outcome-unknown', 'may-have-run', true],
  ['deadline-exceeded', 'may-have-run', true],
  ['deadline-exceeded', 'not-run', false],
  ['overloaded', 'not-run', false],
  ['cancelled', 'may-have-run', false],
  ['bad-request', 'not-run', false],
  ['platform-unavailable', 'not-run', false],
];

// A hung version fails only by deadlines. If deadlines were no evidence,
// its share of the callers would time out until the end of the move.
describe('evidence against a version', () => {
  for (const [kind, run, expected] of cases) {
    it(`${kind}, ${run}: ${expected ? 'counts' : 'does not count'}`, () => {
      assert.equal(isVersionFault(new ServingError(kind, '', {run})), expected);
    });
  }
});
