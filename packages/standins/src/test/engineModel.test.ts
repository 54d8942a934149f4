import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {seededRandom, createVirtualClock} from '@skylarkfield/base';
import type {GenerationRequest, GenerationEvent} from '@skylarkfield/endpoints';
import {generateAnswerTokens, createSimulatedEngine} from '../index.js';

function makeWords(count: number, prefix = 'w'): string {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`).join(
    ' ',
  );
}

function createRequest(
  overrides: Partial<GenerationRequest>,
): GenerationRequest {
  return {
    attempt: 'a1',
    prompt: makeWords(40),
    maxTokens: 20,
    urgency: 3,
    delivered: [],
    seed: 7,
    ...overrides,
  };
}

function setUp(costs = {}) {
  const clock = createVirtualClock();
  const random = seededRandom(1);
  const engine = createSimulatedEngine({clock, random, version: 'v1', costs});
  const events: GenerationEvent[] = [];
  const errors: string[] = [];
  const sink = {
    event: (event: GenerationEvent) => void events.push(event),
    fail: (error: {kind: string}) => void errors.push(error.kind),
  };
  const receivedText = () =>
    events.map(event => (event.type === 'token' ? event.text : '')).join('');
  return {clock, engine, events, errors, sink, receivedText};
}

describe('simulated engine', () => {
  it('continues a resumed answer with the same tokens', async () => {
    const {clock, engine, events, sink, receivedText} = setUp();
    const expected = generateAnswerTokens(makeWords(40), 7, 20);
    engine.submit(createRequest({delivered: expected.slice(0, 5)}), sink);
    await clock.advance(5000);
    assert.equal(receivedText(), expected.slice(5).join(''));
    assert.equal(events.at(-1)?.type, 'end');
  });

  it('prefills only tokens that are not in its prefix cache', async () => {
    const {clock, engine, events, sink} = setUp();
    engine.submit(createRequest({}), sink);
    await clock.advance(5000);
    engine.submit(createRequest({attempt: 'a2', prompt: makeWords(90)}), sink);
    await clock.advance(5000);
    const startEvents = events.filter(event => event.type === 'start');
    assert.deepEqual(
      startEvents.map(event => event.cachedTokens),
      [0, 32],
    );
  });

  it('starts waiting requests in order of urgency', async () => {
    const {clock, engine, events, sink} = setUp({slots: 1});
    engine.submit(createRequest({attempt: 'first'}), sink);
    engine.submit(createRequest({attempt: 'later', urgency: 6}), sink);
    engine.submit(createRequest({attempt: 'urgent', urgency: 0}), sink);
    await clock.advance(60_000);
    const startEvents = events.filter(event => event.type === 'start');
    assert.deepEqual(
      startEvents.map(event => event.attempt),
      ['first', 'urgent', 'later'],
    );
  });

  it('publishes load reports with a lag', async () => {
    const {clock, engine, sink} = setUp({
      reportIntervalMs: 100,
      reportLagMs: 300,
    });
    engine.load();
    await clock.advance(100);
    engine.submit(createRequest({maxTokens: 400}), sink);
    const reportedAttempts = () => engine.load().attempts;
    assert.deepEqual(reportedAttempts(), []);
    await clock.advance(310);
    assert.deepEqual(reportedAttempts(), ['a1']);
  });

  it('imports an exported cache and prefills only the last token', async () => {
    const sourceSetup = setUp();
    const targetSetup = setUp();
    sourceSetup.engine.submit(
      createRequest({maxTokens: 400}),
      sourceSetup.sink,
    );
    await sourceSetup.clock.advance(200);
    const exported = sourceSetup.engine.exportCache('a1');
    assert.ok(exported);
    targetSetup.engine.importCache(exported);
    const delivered = sourceSetup.events.flatMap(event =>
      event.type === 'token' ? [event.text] : [],
    );
    targetSetup.engine.submit(
      createRequest({attempt: 'a2', delivered, importedCache: exported.handle}),
      targetSetup.sink,
    );
    await targetSetup.clock.advance(200);
    const [start] = targetSetup.events;
    assert.ok(start?.type === 'start');
    assert.equal(start.cachedTokens, 40 + delivered.length - 1);
  });

  it('rejects an order with an outdated fencing token only if the engine checks fencing', () => {
    for (const checksFencing of [true, false]) {
      const clock = createVirtualClock();
      const random = seededRandom(1);
      const engine = createSimulatedEngine({
        clock,
        random,
        version: 'v1',
        checksFencing,
      });
      const sendOrder = (fencing: number) =>
        engine.executeCommand({
          id: `o${fencing}`,
          type: 'set-role',
          target: `role-${fencing}`,
          fencing,
          expiresAt: clock.wall() + 1000,
        });
      sendOrder(5);
      if (checksFencing) {
        assert.throws(() => sendOrder(4), {kind: 'fenced'});
      } else {
        sendOrder(4);
      }
      assert.equal(engine.running().role, checksFencing ? 'role-5' : 'role-4');
    }
  });
});
