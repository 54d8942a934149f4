/** Matches requests to routes. */
import type {Route, TrafficPolicy} from './contracts.js';

/** Routes by authority and path prefix. */
export interface RouteTable {
  /**
   * Returns the route of the authority with the longest matching path prefix;
   * undefined if no route matches.
   */
  match(authority: string, path: string): Route | undefined;
}

/**
 * Creates the table of a policy's routes.
 *
 * @example
 * const table = createRouteTable(policy.routes);
 * const route = table.match('shop.example', '/orders/7?full=1');
 */
export function createRouteTable(routes: TrafficPolicy['routes']): RouteTable {
  const routesByAuthority = new Map<string, Route[]>();
  for (const route of routes) {
    const authority = normalizeAuthority(route.authority);
    const authorityRoutes = routesByAuthority.get(authority) ?? [];
    authorityRoutes.push(route);
    routesByAuthority.set(authority, authorityRoutes);
  }
  for (const authorityRoutes of routesByAuthority.values()) {
    authorityRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    match(authority, path) {
      const authorityRoutes = routesByAuthority.get(
        normalizeAuthority(authority),
      );
      const pathname = stripQuery(path);
      return authorityRoutes?.find(route =>
        pathname.startsWith(route.pathPrefix),
      );
    },
  };
}

/** Lowercases an authority and removes its port. */
function normalizeAuthority(authority: string): string {
  return authority.toLowerCase().replace(/:\d+$/, '');
}

function stripQuery(path: string): string {
  const queryStart = path.indexOf('?');
  return queryStart < 0 ? path : path.slice(0, queryStart);
}
