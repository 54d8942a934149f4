/** The router of this entry. */
import type {Membership} from '@skylarkfield/members';
import {createRouter, type Router} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';

/**
 * Makes the router, tells it which entries share the endpoints, and shows its
 * state in the dump.
 *
 * @example
 * const router = createRoutingPart(context, membership);
 */
export function createRoutingPart(
  context: EntryContext,
  membership: Pick<Membership, 'live' | 'onDidChange'>,
): Router {
  const {settings, clock, random, decisions, dumps} = context;
  const router = createRouter({
    clock,
    random,
    decisions,
    failureDomain: settings.failureDomain,
    self: settings.id,
  });
  const shareOut = () => router.setEntries(membership.live().map(({id}) => id));
  shareOut();
  membership.onDidChange(shareOut);
  dumps.add('routing', () => router.dump());
  return router;
}
