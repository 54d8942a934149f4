/** Route matching, which decides whether a plain call is idempotent. */
import type {Route, Service} from '@skylarkfield/records';

/** Safe methods of RFC 9110, idempotent unless a route overrides it. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Route of a call. */
export interface RouteMatch {
  /** Label for evidence and metrics; the service record bounds their number. */
  readonly label: string;
  readonly isIdempotent: boolean;
}

/**
 * Returns the route with the longest matching prefix; a named method precedes
 * `*`.
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
    .sort(bySpecificity)[0];
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

function bySpecificity(a: Route, b: Route): number {
  const byLength = b.pathPrefix.length - a.pathPrefix.length;
  if (byLength !== 0) {
    return byLength;
  }
  return Number(a.method === '*') - Number(b.method === '*');
}
