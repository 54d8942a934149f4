/** Whether a call to a plain service may be repeated, by its record's routes. */
import type {Route, Service} from '@skylarkfield/records';

/** Methods that RFC 9110 calls safe: idempotent even where no route says so. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** How a call is to be treated. */
export interface RouteMatch {
  /** Label of the route for evidence and metrics; bounded by the record. */
  readonly label: string;
  readonly isIdempotent: boolean;
}

/**
 * Finds the route of a call: the longest matching prefix, a named method before `*`.
 *
 * @example
 * matchRoute(service, 'POST', '/bookings').isIdempotent; // false
 */
export function matchRoute(
  service: Service,
  method: string,
  path: string,
): RouteMatch {
  const best = service.routes
    .filter(route => isMatch(route, method, path))
    .sort(byPrecision)[0];
  if (best === undefined) {
    return {label: 'other', isIdempotent: SAFE_METHODS.has(method)};
  }
  return {
    label: `${best.method} ${best.pathPrefix}`,
    isIdempotent: best.isIdempotent,
  };
}

function isMatch(route: Route, method: string, path: string): boolean {
  if (route.method !== '*' && route.method !== method) {
    return false;
  }
  return path.startsWith(route.pathPrefix);
}

function byPrecision(a: Route, b: Route): number {
  const byLength = b.pathPrefix.length - a.pathPrefix.length;
  if (byLength !== 0) {
    return byLength;
  }
  return Number(a.method === '*') - Number(b.method === '*');
}
