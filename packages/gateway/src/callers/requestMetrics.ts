/** Counters and latency histograms of callers' requests and of endpoints' reports. */
import type {ErrorKind, Logger, Meter, Metrics} from '@skylarkfield/base';
import type {QuotaGrant} from '@skylarkfield/traffic';
import type {SendObservation} from '../forwarding/sendLog.js';

/** Measurements of one request. */
export interface RequestObservation {
  readonly service: string | undefined;
  readonly kind: ErrorKind | 'ok';
  /**
   * Milliseconds from the start of forwarding to the first byte or event;
   * undefined if none arrived.
   */
  readonly firstByteMs: number | undefined;
  /**
   * Milliseconds from the arrival of the request to the end of its response.
   */
  readonly tookMs: number;
  /** Whether an endpoint closed its connection on the request. */
  readonly hasLostEndpoint?: boolean;
}

/** Decision on a request of a customer with a quota. */
export interface QuotaObservation {
  readonly outcome: QuotaGrant['outcome'];
  /** Age of the oldest report of a peer at this entry, in milliseconds. */
  readonly reportAgeMs: number;
  /** Time that the request waited for the decision, in milliseconds. */
  readonly waitedMs: number;
}

/** Decision of a scheduler on a request. */
export interface PlacementObservation {
  readonly service: string;
  readonly request: {readonly urgency: number; readonly route: string};
  readonly outcome: 'placed' | 'no-room' | 'waited-in-vain';
  /** Time for which the request waited at the scheduler, in milliseconds. */
  readonly waitedMs: number;
  /** Whether the latency target had become unreachable. */
  readonly isLate: boolean;
  /** Whether the urgency got less than its minimum share of the starts. */
  readonly isShort: boolean;
}

/** What an endpoint has reported of itself: that it leaves, or wants a rest. */
export type ReportKind = 'leaving' | 'rest';

export interface RequestMetrics {
  record(observation: RequestObservation): void;
  countReport(kind: ReportKind): void;
  countSend(observation: SendObservation): void;
  recordQuotaDecision(observation: QuotaObservation): void;
  recordPlacement(observation: PlacementObservation): void;
  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string>;
  shutDown(): Promise<void>;
}

/** Histogram bounds in milliseconds, from fast responses to long timeouts. */
const BOUNDARIES_MS = [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 10_000];

/** Histogram bounds of waits for a decision on a quota, in milliseconds. */
const QUOTA_BOUNDARIES_MS = [1, 2, 5, 10, 25, 50, 100, 200, 400];

/** Number of buffered observations at which the metrics SDK is loaded. */
const MAX_BUFFERED_OBSERVATIONS = 4_096;

/**
 * Creates the metrics. The SDK is loaded when the metrics are first rendered or
 * the buffer is full, so that a restarted process serves callers before it
 * spends time on loading the SDK. The only label with names from outside is the
 * service; the policy bounds the number of services.
 *
 * @example
 * const metrics = createRequestMetrics(() => createMetrics('skylarkfield'),
 *   log);
 * metrics.record({service: 'booking', kind: 'ok', firstByteMs: 21,
 *   tookMs: 23});
 */
export function createRequestMetrics(
  loadSdk: () => Promise<Metrics>,
  log: Logger,
): RequestMetrics {
  let bufferedObservations: Observation[] = [];
  let metricsPromise: Promise<Metrics> | undefined;
  let recordObservation = (observation: Observation): void => {
    bufferedObservations.push(observation);
    if (bufferedObservations.length >= MAX_BUFFERED_OBSERVATIONS) {
      loadMetricsOnce().catch(error => {
        log.warn(
          {reason: String(error), dropped: bufferedObservations.length},
          'loading the metrics SDK failed',
        );
        bufferedObservations = [];
      });
    }
  };

  async function loadMetrics(): Promise<Metrics> {
    const metrics = await loadSdk();
    recordObservation = createRecorder(metrics.meter);
    bufferedObservations.forEach(recordObservation);
    bufferedObservations = [];
    return metrics;
  }

  function loadMetricsOnce(): Promise<Metrics> {
    metricsPromise ??= loadMetrics();
    return metricsPromise;
  }

  return {
    record: observation => recordObservation(observation),
    countReport: kind => recordObservation(kind),
    countSend: observation => recordObservation(observation),
    recordQuotaDecision: observation => recordObservation(observation),
    recordPlacement: observation => recordObservation(observation),
    async render() {
      const metrics = await loadMetricsOnce();
      return metrics.render();
    },
    async shutDown() {
      const metrics = await metricsPromise;
      await metrics?.shutDown();
    },
  };
}

type Observation =
  | RequestObservation
  | QuotaObservation
  | PlacementObservation
  | SendObservation
  | ReportKind;

function createRecorder(meter: Meter): (observation: Observation) => void {
  const requests = meter.createCounter('skylarkfield.gateway.requests', {
    description: 'Requests by service and outcome',
  });
  const advice = {explicitBucketBoundaries: BOUNDARIES_MS};
  const timeToFirstByte = meter.createHistogram('skylarkfield.gateway.first', {
    unit: 'ms',
    advice,
    description: 'Time from the first send to the first byte or event',
  });
  const duration = meter.createHistogram('skylarkfield.gateway.duration', {
    unit: 'ms',
    advice,
    description: 'Time from arrival to the end of the answer',
  });
  const reports = meter.createCounter('skylarkfield.gateway.reports', {
    description: 'Endpoints that reported that they leave or want a rest',
  });
  const sends = meter.createCounter('skylarkfield.gateway.sends.again', {
    description: 'Sends of requests after their first one, by reason',
  });
  const losses = meter.createCounter('skylarkfield.gateway.lost', {
    description: 'Requests whose endpoint closed the connection, by progress',
  });
  const reportAge = meter.createHistogram(
    'skylarkfield.gateway.quota.report.age',
    {
      unit: 'ms',
      advice,
      description: 'Age of the oldest peer report at a decision on a quota',
    },
  );
  const quotaWait = meter.createHistogram('skylarkfield.gateway.quota.wait', {
    unit: 'ms',
    advice: {explicitBucketBoundaries: QUOTA_BOUNDARIES_MS},
    description: 'Time that a request waited for the decision on its quota',
  });
  const placements = meter.createCounter('skylarkfield.scheduler.requests', {
    description: 'Decisions of this entry as a scheduler',
  });
  const placementWait = meter.createHistogram('skylarkfield.scheduler.wait', {
    unit: 'ms',
    advice,
    description: 'Time that requests waited at the scheduler for a slot',
  });
  const shortfalls = meter.createCounter('skylarkfield.scheduler.short', {
    description:
      'Rejections while an urgency got less than its share of starts',
  });

  function recordPlacement(observation: PlacementObservation): void {
    const {service, request, outcome, waitedMs, isLate} = observation;
    const labels = {service, urgency: request.urgency};
    placements.add(1, {...labels, outcome: isLate ? 'late' : outcome});
    placementWait.record(waitedMs, {service});
    if (observation.isShort) {
      shortfalls.add(1, labels);
    }
  }

  return observation => {
    if (typeof observation === 'string') {
      reports.add(1, {kind: observation});
      return;
    }
    if ('sendReason' in observation) {
      const {service, sendReason, isRepeatable} = observation;
      sends.add(1, {service, reason: sendReason, repeatable: isRepeatable});
      return;
    }
    if ('isLate' in observation) {
      recordPlacement(observation);
      return;
    }
    if ('outcome' in observation) {
      const {outcome, reportAgeMs, waitedMs} = observation;
      reportAge.record(reportAgeMs, {outcome});
      quotaWait.record(waitedMs, {outcome});
      return;
    }
    const {service = '', kind, firstByteMs, tookMs} = observation;
    requests.add(1, {service, kind});
    if (observation.hasLostEndpoint) {
      const progress = firstByteMs === undefined ? 'not-begun' : 'begun';
      losses.add(1, {service, progress});
    }
    duration.record(tookMs, {service});
    if (firstByteMs !== undefined) {
      timeToFirstByte.record(firstByteMs, {service});
    }
  };
}
