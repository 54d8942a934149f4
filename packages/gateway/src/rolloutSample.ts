/** Evidence about a version from the result of a request. */
import type {ErrorKind} from '@skylarkfield/base';
import {isRepeatable} from '@skylarkfield/traffic';
import {isServerError} from './attemptOutcome.js';
import type {ForwardedCall, ForwardingResult} from './forwarding.js';
import type {RolloutSample} from './rolloutController.js';

/** Errors unrelated to the version: a disconnect, no capacity, quarantine. */
const NEUTRAL_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'cancelled',
  'overloaded',
  'endpoint-unavailable',
  'quarantined',
]);

/**
 * Returns the evidence from one request; undefined if there is none. A request
 * that needed a second endpoint counts as an error of the first.
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
  {error, status, endpoints, firstMs}: ForwardingResult,
): RolloutSample | undefined {
  if (error !== undefined && NEUTRAL_ERRORS.has(error.kind)) {
    return undefined;
  }
  const isError =
    error !== undefined || isServerError(status) || endpoints.length > 1;
  return {
    service,
    group: version,
    route: route.name,
    isError,
    latencyMs: firstMs ?? 0,
    isRepeatable: isRepeatable(route),
  };
}
