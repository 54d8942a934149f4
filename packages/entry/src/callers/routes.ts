/** Route matching, which decides whether a plain call is idempotent. */
import type {Route, Service} from '@skylarkfield/records';

/** Safe methods of RFC 9110, idempotent unless a matching route denies it. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Properties of the route that a call matches. */
export interface RouteMatch {
  /**
   * Label in the evidence for version moves; the service record bounds the
   * number of labels.
   */
  readonly label: string;
  readonly isIdempotent: boolean;
}

/**
 * Returns the route with the longest matching prefix; of routes with the same
 * prefix, a route for one method precedes the route for `*`.
 *
 * @example
 * matchRoute(service, 'POST', '/bookings').isIdempotent; // false
 */
export function matchRoute(
  service: Service,
  method: string,
  path: string,
): RouteMatch {
  const bestRoute = service.routes
    .filter(route => isMatch(route, method, path))
    .sort(compareSpecificity)[0];
  if (bestRoute === undefined) {
    return {label: 'other', isIdempotent: SAFE_METHODS.has(method)};
  }
  return {
    label: `${bestRoute.method} ${bestRoute.pathPrefix}`,
    isIdempotent: bestRoute.isIdempotent,
  };
}

function isMatch(route: Route, method: string, path: string): boolean {
  if (route.method !== '*' && route.method !== method) {
    return false;
  }
  return path.startsWith(route.pathPrefix);
}

function compareSpecificity(a: Route, b: Route): number {
  const lengthDifference = b.pathPrefix.length - a.pathPrefix.length;
  if (lengthDifference !== 0) {
    return lengthDifference;
  }
  return Number(a.method === '*') - Number(b.method === '*');
}
