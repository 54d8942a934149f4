/** Time between the events of a stream while its engine reads no prompt. */
import type {Clock} from '@skylarkfield/base';

export interface StepMeter {
  noteEvent(): void;
  events(): number;
  /** Milliseconds from one event to the next; undefined before the second. */
  eventMs(): number | undefined;
}

/** Events this close came together, in milliseconds: this process read them late. */
const TOGETHER_MS = 0.5;

/**
 * Gaps are longer while the engine reads a prompt, which is most of the time
 * under load; the shorter ones show a step alone.
 */
const REST_QUANTILE = 0.25;

/**
 * Makes a meter for one stream.
 *
 * @example
 * steps.noteEvent();
 * const stepMs = steps.eventMs();
 */
export function createStepMeter(clock: Clock): StepMeter {
  const gaps: number[] = [];
  let events = 0;
  let together = 0;
  let lastAt: number | undefined;

  return {
    noteEvent() {
      const now = clock.now();
      events += 1;
      if (lastAt === undefined) {
        lastAt = now;
        return;
      }
      together += 1;
      if (now - lastAt < TOGETHER_MS) {
        return;
      }
      gaps.push((now - lastAt) / together);
      together = 0;
      lastAt = now;
    },
    events: () => events,
    eventMs() {
      const sorted = [...gaps].sort((a, b) => a - b);
      return sorted[Math.floor(sorted.length * REST_QUANTILE)];
    },
  };
}
