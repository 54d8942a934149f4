/** Converts the result of a request into evidence about its version. */
import type {ErrorKind} from '@skylarkfield/base';
import {isRepeatable} from '@skylarkfield/traffic';
import {isServerError} from '../attempts/attemptOutcome.js';
import type {
  ForwardedCall,
  ForwardingResult,
} from '../forwarding/forwardedCall.js';
import type {MeasuredCall} from './eventIntervalObserver.js';
import type {RolloutSample} from './rolloutController.js';

/**
 * Errors that are no evidence about the version: the caller disconnected, this
 * entry stopped, no endpoint had capacity, or the request was quarantined.
 */
const NEUTRAL_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'cancelled',
  'leaving',
  'overloaded',
  'endpoint-unavailable',
  'quarantined',
]);

/**
 * Returns the evidence from one request; undefined if the request is no
 * evidence about the version, as one that waited for an endpoint that stood still
 * and then went on. A request that an endpoint failed or declined counts as an
 * error, even if another one answered it. The delay by a slow host, which is not
 * due to the version, is left out.
 *
 * @example
 * const sample = sampleOf(call, result);
 */
export function sampleOf(
  {
    service,
    version,
    route,
  }: Pick<ForwardedCall, 'service' | 'version' | 'route'>,
  result: ForwardingResult,
): RolloutSample | undefined {
  const {error, status, hasFailedAttempt, peers, firstByteMs} = result;
  const {
    hasWaitedForStill = false,
    stillEndpoints = [],
    hostDelayMs = 0,
  } = result;
  // The entry that took the request over has the evidence.
  if (peers !== undefined) {
    return undefined;
  }
  if (error !== undefined && NEUTRAL_ERRORS.has(error.kind)) {
    return undefined;
  }
  const isError =
    error !== undefined || isServerError(status) || hasFailedAttempt === true;
  const isDoubtful = !isError && stillEndpoints.length > 0;
  if (!isError && !isDoubtful && hasWaitedForStill) {
    return undefined;
  }
  return {
    service,
    group: version,
    route: route.name,
    isError: isError || isDoubtful,
    ...(isDoubtful && {stillEndpoints}),
    latencyMs: (firstByteMs ?? 0) - hostDelayMs,
    isRepeatable: isRepeatable(route),
  };
}

/**
 * Returns the evidence from a stream; `intervalMs` is the mean interval of its
 * events, in milliseconds.
 *
 * @example
 * recordSample(eventIntervalSampleOf(call, 33));
 */
export function eventIntervalSampleOf(
  {service, version, route}: MeasuredCall,
  intervalMs: number,
): RolloutSample {
  return {
    service,
    group: version,
    route: route.name,
    measure: 'eventInterval',
    isError: false,
    latencyMs: intervalMs,
    isRepeatable: isRepeatable(route),
  };
}
