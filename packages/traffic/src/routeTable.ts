/** Finds the route of a request. */
import type {Route, TrafficPolicy} from './contracts.js';

export interface RouteTable {
  /** The route with the longest path prefix of that authority; undefined when none matches. */
  match(authority: string, path: string): Route | undefined;
}

/**
 * Makes the table of a policy's routes.
 *
 * @example
 * const table = createRouteTable(policy.routes);
 * const route = table.match('shop.example', '/orders/7?full=1');
 */
export function createRouteTable(routes: TrafficPolicy['routes']): RouteTable {
  const byAuthority = new Map<string, Route[]>();
  for (const route of routes) {
    const authority = normalize(route.authority);
    const known = byAuthority.get(authority) ?? [];
    known.push(route);
    byAuthority.set(authority, known);
  }
  for (const known of byAuthority.values()) {
    known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    match(authority, path) {
      const known = byAuthority.get(normalize(authority));
      const pathname = withoutQuery(path);
      return known?.find(route => pathname.startsWith(route.pathPrefix));
    },
  };
}

/** Authorities compare without case and without a port. */
function normalize(authority: string): string {
  return authority.toLowerCase().replace(/:\d+$/, '');
}

function withoutQuery(path: string): string {
  const at = path.indexOf('?');
  return at < 0 ? path : path.slice(0, at);
}
