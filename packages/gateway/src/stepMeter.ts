/** Measures the decode step time of an engine from the events of a stream. */
import type {Clock} from '@skylarkfield/base';

export interface StepMeter {
  noteEvent(): void;
  eventCount(): number;
  /** Returns milliseconds between events; undefined before the second. */
  eventIntervalMs(): number | undefined;
}

/** Events closer than this were read late together, in milliseconds. */
const COALESCED_MS = 0.5;

/**
 * Gaps are longer while the engine processes a prompt, which is most of the
 * time under load; a low quantile shows a step alone.
 */
const STEP_QUANTILE = 0.25;

/**
 * Creates a meter for one stream.
 *
 * @example
 * steps.noteEvent();
 * const stepMs = steps.eventIntervalMs();
 */
export function createStepMeter(clock: Clock): StepMeter {
  const gaps: number[] = [];
  let events = 0;
  let coalesced = 0;
  let lastAt: number | undefined;

  return {
    noteEvent() {
      const now = clock.now();
      events += 1;
      if (lastAt === undefined) {
        lastAt = now;
        return;
      }
      coalesced += 1;
      if (now - lastAt < COALESCED_MS) {
        return;
      }
      gaps.push((now - lastAt) / coalesced);
      coalesced = 0;
      lastAt = now;
    },
    eventCount: () => events,
    eventIntervalMs() {
      const sorted = [...gaps].sort((a, b) => a - b);
      return sorted[Math.floor(sorted.length * STEP_QUANTILE)];
    },
  };
}
