import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createVirtualClock, seededRandom} from '@skylarkfield/base';
import type {EngineEstimate} from '@skylarkfield/capacity';
import {createDemandEstimator} from '../demandEstimator.js';
import {answerWork, promptWork, workMs, ZERO_WORK} from '../engineWork.js';
import {countSlotsInUse, estimateSlotDemand} from '../slotDemand.js';
import {createWorkMeter} from '../workMeter.js';

/** A prompt takes 100 ms, an answer of 300 tokens 3 s. */
const ESTIMATE = {
  promptTokenMs: 0.1,
  pairsMs: 0,
  rereadTokenMs: 0,
  stepMs: 10,
  requestStepMs: 0.1,
  contextStepMs: 0,
  isSure: true,
} as EngineEstimate;
const DEMAND = {
  model: 'm',
  promptTokens: 1_000,
  mostOutputTokens: 1,
  parts: [],
};
const TICK_MS = 50;
const BOOT_MS = 4_000;

/**
 * Plays two minutes of 8 requests per second, 10 in the first 3 s of every 10 s,
 * on endpoints that follow the need after their boot time. Returns the results
 * of the second minute.
 */
function playLoad(slots: number) {
  const clock = createVirtualClock();
  const random = seededRandom(7);
  const meter = createWorkMeter(clock);
  const estimator = createDemandEstimator(clock);
  const timeEstimator = createDemandEstimator(clock);
  let endsAt: number[] = [];
  const needs: {readonly slots: number; readonly time: number}[] = [];
  let waiting = 0;
  let waitMs = 0;
  let usedSum = 0;
  let countedSum = 0;
  for (let atMs = 0; atMs < 120_000; atMs += TICK_MS) {
    const endpoints = needs.at(-BOOT_MS / TICK_MS)?.slots ?? 2;
    const runningCount = endsAt.length;
    endsAt = endsAt.filter(endAt => endAt > atMs);
    const endedCount = runningCount - endsAt.length;
    meter.record('chat', answerWork(DEMAND, 300 * endedCount));
    const perTick = ((atMs % 10_000 < 3_000 ? 10 : 8) * TICK_MS) / 1_000;
    if (random.next() < perTick) {
      meter.record('chat', promptWork(DEMAND));
      waiting += 1;
    }
    const utilization = (perTick * 100) / TICK_MS / endpoints;
    for (; waiting > 0 && endsAt.length < endpoints * slots; waiting--) {
      endsAt.push(atMs + 3_100 / (1 - utilization));
    }
    waitMs += atMs < 60_000 ? 0 : waiting * TICK_MS;
    const work = meter.rates()['chat'] ?? ZERO_WORK;
    const signals = {
      workRate: workMs(work, ESTIMATE),
      use: {usual: 0.5, brief: 0.6},
      readyEndpoints: endpoints,
      latePart: 0,
      // Full slots may make the estimate uncertain.
      isSure: atMs < 90_000,
    };
    const slotDemand = estimateSlotDemand(work, ESTIMATE, slots);
    needs.push({
      slots: estimator.update({...signals, slotDemand}).usual,
      time: timeEstimator.update(signals).usual,
    });
    if (slotDemand !== undefined && atMs >= 60_000) {
      usedSum += endsAt.length;
      countedSum += countSlotsInUse(slotDemand, endpoints);
    }
    clock.advanceSync(TICK_MS);
  }
  return {
    waitMs,
    countRatio: countedSum / usedSum,
    needs: needs.slice(needs.length / 2),
  };
}

// Load: long answers in bursts on engines of 12 slots that spend a fifth of
// their time on prompts. By time alone, all slots were in use and requests
// waited for whole answers. A need that follows bursts, or falls
// when the estimate becomes uncertain, would release needed endpoints.
it('covers the slots in use without waits or oscillation', () => {
  const {waitMs, countRatio, needs} = playLoad(12);
  const counts = needs.map(need => need.slots);
  assert.equal(waitMs, 0);
  assert.ok(Math.abs(countRatio - 1) < 0.1, `${countRatio}`);
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, `${counts}`);
  assert.ok(Math.max(...counts) <= 7, `${counts}`);
});

// The same load on engines with more slots, which are limited by their time:
// further endpoints would cost money without effect.
it('does not change the need of engines with more than 12 slots', () => {
  const {needs} = playLoad(13);
  assert.ok(needs.every(need => need.slots === need.time));
});
