import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock, type QuestionResult} from '@skylarkfield/base';
import type {RouteKind} from '@skylarkfield/traffic';
import {createEndConfirmation} from '../endConfirmation.js';

/** Starts a confirmation whose questions are answered in turn. */
function startConfirmation(
  answers: readonly QuestionResult[],
  kind: RouteKind = 'at-most-once',
) {
  const clock = createVirtualClock();
  const controller = new AbortController();
  let questionCount = 0;
  const endConfirmation = createEndConfirmation({
    probe: async () => answers[questionCount++] ?? 'unanswered',
    clock,
  });
  const result = endConfirmation.confirm(
    '10.0.0.1:80',
    kind,
    controller.signal,
  );
  return {clock, controller, result, questionCount: () => questionCount};
}

describe('confirmation of an unmarked end', () => {
  it('is given by an endpoint that answers after it', async () => {
    const {result, questionCount} = startConfirmation(['answered']);
    assert.equal(await result, true);
    assert.equal(questionCount(), 1);
  });

  // Guards against responses that look complete because the process of their endpoint ended.
  it('is denied if no process listens at the address', async () => {
    const {result} = startConfirmation(['refused', 'answered']);
    assert.equal(await result, false);
  });

  // Guards against processes that close their streams before their port.
  it('of a stream is asked for after a while', async () => {
    const {clock, result, questionCount} = startConfirmation(
      ['answered'],
      'streaming',
    );
    await clock.advance(1);
    assert.equal(questionCount(), 0);
    await clock.advance(1_000);
    assert.equal(await result, true);
  });

  // Guards against whole responses of a paused endpoint that are broken off.
  it('waits while the endpoint is silent', async () => {
    const {clock, result, questionCount} = startConfirmation([
      'unanswered',
      'unanswered',
      'answered',
    ]);
    await clock.advance(1_000);
    assert.equal(await result, true);
    assert.equal(questionCount(), 3);
  });

  // Guards against endpoints that are asked about requests that have ended.
  it('is given up with its attempt', async () => {
    const {clock, controller, result, questionCount} = startConfirmation([]);
    await clock.advance(1);
    controller.abort();
    await clock.advance(1_000);
    assert.equal(await result, false);
    assert.equal(questionCount(), 1);
  });

  // Guards against crowds of connections to an endpoint that resets or ignores them.
  it('shares its questions with those that wait at the same address', async () => {
    const clock = createVirtualClock();
    const resolvers: ((result: QuestionResult) => void)[] = [];
    const {confirm} = createEndConfirmation({
      probe: () => new Promise(resolve => resolvers.push(resolve)),
      clock,
    });
    const ask = () =>
      confirm('10.0.0.1:80', 'at-most-once', new AbortController().signal);
    const first = ask();
    const others = Array.from({length: 40}, ask);
    assert.equal(resolvers.length, 1);
    resolvers[0]!('answered');
    assert.equal(await first, true);
    await clock.advance(1);
    assert.equal(resolvers.length, 2);
    resolvers[1]!('unanswered');
    await clock.advance(1_000);
    assert.equal(resolvers.length, 3);
    resolvers[2]!('refused');
    assert.deepEqual(
      await Promise.all(others),
      others.map(() => false),
    );
    await clock.advance(1_000);
    assert.equal(resolvers.length, 3);
  });
});
