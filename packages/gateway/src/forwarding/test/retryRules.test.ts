import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {systemClock} from '@skylarkfield/base';
import type {RouteKind} from '@skylarkfield/traffic';
import {createProgress, createRetryRules} from '../retryRules.js';

const rules = createRetryRules({
  admission: {tryAcquireRetry: () => false},
  clock: systemClock(),
});

const CASES: readonly {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  /** Runs after which no further one is allowed. */
  readonly maxRuns: number;
}[] = [
  {kind: 'idempotent', isResumable: false, maxRuns: 2},
  {kind: 'streaming', isResumable: true, maxRuns: 2},
  {kind: 'streaming', isResumable: false, maxRuns: 1},
  {kind: 'at-most-once', isResumable: false, maxRuns: 1},
];

describe('retry rules', () => {
  for (const {kind, isResumable, maxRuns} of CASES) {
    // Guards against a further run of a request that was to be sent on after an unreachable endpoint.
    it(`allow ${maxRuns} runs of a ${kind} request, resumable: ${isResumable}`, () => {
      const call = {
        route: {kind, isResumable, attempts: 2, goalMs: 0, longestPauseMs: 0},
        service: 's',
        deadlineAt: Infinity,
        signal: new AbortController().signal,
      };
      const isAllowed = [0, 1, 2].map(runCount =>
        rules.canRun(call, {...createProgress(0), runCount}),
      );
      assert.deepEqual(
        isAllowed,
        [0, 1, 2].map(runCount => runCount < maxRuns),
      );
    });
  }
});
