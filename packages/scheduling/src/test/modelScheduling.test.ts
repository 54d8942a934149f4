import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {onTime, playStreams, type PlayedStream} from './playedEngines.js';

const ENGINE_COUNT = 30;
const CLASS_NAMES = ['question', 'long', 'tag'] as const;
type ClassName = (typeof CLASS_NAMES)[number];

function assertOnTime(
  streams: readonly PlayedStream[],
  least: Readonly<Record<ClassName, number>>,
  label: string,
): void {
  for (const name of CLASS_NAMES) {
    const share = onTime(streams.filter(stream => stream.name === name));
    assert.ok(share >= least[name], `${label}, ${name}: ${share.toFixed(3)}`);
  }
}

/** Times of prompts that the scheduler is told, by the usual time. */
const ESTIMATES: Readonly<Record<string, (usualMs: number) => number>> = {
  true: usualMs => usualMs,
  low: usualMs => usualMs / 10,
  high: usualMs => usualMs * 10,
  quadratic: usualMs => usualMs * (1 + usualMs / 20),
};

describe('createServiceScheduler with engines', () => {
  // Guards against requests that wait in the scheduler while engines have room, since their hosts report to be slow or prompts seem long.
  it('places at once at a third of the capacity', () => {
    for (const [name, estimateMs] of Object.entries(ESTIMATES)) {
      for (const reportsSpeed of [false, true]) {
        const streams = playStreams({
          seed: 1,
          estimateMs,
          reportsSpeed,
          engineCount: ENGINE_COUNT,
          endMs: 8_000,
          loadAt: () => 1 / 3,
        });
        const label = `${name} estimates, reported speed: ${reportsSpeed}`;
        assertOnTime(streams, {question: 0.95, long: 0.95, tag: 0.95}, label);
        const longestMs = Math.max(
          ...streams.map(({decidedMs = Infinity}) => decidedMs),
        );
        assert.ok(longestMs < 10, `${label}: decided after ${longestMs} ms`);
      }
    }
  });

  // Guards against the most urgent class being late behind long prompts, and against a starved class: 0.8 of the capacity.
  it('keeps the most urgent class on time at 0.8 of the capacity', () => {
    for (const [name, estimateMs] of Object.entries(ESTIMATES)) {
      const streams = playStreams({
        seed: 2,
        estimateMs,
        engineCount: ENGINE_COUNT,
        endMs: 10_000,
        loadAt: () => 0.8,
      });
      const label = `${name} estimates`;
      assertOnTime(streams, {question: 0.95, long: 0.6, tag: 0.6}, label);
    }
  });

  // Guards against a class that gets no starts, and against requests that are held after their caller has left: one class beyond the capacity.
  it('gives each class its share while one floods the engines', () => {
    for (const flooding of CLASS_NAMES) {
      const streams = playStreams({
        seed: 1,
        engineCount: 15,
        endMs: 6_000,
        loadAt: (_, name) => (name === flooding ? 6 : 0.4),
      });
      const placed = streams.filter(({speed}) => speed !== undefined);
      for (const name of CLASS_NAMES) {
        const own = placed.filter(stream => stream.name === name);
        const sent = streams.filter(stream => stream.name === name);
        // Seven in a hundred starts, or seven in ten of its requests.
        const share = own.length / Math.min(placed.length, 10 * sent.length);
        assert.ok(share >= 0.07, `${flooding}, ${name}: ${share.toFixed(3)}`);
      }
      const isHeld = streams.some(
        ({result, speed}) => result === 'left' && speed === undefined,
      );
      assert.ok(!isHeld, `${flooding}: a request was held for too long`);
    }
  });
});
