import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServingError, systemClock} from '@skylarkfield/base';
import type {AttemptResult} from '../../attempts/attemptResult.js';
import type {Destination} from '../../attempts/hedging.js';
import type {ForwardedCall} from '../forwardedCall.js';
import {createFurtherSends} from '../furtherSends.js';
import {createProgress, createRetryRules} from '../retryRules.js';

const refusal = Object.assign(new Error('refused'), {code: 'ECONNREFUSED'});

/** Ends of an attempt that no endpoint has run, by name. */
const UNRUN_ENDS: Readonly<Record<string, AttemptResult>> = {
  withdrawn: {type: 'withdrawn'},
  declined: {type: 'declined', status: 503},
  refused: {
    type: 'failed',
    error: new ServingError('endpoint-unavailable', 'refused', {
      cause: refusal,
    }),
  },
  unsent: {
    type: 'failed',
    error: new ServingError('endpoint-unavailable', 'no connection'),
  },
};
const DESTINATIONS: Readonly<Record<string, Destination>> = {
  endpoint: {type: 'endpoint', target: undefined!},
  peer: {type: 'peer', peer: undefined!},
};

/** Creates decisions whose surroundings deny nothing, with a count of retries. */
function createOpenSends(retries: number) {
  let retriesLeft = retries;
  const admission = {tryAcquireRetry: () => retriesLeft-- > 0};
  return createFurtherSends({
    retryRules: createRetryRules({admission, clock: systemClock()}),
    reach: {stateOf: () => 'unclear' as never},
    handovers: {mayHandOn: () => true},
    canHandOver: () => true,
  });
}

function createCall(isResumable: boolean): ForwardedCall {
  const route = {kind: 'streaming', isResumable, attempts: 2} as const;
  const {signal} = new AbortController();
  return {route, service: 's', signal} as Partial<ForwardedCall> as never;
}

/** A stream that has run at an endpoint and was migrated off it. */
function createMigratedProgress() {
  return {...createProgress(0), runCount: 1, receivedCount: 1};
}

describe('further sends', () => {
  for (const [name, result] of Object.entries(UNRUN_ENDS)) {
    for (const [place, destination] of Object.entries(DESTINATIONS)) {
      // Guards against a second run of a migrated stream whose target has not run it.
      it(`leave a stream that ran and may not be resumed alone: ${name}, ${place}`, () => {
        const progress = {
          ...createMigratedProgress(),
          hasFailedToConnect: true,
        };
        assert.equal(
          createOpenSends(9).maySendAgain(
            createCall(false),
            progress,
            destination,
            result,
          ),
          false,
        );
        assert.equal(progress.retryDenial, 'not-repeatable');
      });
    }
  }

  // Guards against runs beyond the retry budget, and against retries that are charged twice.
  it('charge a further run once, however often its endpoint is not reached', () => {
    const sends = createOpenSends(1);
    const progress = createMigratedProgress();
    const isAllowed = (result: AttemptResult) =>
      sends.maySendAgain(
        createCall(true),
        progress,
        DESTINATIONS['endpoint']!,
        result,
      );
    const {refused, withdrawn, declined} = UNRUN_ENDS;
    assert.ok(isAllowed(refused!));
    assert.ok(isAllowed(refused!));
    assert.ok(isAllowed(withdrawn!));
    progress.receivedCount += 1;
    assert.equal(isAllowed(declined!), false);
    assert.equal(progress.retryDenial, 'no-retry-budget');
  });
});
