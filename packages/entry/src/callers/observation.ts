/** Request metrics and the evidence that version moves are judged by. */
import type {ErrorKind, Meter, ServingError} from '@skylarkfield/base';

/** What a request turned out to be; `none` when it was refused before that was known. */
export type RequestType = 'model' | 'plain' | 'none';

/** How one request of a caller ended. */
export interface RequestEnd {
  readonly service: string;
  readonly type: RequestType;
  /** `ok` or the kind of the error. */
  readonly result: string;
  readonly durationMs: number;
}

export interface RequestMetrics {
  begin(): void;
  end(end: RequestEnd): void;
  firstToken(service: string, latencyMs: number): void;
  recomputed(service: string, tokens: number): void;
}

/** A service name that no record has must not become a label: callers could make up any number. */
const UNKNOWN_SERVICE = 'unknown';

/**
 * Makes the instruments; label sets are bounded by the services in force.
 *
 * @example
 * const metrics = createRequestMetrics(meter, name => configuration.get('service', name) !== undefined);
 */
export function createRequestMetrics(
  meter: Meter,
  isKnown: (service: string) => boolean,
): RequestMetrics {
  const active = meter.createUpDownCounter('http.server.active_requests');
  const duration = meter.createHistogram('http.server.request.duration', {
    unit: 's',
    advice: {explicitBucketBoundaries: durationBounds()},
  });
  const firstToken = meter.createHistogram(
    'gen_ai.server.time_to_first_token',
    {unit: 's', advice: {explicitBucketBoundaries: durationBounds()}},
  );
  const recomputed = meter.createCounter('skylarkfield.recomputed_tokens');
  const label = (service: string) =>
    isKnown(service) ? service : UNKNOWN_SERVICE;
  return {
    begin: () => active.add(1),
    end(end) {
      active.add(-1);
      duration.record(end.durationMs / 1000, {
        service: label(end.service),
        type: end.type,
        result: end.result,
      });
    },
    firstToken(service, latencyMs) {
      firstToken.record(latencyMs / 1000, {service: label(service)});
    },
    recomputed(service, tokens) {
      if (tokens > 0) {
        recomputed.add(tokens, {service: label(service)});
      }
    },
  };
}

function durationBounds(): number[] {
  return [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10,
    30,
  ];
}

/** Error kinds that speak against the version that served, not against the caller or the entry. */
const VERSION_FAULTS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'endpoint-failed',
  'interrupted',
  'outcome-unknown',
]);

/**
 * Whether an error is evidence against the version that served the request.
 * A version that hangs shows as deadlines that pass after the request was sent;
 * one that passes before says nothing about it.
 *
 * @example
 * isVersionFault(new ServingError('endpoint-failed', 'status 500')); // true
 */
export function isVersionFault(error: ServingError): boolean {
  if (error.kind === 'deadline-exceeded') {
    return error.run === 'may-have-run';
  }
  return VERSION_FAULTS.has(error.kind);
}
