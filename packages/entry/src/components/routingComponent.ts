/** Router of this entry. */
import type {Membership} from '@skylarkfield/members';
import {createRouter, type Router} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';

/**
 * Creates the router, adds its state to the dump, and updates the router with
 * the live entries, among which the endpoints of large services are divided.
 *
 * @example
 * const router = createRoutingComponent(context, membership);
 */
export function createRoutingComponent(
  context: EntryContext,
  membership: Pick<Membership, 'liveMembers' | 'onDidChange'>,
): Router {
  const {settings, clock, random, decisions, dumps} = context;
  const router = createRouter({
    clock,
    random,
    decisions,
    failureDomain: settings.failureDomain,
    self: settings.id,
  });
  const updateEntries = () =>
    router.setEntries(membership.liveMembers().map(({id}) => id));
  updateEntries();
  membership.onDidChange(updateEntries);
  dumps.add('routing', () => router.dump());
  return router;
}
