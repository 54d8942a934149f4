/** Measures the decode step time of an engine from the events of a stream. */
import type {Clock} from '@skylarkfield/base';

export interface StepMeter {
  recordEvent(): void;
  eventCount(): number;
  /** Returns milliseconds between events; undefined before the second. */
  eventIntervalMs(): number | undefined;
}

/** Interval below which events count as read together, in milliseconds. */
const COALESCED_MS = 0.5;

/**
 * Quantile of the gaps that is taken as the step time. It is low since gaps are
 * longer while the engine processes a prompt, most of the time under load.
 */
const STEP_QUANTILE = 0.25;

/**
 * Creates a meter for one stream.
 *
 * @example
 * steps.recordEvent();
 * const stepMs = steps.eventIntervalMs();
 */
export function createStepMeter(clock: Clock): StepMeter {
  const gaps: number[] = [];
  let eventCount = 0;
  let coalescedCount = 0;
  let lastAt: number | undefined;

  return {
    recordEvent() {
      const now = clock.now();
      eventCount += 1;
      if (lastAt === undefined) {
        lastAt = now;
        return;
      }
      coalescedCount += 1;
      if (now - lastAt < COALESCED_MS) {
        return;
      }
      gaps.push((now - lastAt) / coalescedCount);
      coalescedCount = 0;
      lastAt = now;
    },
    eventCount: () => eventCount,
    eventIntervalMs() {
      const sorted = [...gaps].sort((a, b) => a - b);
      return sorted[Math.floor(sorted.length * STEP_QUANTILE)];
    },
  };
}
