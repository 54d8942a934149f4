/** Counters and latency histograms of callers' requests. */
import type {ErrorKind, Meter} from '@skylarkfield/base';

/** One request as the metrics count it. */
export interface RequestObservation {
  readonly service: string | undefined;
  readonly kind: ErrorKind | 'ok';
  /** Milliseconds to the first byte or event; undefined when none came. */
  readonly firstMs: number | undefined;
  readonly tookMs: number;
}

export interface RequestMetrics {
  note(observation: RequestObservation): void;
}

/** Bucket bounds in milliseconds: from a quick plain answer to the longest timeout. */
const BOUNDARIES_MS = [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000];

/**
 * Makes the metrics. Services are the only label with names from outside, and
 * the policy bounds their number.
 *
 * @example
 * metrics.note({service: 'booking', kind: 'ok', firstMs: 21, tookMs: 23});
 */
export function createRequestMetrics(meter: Meter): RequestMetrics {
  const requests = meter.createCounter('skylarkfield.gateway.requests', {
    description: 'Requests by service and outcome',
  });
  const advice = {explicitBucketBoundaries: BOUNDARIES_MS};
  const first = meter.createHistogram('skylarkfield.gateway.first', {
    unit: 'ms',
    advice,
    description: 'Time from the first send to the first byte or event',
  });
  const whole = meter.createHistogram('skylarkfield.gateway.duration', {
    unit: 'ms',
    advice,
    description: 'Time from arrival to the end of the answer',
  });
  return {
    note({service = '', kind, firstMs, tookMs}) {
      requests.add(1, {service, kind});
      whole.record(tookMs, {service});
      if (firstMs !== undefined) {
        first.record(firstMs, {service});
      }
    },
  };
}
