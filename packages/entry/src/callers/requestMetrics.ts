/** Request metrics, and classification of errors for version moves. */
import type {ErrorKind, Meter, ServingError} from '@skylarkfield/base';

/** Type of a request; `none` when it was rejected before its type was known. */
export type RequestType = 'model' | 'plain' | 'none';

/** Result of a completed request. */
export interface CompletedRequest {
  readonly service: string;
  readonly type: RequestType;
  /** `ok` or the kind of the error. */
  readonly result: string;
  readonly durationMs: number;
}

export interface RequestMetrics {
  begin(): void;
  end(completed: CompletedRequest): void;
  firstToken(service: string, latencyMs: number): void;
  recomputed(service: string, tokens: number): void;
}

/** Label of unknown services; callers' made-up names must not become labels. */
const UNKNOWN_SERVICE = 'unknown';

/**
 * Creates the instruments; label sets are bounded by the services in force.
 *
 * @example
 * const metrics = createRequestMetrics(meter, isKnownService);
 */
export function createRequestMetrics(
  meter: Meter,
  isKnownService: (service: string) => boolean,
): RequestMetrics {
  const active = meter.createUpDownCounter('http.server.active_requests');
  const duration = meter.createHistogram('http.server.request.duration', {
    unit: 's',
    advice: {explicitBucketBoundaries: durationBucketsSeconds()},
  });
  const firstToken = meter.createHistogram(
    'gen_ai.server.time_to_first_token',
    {unit: 's', advice: {explicitBucketBoundaries: durationBucketsSeconds()}},
  );
  const recomputed = meter.createCounter('skylarkfield.recomputed_tokens');
  const serviceLabel = (service: string) =>
    isKnownService(service) ? service : UNKNOWN_SERVICE;
  return {
    begin: () => active.add(1),
    end(completed) {
      active.add(-1);
      duration.record(completed.durationMs / 1000, {
        service: serviceLabel(completed.service),
        type: completed.type,
        result: completed.result,
      });
    },
    firstToken(service, latencyMs) {
      firstToken.record(latencyMs / 1000, {service: serviceLabel(service)});
    },
    recomputed(service, tokens) {
      if (tokens > 0) {
        recomputed.add(tokens, {service: serviceLabel(service)});
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
