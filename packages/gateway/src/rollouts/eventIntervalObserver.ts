/**
 * Measures the intervals between the events of streams as evidence about
 * versions. A version may begin its responses as early as another one and then
 * send their events several times slower.
 */
import type {Clock} from '@skylarkfield/base';
import type {
  EngineObserver,
  ObservedCall,
} from '../endpoints/engineObserver.js';
import type {ForwardedCall} from '../forwarding/forwardedCall.js';

/** The properties of a call that its event interval is evidence about. */
export type MeasuredCall = Pick<ForwardedCall, 'service' | 'version' | 'route'>;

export interface EventIntervalMeter {
  /**
   * Records that an event has arrived now, from a host on which work takes
   * `slowness` times as long as usual; 1 when absent.
   */
  recordEvent(slowness?: number): void;
  recordEnd(): void;
}

/**
 * Number of events after which the interval is reported. It is reported before
 * the end, since the slowest streams would otherwise be reported last or never.
 */
const REPORTED_EVENTS = 8;

/** Minimum number of events of a stream that ended before. */
const MIN_EVENTS = 3;

/**
 * Creates a meter for one stream; `onDidMeasure` is called at most once, with
 * the mean interval of the events in milliseconds, as on a host that is not slow.
 *
 * @example
 * const intervalMeter = createEventIntervalMeter(clock, intervalMs => samples.push(intervalMs));
 */
export function createEventIntervalMeter(
  clock: Clock,
  onDidMeasure: (intervalMs: number) => void,
): EventIntervalMeter {
  let eventCount = 0;
  let firstEventAt = 0;
  let lastEventAt = 0;
  /** Part of the intervals by which a slow host delayed the events. */
  let hostDelayMs = 0;
  let isReported = false;

  function report(): void {
    if (!isReported) {
      isReported = true;
      const usualMs = lastEventAt - firstEventAt - hostDelayMs;
      onDidMeasure(usualMs / (eventCount - 1));
    }
  }

  return {
    recordEvent(slowness = 1) {
      if (isReported) {
        return;
      }
      const now = clock.now();
      if (eventCount === 0) {
        firstEventAt = now;
      } else {
        hostDelayMs += (now - lastEventAt) * (1 - 1 / slowness);
      }
      lastEventAt = now;
      eventCount += 1;
      if (eventCount >= REPORTED_EVENTS) {
        report();
      }
    },
    recordEnd() {
      if (eventCount >= MIN_EVENTS) {
        report();
      }
    },
  };
}

/**
 * Returns an observer that also measures event intervals. Resumed
 * streams are left out: their first events may have been sent before.
 *
 * @example
 * const observer = observeEventIntervals(engineObserver, clock, record);
 */
export function observeEventIntervals(
  engineObserver: EngineObserver,
  clock: Clock,
  onDidMeasure: (call: MeasuredCall, intervalMs: number) => void,
): EngineObserver {
  return {
    ...engineObserver,
    observe(call: ObservedCall & MeasuredCall, choice, isFresh) {
      const observer = engineObserver.observe(call, choice, isFresh);
      if (!isFresh) {
        return observer;
      }
      const intervalMeter = createEventIntervalMeter(clock, intervalMs =>
        onDidMeasure(call, intervalMs),
      );
      return {
        ...observer,
        wrap(sink) {
          const observedSink = observer.wrap(sink);
          return {
            ...observedSink,
            write(frame) {
              intervalMeter.recordEvent(choice.slowness());
              return observedSink.write(frame);
            },
          };
        },
        recordEnd() {
          intervalMeter.recordEnd();
          observer.recordEnd();
        },
      };
    },
  };
}
