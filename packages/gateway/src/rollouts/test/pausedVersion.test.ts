import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {startVirtualRollout, type VirtualRollout} from './virtualRollout.js';

/** Number of callers, each with one stream at a time. */
const CALLER_COUNT = 24;
/** Lengths of silences after which streams are tried elsewhere, in ms. */
const PAUSES_MS = [1_400, 1_500];
/** Longer than the period of the rollout, in milliseconds. */
const DECISION_MS = 16_000;

/** Times of the pause after the start of the rollout, in milliseconds. */
const PAUSE_TIMES_MS = [
  500, 1_000, 1_500, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000,
];

/** Ways in which the replicas of a version are at fault. */
const FAULTS: Readonly<
  Record<string, (rollout: VirtualRollout) => Promise<void>>
> = {
  'break off three of ten streams': async ({replicas, newAddresses}) =>
    replicas.setBreakRate(newAddresses, 0.3),
  'are three times slower': async ({replicas, newAddresses}) =>
    replicas.setSlowness(newAddresses, 3),
  'are ten times slower': async ({replicas, newAddresses}) =>
    replicas.setSlowness(newAddresses, 10),
  'stand still for good': async ({clock, replicas, newAddresses}) => {
    await clock.advance(2_000);
    replicas.pause(newAddresses);
  },
  'stand still every other second': async ({clock, replicas, newAddresses}) => {
    for (let count = 0; count < 7; count++) {
      replicas.pause(newAddresses);
      await clock.advance(1_000);
      replicas.resume(newAddresses);
      await clock.advance(1_000);
    }
  },
};

describe('rollout of a version', () => {
  for (const pauseMs of PAUSES_MS) {
    for (const pauseAtMs of PAUSE_TIMES_MS) {
      // Guards against the rollback of a sound version whose replicas paused once.
      it(`is completed although its replicas pause once for ${pauseMs} ms after ${pauseAtMs} ms`, async () => {
        const rollout = startVirtualRollout(1);
        const {clock, replicas, newAddresses} = rollout;
        rollout.startCallers(CALLER_COUNT);
        await clock.advance(pauseAtMs);
        replicas.pause(newAddresses);
        await clock.advance(pauseMs);
        replicas.resume(newAddresses);
        await clock.advance(DECISION_MS);
        assert.equal(rollout.state(), 'done', rollout.why());
        assert.deepEqual(rollout.partialStreams(), []);
      });
    }
  }

  for (const [fault, cause] of Object.entries(FAULTS)) {
    // Guards against a faulty version that is taken for one whose hosts paused.
    it(`is undone if its replicas ${fault}`, async () => {
      const rollout = startVirtualRollout(1);
      rollout.startCallers(CALLER_COUNT);
      await cause(rollout);
      await rollout.clock.advance(DECISION_MS);
      assert.equal(rollout.state(), 'rolled-back', rollout.why());
    });
  }
});
