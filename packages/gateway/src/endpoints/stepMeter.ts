/** Measures the decode step time of an engine from the events of a stream. */
import type {Clock} from '@skylarkfield/base';

export interface StepMeter {
  /**
   * Records that an event has arrived now, from a host on which work takes
   * `slowness` times as long as usual; 1 when absent.
   */
  recordEvent(slowness?: number): void;
  eventCount(): number;
  /**
   * Returns the interval between events without prompt processing, in
   * milliseconds, as on a host that is not slow; undefined before the second
   * event.
   */
  eventIntervalMs(): number | undefined;
}

/**
 * Minimum interval of events that count as read separately, in milliseconds.
 */
const MIN_EVENT_INTERVAL_MS = 0.5;

/**
 * Quantile of the intervals between events that is taken as the step time. It
 * is low because intervals are longer while the engine processes a prompt,
 * which under load it does most of the time.
 */
const STEP_QUANTILE = 0.25;

/**
 * Creates a meter for one stream.
 *
 * @example
 * stepMeter.recordEvent();
 * const intervalMs = stepMeter.eventIntervalMs();
 */
export function createStepMeter(clock: Clock): StepMeter {
  const eventIntervalsMs: number[] = [];
  let eventCount = 0;
  let coalescedCount = 0;
  let lastReadAt: number | undefined;

  return {
    recordEvent(slowness = 1) {
      const now = clock.now();
      eventCount += 1;
      if (lastReadAt === undefined) {
        lastReadAt = now;
        return;
      }
      coalescedCount += 1;
      if (now - lastReadAt < MIN_EVENT_INTERVAL_MS) {
        return;
      }
      eventIntervalsMs.push((now - lastReadAt) / coalescedCount / slowness);
      coalescedCount = 0;
      lastReadAt = now;
    },
    eventCount: () => eventCount,
    eventIntervalMs() {
      const sortedIntervalsMs = [...eventIntervalsMs].sort((a, b) => a - b);
      return sortedIntervalsMs[
        Math.floor(sortedIntervalsMs.length * STEP_QUANTILE)
      ];
    },
  };
}
