import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {inTime, playLoad, type PlayedAttempt} from './playedLoad.js';

const SEEDS = [1, 2, 3];

function sentBetween(
  attempts: readonly PlayedAttempt[],
  fromMs: number,
  toMs: number,
): PlayedAttempt[] {
  return attempts.filter(({sentAt}) => sentAt >= fromMs && sentAt < toMs);
}

describe('createServiceScheduler under load', () => {
  // Guards against the last urgency being rejected while slots are idle: 220 and 320 of 400 places a second.
  it('serves every urgency in time at 0.55 and 0.8 of the capacity', async () => {
    for (const perSecond of [220, 320]) {
      for (const seed of SEEDS) {
        const attempts = await playLoad({
          phases: [{endMs: 12_000, perSecond}],
          seed,
        });
        for (const urgency of [0, 1, 2]) {
          const own = attempts.filter(attempt => attempt.urgency === urgency);
          assert.ok(inTime(own) >= 0.95, `urgency ${urgency}: ${inTime(own)}`);
        }
      }
    }
  });

  // Guards against a burst whose queue makes all answers late, and that outlasts its cause: 800 a second for 4 s.
  it('uses the capacity in a burst and recovers with its end', async () => {
    for (const seed of SEEDS) {
      const attempts = await playLoad({
        phases: [
          {endMs: 4_000, perSecond: 220},
          {endMs: 8_000, perSecond: 800},
          {endMs: 12_000, perSecond: 220},
        ],
        seed,
      });
      const burst = sentBetween(attempts, 4_000, 8_000);
      const after = sentBetween(attempts, 8_000, 12_000);
      const timely = inTime(burst) * burst.length;
      assert.ok(timely >= 1_300, `in time in the burst: ${timely}`);
      assert.ok(inTime(after) >= 0.9, `in time after it: ${inTime(after)}`);
      const retryAfters = attempts.flatMap(
        ({retryAfterMs}) => retryAfterMs ?? [],
      );
      assert.ok(Math.max(...retryAfters) <= 12_000);
      const last = burst.filter(({urgency}) => urgency === 2);
      assert.ok(inTime(last) >= 0.05, `last urgency: ${inTime(last)}`);
    }
  });

  // Guards against requests that wait at a host that is slow for a moment: one of four at four times its time, in turn.
  it('keeps requests away from hosts that are slow', async () => {
    for (const seed of SEEDS) {
      const attempts = await playLoad({
        phases: [{endMs: 16_000, perSecond: 220}],
        seed,
        onTick(nowMs, setFactor) {
          const slow = Math.floor(nowMs / 3_000) % 4;
          [0, 1, 2, 3].forEach(index =>
            setFactor(`i-${index}`, index === slow ? 4 : 1),
          );
        },
      });
      const atSlow = attempts.filter(
        ({sentAt, endpoint}) =>
          endpoint === `i-${Math.floor(sentAt / 3_000) % 4}`,
      );
      assert.ok(inTime(attempts) >= 0.985, `in time: ${inTime(attempts)}`);
      const share = atSlow.length / attempts.length;
      assert.ok(share <= 0.035, `share of the slow host: ${share}`);
    }
  });

  // Guards against requests that are lost or late for long after the scheduling entry is replaced by one that knows nothing.
  it('goes on when another entry schedules without knowledge', async () => {
    const attempts = await playLoad({
      phases: [{endMs: 8_000, perSecond: 320}],
      seed: 1,
      onDidStart: (clock, replaceScheduler) =>
        void clock.after(4_000, replaceScheduler),
    });
    const after = sentBetween(attempts, 4_000, 8_000);
    assert.ok(inTime(after) >= 0.95, `in time: ${inTime(after)}`);
  });
});
