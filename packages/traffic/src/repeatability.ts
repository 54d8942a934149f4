/** Decides whether requests may run more than once. */
import type {Route} from './contracts.js';

/**
 * Returns whether requests of a route may be sent to another endpoint although
 * they may already have run. This applies to idempotent requests and to
 * resumable streams.
 *
 * @example
 * if (isRepeatable(call.route)) { retry(); }
 */
export function isRepeatable({
  kind,
  isResumable,
}: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return kind === 'idempotent' || isResumable;
}
