import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
  systemClock,
} from '@skylarkfield/base';
import {createCrashQuarantine} from '@skylarkfield/routing';
import type {Route} from '@skylarkfield/traffic';
import {
  respondWith,
  declineRequest,
  resetConnection,
  streamEvents,
} from '../../test/testEndpoint.js';
import {
  createOneTimeMigrator,
  FINGERPRINT,
  forwardTo,
} from '../../test/testForwarding.js';

const idempotentRoute: Route = {
  name: 'route',
  authority: 'a',
  pathPrefix: '/',
  kind: 'idempotent',
  timeoutMs: 5_000,
  goalMs: 100,
  priority: 0,
  services: [{service: 's', weight: 1}],
  attempts: 2,
  isPublic: true,
  isResumable: false,
  longestPauseMs: 0,
};
const orderRoute: Route = {
  ...idempotentRoute,
  kind: 'at-most-once',
  attempts: 1,
};
const streamRoute: Route = {...idempotentRoute, kind: 'streaming', attempts: 1};
const resumableRoute: Route = {...streamRoute, isResumable: true, attempts: 2};

/** Duration of a quarantine after crashes at one time, in milliseconds. */
const QUARANTINE_MS = 10_000;

/** Creates a quarantine of the request that ends after `remainingMs`. */
function createQuarantine(remainingMs: number) {
  const clock = createVirtualClock();
  const crashQuarantine = createCrashQuarantine({
    clock,
    self: 'x',
    decisions: createDecisionLog(clock, createSilentLogger()),
    wallMs: () => clock.wall(),
  });
  for (const endpoint of ['e7', 'e8', 'e9']) {
    crashQuarantine.recordConnectionLost({request: FINGERPRINT, endpoint});
  }
  clock.advanceSync(QUARANTINE_MS - remainingMs);
  return crashQuarantine;
}

function eventText(first: number, last: number): string {
  return Array.from(
    {length: last - first + 1},
    (_, index) => `id: ${first + index}\ndata: ${first + index}\n\n`,
  ).join('');
}

describe('forwarding', () => {
  it('does not retry an order that may have run', async () => {
    // The endpoint resets the connection after it has read the order. A retry
    // would execute the order twice.
    const outcome = await forwardTo(orderRoute, [
      resetConnection,
      respondWith('done'),
    ]);
    assert.equal(outcome.status, 502);
    assert.equal(outcome.retryAfter, undefined);
    assert.equal(outcome.receivedCount, 1);
  });

  // Guards against rejecting requests while endpoints run, since connections to
  // crashed ones used up the retry budget.
  it('sends a request on without a retry budget if no endpoint listens', async () => {
    for (const route of [idempotentRoute, orderRoute]) {
      for (const refusing of [
        [0, 1],
        [0, 2],
        [1, 2],
      ]) {
        const outcome = await forwardTo(
          route,
          [respondWith('done')],
          undefined,
          undefined,
          {refusing, hasRetryBudget: false},
        );
        assert.equal(outcome.status, 200);
        assert.equal(outcome.receivedCount, 1);
      }
    }
  });

  // Guards against begun streams that are lost since the entry that takes them over may reject them.
  it('rejects a long wait unless the request has run, here or at its sender', async () => {
    const statusOf = async (hasRun: boolean) => {
      const {status} = await forwardTo(
        resumableRoute,
        [streamEvents(1, 3, 'whole')],
        undefined,
        undefined,
        {
          isWaitTooLong: true,
          handover: {
            sender: 'b',
            excludedEndpoints: [],
            isCounted: true,
            hasRun,
          },
        },
      );
      return status;
    };
    assert.equal(await statusOf(false), 429);
    assert.equal(await statusOf(true), 200);
  });

  it('rejects a request as not run if no endpoint listens at all', async () => {
    const outcome = await forwardTo(
      orderRoute,
      [respondWith('done')],
      undefined,
      undefined,
      {refusing: [0, 1, 2], hasRetryBudget: false},
    );
    assert.equal(outcome.status, 503);
    assert.equal(outcome.result.error?.run, 'not-run');
    assert.equal(outcome.result.endpoints.length, 3);
  });

  // Guards against requests whose log line does not tell why they were not retried.
  it('returns why a failed request was not retried', async () => {
    const denialOf = async (route: Route, hasRetryBudget: boolean) => {
      const {result} = await forwardTo(
        route,
        [resetConnection],
        undefined,
        undefined,
        {hasRetryBudget},
      );
      return result.retryDenial;
    };
    assert.equal(await denialOf(resumableRoute, false), 'no-retry-budget');
    assert.equal(await denialOf(resumableRoute, true), 'attempts-used');
    assert.equal(await denialOf(orderRoute, true), 'not-repeatable');
  });

  // Guards against a quarantine that goes on since its trial was sent nowhere.
  it('begins no trial of a request that no endpoint gets', async () => {
    const crashQuarantine = createQuarantine(0);
    const forward = (isUnrouted: boolean) =>
      forwardTo(idempotentRoute, [respondWith('done')], undefined, undefined, {
        crashQuarantine,
        isUnrouted,
      });
    assert.equal((await forward(true)).status, 503);
    assert.equal(crashQuarantine.verdictFor(FINGERPRINT).type, 'trial');
    assert.equal((await forward(false)).status, 200);
    assert.equal(crashQuarantine.verdictFor(FINGERPRINT).type, 'clear');
  });

  // Guards against callers who come back before the end and are rejected again.
  it('rounds Retry-After up', async () => {
    const {status, retryAfter} = await forwardTo(
      idempotentRoute,
      [respondWith('done')],
      undefined,
      undefined,
      {crashQuarantine: createQuarantine(4)},
    );
    assert.equal(status, 503);
    assert.equal(retryAfter, '0.01');
  });

  it('limits the runs of a request to the attempts of its route', async () => {
    const outcome = await forwardTo(idempotentRoute, [
      resetConnection,
      resetConnection,
      respondWith('late'),
    ]);
    assert.equal(outcome.receivedCount, 2);
    assert.equal(outcome.status, 502);
  });

  it('returns the time of the first send if the first attempt fails', async () => {
    const startedAt = systemClock().now();
    const {result} = await forwardTo(idempotentRoute, [
      resetConnection,
      respondWith('ok'),
    ]);
    const firstSendAt = result.firstSendAt ?? NaN;
    assert.ok(firstSendAt >= startedAt && firstSendAt <= systemClock().now());
    assert.ok((result.firstByteMs ?? NaN) >= 0);
  });

  it('returns the response of the second endpoint if the first endpoint fails', async () => {
    const outcome = await forwardTo(idempotentRoute, [
      resetConnection,
      respondWith('ok'),
    ]);
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body, 'ok');
  });

  it('sends a declined order to another endpoint', async () => {
    const outcome = await forwardTo(orderRoute, [
      declineRequest,
      respondWith('done'),
    ]);
    assert.equal(outcome.status, 200);
    assert.equal(outcome.body, 'done');
  });

  it('reports an order as not run only if every endpoint declined it', async () => {
    // Callers retry an order that is reported as not run, so a wrong report
    // would execute the order twice.
    const declinedOutcome = await forwardTo(orderRoute, [declineRequest]);
    assert.ok(
      [429, 503].includes(declinedOutcome.status),
      `${declinedOutcome.status}`,
    );
    assert.ok(declinedOutcome.retryAfter !== undefined);
    const resetOutcome = await forwardTo(orderRoute, [
      declineRequest,
      resetConnection,
    ]);
    assert.equal(resetOutcome.status, 502);
  });

  it('drops a response with the id of another request', async () => {
    // The endpoint sends a second response to an earlier request, on a
    // connection that now carries the request of another caller. The response
    // contains data of the first caller.
    const outcome = await forwardTo(orderRoute, [
      respondWith('secret', 200, 'other'),
    ]);
    assert.equal(outcome.status, 502);
    assert.ok(!outcome.body.includes('secret'));
  });

  it("passes on an endpoint's own error unchanged", async () => {
    const outcome = await forwardTo(orderRoute, [respondWith('no', 500)]);
    assert.equal(outcome.status, 500);
    assert.equal(outcome.body, 'no');
    assert.equal(outcome.receivedCount, 1);
  });

  // Guards against taking an endpoint for crashed that sends data on a stream.
  it('reports the data of a stream with the time of its send', async () => {
    const sends = new Map<string, number>();
    let dataCount = 0;
    const since = systemClock().now();
    await forwardTo(
      streamRoute,
      [streamEvents(1, 4, 'whole')],
      undefined,
      undefined,
      {
        onDidReceiveData(endpoint, sentAt) {
          sends.set(endpoint, sentAt);
          dataCount += 1;
        },
      },
    );
    assert.equal(sends.size, 1);
    assert.ok([...sends.values()][0]! >= since);
    assert.ok(dataCount > 0);
  });

  it('resumes an interrupted stream after the last delivered event', async () => {
    // The first endpoint is reclaimed and closes the connection in the middle
    // of an event, and the next endpoint repeats events that the caller already
    // has. The caller must receive each event once.
    const outcome = await forwardTo(resumableRoute, [
      streamEvents(1, 3, 'cut'),
      streamEvents(2, 6, 'whole'),
    ]);
    assert.deepEqual([...outcome.lastEventIds].sort(), ['3', undefined]);
    assert.equal(outcome.body, eventText(1, 6));
    assert.equal(outcome.isBroken, false);
  });

  // Guards against streams that are broken off although a further endpoint may go on with them.
  it('resumes an interrupted stream elsewhere if an endpoint answers with an error', async () => {
    const outcome = await forwardTo({...resumableRoute, attempts: 3}, [
      streamEvents(1, 3, 'cut'),
      respondWith('no', 500),
      streamEvents(4, 6, 'whole'),
    ]);
    assert.equal(outcome.body, eventText(1, 6));
    assert.equal(outcome.isBroken, false);
    assert.equal(outcome.receivedCount, 3);
  });

  // Guards against an error of an endpoint in the middle of a stream.
  it('breaks an interrupted stream off if the last endpoint answers with an error', async () => {
    const outcome = await forwardTo(resumableRoute, [
      streamEvents(1, 3, 'cut'),
      respondWith('no', 500),
      streamEvents(4, 6, 'whole'),
    ]);
    assert.equal(outcome.body, eventText(1, 3));
    assert.ok(outcome.isBroken);
    assert.equal(outcome.receivedCount, 2);
  });

  it('does not end an interrupted stream as if it were complete', async () => {
    const outcome = await forwardTo(streamRoute, [streamEvents(1, 3, 'cut')]);
    assert.equal(outcome.body, eventText(1, 3));
    assert.ok(outcome.isBroken);
    assert.equal(outcome.receivedCount, 1);
  });

  // Guards against streams that look complete although the process of their endpoint ended in them.
  it('resumes a stream elsewhere if its unmarked end is not confirmed', async () => {
    const outcome = await forwardTo(
      resumableRoute,
      [streamEvents(1, 2, 'unmarked'), streamEvents(3, 5, 'whole')],
      undefined,
      undefined,
      {isRunningAfterEnd: false},
    );
    assert.equal(outcome.body, eventText(1, 5));
    assert.ok(!outcome.isBroken);
    assert.deepEqual(outcome.lastEventIds, [undefined, '2']);
  });

  it('completes a stream whose unmarked end is confirmed', async () => {
    const outcome = await forwardTo(resumableRoute, [
      streamEvents(1, 2, 'unmarked'),
    ]);
    assert.equal(outcome.body, eventText(1, 2));
    assert.ok(!outcome.isBroken);
    assert.equal(outcome.receivedCount, 1);
  });

  it('continues a migrated stream at its new endpoint', async () => {
    const outcome = await forwardTo(
      streamRoute,
      [streamEvents(1, 3, 'cut'), streamEvents(4, 6, 'whole')],
      createOneTimeMigrator(),
    );
    assert.equal(outcome.body, eventText(1, 6));
    assert.equal(outcome.isBroken, false);
  });

  // Guards against migrated streams that reach an endpoint while it rests.
  it('does not continue a migrated stream at an endpoint that rests', async () => {
    const [plain, resumable] = await Promise.all(
      [streamRoute, resumableRoute].map(route =>
        forwardTo(
          route,
          [streamEvents(1, 3, 'cut'), streamEvents(4, 6, 'whole')],
          createOneTimeMigrator(),
          () => true,
        ),
      ),
    );
    assert.equal(plain!.receivedCount, 1);
    assert.ok(plain!.isBroken);
    assert.equal(resumable!.body, eventText(1, 6));
    assert.deepEqual(
      new Set(resumable!.lastEventIds),
      new Set([undefined, '3']),
    );
  });

  it('aborts a migrated stream if its new endpoint declines it', async () => {
    // The endpoint with the copied KV cache declines the stream, for example
    // because it crashed and another process answers at its address. A third
    // endpoint would run the request from its start, and the caller would
    // receive two joined responses.
    const outcome = await forwardTo(
      streamRoute,
      [streamEvents(1, 3, 'cut'), declineRequest, streamEvents(1, 6, 'whole')],
      createOneTimeMigrator(),
    );
    assert.equal(outcome.body, eventText(1, 3));
    assert.ok(outcome.isBroken);
    assert.equal(outcome.receivedCount, 2);
  });
});
