/** The router of this entry. */
import {createRouter, type Router} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';

/**
 * Makes the router and shows its state in the dump.
 *
 * @example
 * const router = createRoutingPart(context);
 */
export function createRoutingPart(context: EntryContext): Router {
  const {settings, clock, random, decisions, dumps} = context;
  const router = createRouter({
    clock,
    random,
    decisions,
    failureDomain: settings.failureDomain,
    self: settings.id,
  });
  dumps.add('routing', () => router.dump());
  return router;
}
