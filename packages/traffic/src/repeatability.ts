/** Whether a request may run more than once. */
import type {Route} from './contracts.js';

/**
 * Whether requests of a route may run again at another endpoint although they
 * may have run before: idempotent ones, and streams that can be resumed.
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
