/** Counters and latency histograms of callers' requests. */
import type {ErrorKind, Logger, Meter, Metrics} from '@skylarkfield/base';

/** Measurements of one request. */
export interface RequestObservation {
  readonly service: string | undefined;
  readonly kind: ErrorKind | 'ok';
  /** Milliseconds to the first byte or event; undefined if none arrived. */
  readonly firstMs: number | undefined;
  readonly tookMs: number;
}

export interface RequestMetrics {
  record(observation: RequestObservation): void;
  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string>;
  shutDown(): Promise<void>;
}

/** Histogram bounds in milliseconds, from fast responses to long timeouts. */
const BOUNDARIES_MS = [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000];

/** Observations buffered before the metrics SDK is loaded. */
const MAX_PENDING = 4_096;

/**
 * Creates the metrics. The SDK is loaded when they are first rendered or
 * the buffer is full, so that a restarted process serves callers first. The
 * policy bounds the number of services, the only label with external names.
 *
 * @example
 * const metrics = createRequestMetrics(() => createMetrics('skylarkfield'),
 *   log);
 * metrics.record({service: 'booking', kind: 'ok', firstMs: 21, tookMs: 23});
 */
export function createRequestMetrics(
  loadSdk: () => Promise<Metrics>,
  log: Logger,
): RequestMetrics {
  let pending: RequestObservation[] = [];
  let loading: Promise<Metrics> | undefined;
  let record = (observation: RequestObservation): void => {
    pending.push(observation);
    if (pending.length >= MAX_PENDING) {
      loadOnce().catch(error => {
        log.warn(
          {reason: String(error), dropped: pending.length},
          'loading the metrics SDK failed',
        );
        pending = [];
      });
    }
  };

  async function loadMetrics(): Promise<Metrics> {
    const metrics = await loadSdk();
    record = createRecorder(metrics.meter);
    pending.forEach(record);
    pending = [];
    return metrics;
  }

  function loadOnce(): Promise<Metrics> {
    loading ??= loadMetrics();
    return loading;
  }

  return {
    record: observation => record(observation),
    async render() {
      const metrics = await loadOnce();
      return metrics.render();
    },
    async shutDown() {
      const metrics = await loading;
      await metrics?.shutDown();
    },
  };
}

function createRecorder(
  meter: Meter,
): (observation: RequestObservation) => void {
  const requests = meter.createCounter('skylarkfield.gateway.requests', {
    description: 'Requests by service and outcome',
  });
  const advice = {explicitBucketBoundaries: BOUNDARIES_MS};
  const first = meter.createHistogram('skylarkfield.gateway.first', {
    unit: 'ms',
    advice,
    description: 'Time from the first send to the first byte or event',
  });
  const duration = meter.createHistogram('skylarkfield.gateway.duration', {
    unit: 'ms',
    advice,
    description: 'Time from arrival to the end of the answer',
  });
  return ({service = '', kind, firstMs, tookMs}) => {
    requests.add(1, {service, kind});
    duration.record(tookMs, {service});
    if (firstMs !== undefined) {
      first.record(firstMs, {service});
    }
  };
}
