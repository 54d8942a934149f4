/** Request metrics, and classification of errors as faults of a version. */
import type {ErrorKind, Meter, ServingError} from '@skylarkfield/base';

/** Type of a request; `none` if rejected before the type was determined. */
export type RequestType = 'model' | 'plain' | 'none';

/** Result of a completed request. */
export interface CompletedRequest {
  readonly service: string;
  readonly type: RequestType;
  /** `ok` or the error kind. */
  readonly result: string;
  readonly durationMs: number;
}

export interface RequestMetrics {
  recordStart(): void;
  recordEnd(completedRequest: CompletedRequest): void;
  /** Records the time from the arrival of a request to its first token. */
  recordFirstToken(service: string, latencyMs: number): void;
  /** Records the tokens that later attempts of a request computed again. */
  recordRecomputedTokens(service: string, tokens: number): void;
}

/** Label of services without a record: made-up names must not become labels. */
const UNKNOWN_SERVICE = 'unknown';

/**
 * Creates the instruments; the number of label sets is bounded by the number of
 * service records in force.
 *
 * @example
 * const metrics = createRequestMetrics(meter, isKnownService);
 */
export function createRequestMetrics(
  meter: Meter,
  isKnownService: (service: string) => boolean,
): RequestMetrics {
  const activeRequests = meter.createUpDownCounter(
    'http.server.active_requests',
  );
  const requestDuration = meter.createHistogram(
    'http.server.request.duration',
    {
      unit: 's',
      advice: {explicitBucketBoundaries: durationBucketsSeconds()},
    },
  );
  const firstTokenLatency = meter.createHistogram(
    'gen_ai.server.time_to_first_token',
    {unit: 's', advice: {explicitBucketBoundaries: durationBucketsSeconds()}},
  );
  const recomputedTokens = meter.createCounter(
    'skylarkfield.recomputed_tokens',
  );
  const serviceLabel = (service: string) =>
    isKnownService(service) ? service : UNKNOWN_SERVICE;
  return {
    recordStart: () => activeRequests.add(1),
    recordEnd(completedRequest) {
      activeRequests.add(-1);
      requestDuration.record(completedRequest.durationMs / 1000, {
        service: serviceLabel(completedRequest.service),
        type: completedRequest.type,
        result: completedRequest.result,
      });
    },
    recordFirstToken(service, latencyMs) {
      firstTokenLatency.record(latencyMs / 1000, {
        service: serviceLabel(service),
      });
    },
    recordRecomputedTokens(service, tokens) {
      if (tokens > 0) {
        recomputedTokens.add(tokens, {service: serviceLabel(service)});
      }
    },
  };
}

function durationBucketsSeconds(): number[] {
  return [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10,
    30,
  ];
}

/** Error kinds attributed to the version, not to the caller or the entry. */
const VERSION_FAULT_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'endpoint-failed',
  'interrupted',
  'outcome-unknown',
]);

/**
 * Returns whether an error is evidence against the version that served the
 * request. A deadline counts only if it passed after the request was sent:
 * requests to a hung version fail in this way.
 *
 * @example
 * isVersionFault(new ServingError('endpoint-failed', 'status 500')); // true
 */
export function isVersionFault(error: ServingError): boolean {
  if (error.kind === 'deadline-exceeded') {
    return error.run === 'may-have-run';
  }
  return VERSION_FAULT_KINDS.has(error.kind);
}
