/** What a request that has ended says about the version that served it. */
import type {ErrorKind} from '@skylarkfield/base';
import {isRepeatable} from '@skylarkfield/traffic';
import {isServerError} from './attemptOutcome.js';
import type {ForwardedCall, ForwardingResult} from './forwarding.js';
import type {RolloutSample} from './rolloutController.js';

/** Errors that say nothing of the version: the caller left, or nobody had room. */
const NEUTRAL_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'cancelled',
  'overloaded',
  'endpoint-unavailable',
  'quarantined',
]);

/**
 * The evidence of one request; undefined when it is none. A request that needed
 * a second endpoint was failed by the first.
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
