import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServingError, type ErrorKind, type RunState} from '@skylarkfield/base';
import {isVersionFault} from '../callers/requestMetrics.js';

/** Error kind, run state, and whether the error is a fault of the version. */
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

// Requests to a hung version fail only by deadlines. If these errors were no
// evidence against the version, its share of the callers would time out until
// the end of the move of traffic to that version.
describe('isVersionFault', () => {
  for (const [kind, run, expected] of cases) {
    it(`${kind} (${run}) ${expected ? 'counts' : 'does not count'}`, () => {
      assert.equal(isVersionFault(new ServingError(kind, '', {run})), expected);
    });
  }
});
