/** Router of this entry, and the rests of endpoints that it observes. */
import type {Membership} from '@skylarkfield/members';
import {
  createRests,
  createRouter,
  type Rests,
  type Router,
} from '@skylarkfield/routing';
import type {EntryContext} from '../context.js';

export interface RoutingComponent {
  readonly router: Router;
  readonly rests: Rests;
}

/**
 * Creates the router, adds its state to the dump, and updates the router with
 * the live entries, among which the endpoints of large services are divided.
 *
 * @example
 * const {router, rests} = createRoutingComponent(context, membership);
 */
export function createRoutingComponent(
  context: EntryContext,
  membership: Pick<Membership, 'liveMembers' | 'onDidChange'>,
): RoutingComponent {
  const {settings, clock, random, decisions, dumps} = context;
  const rests = createRests({clock, random, decisions});
  const router = createRouter({
    clock,
    random,
    decisions,
    failureDomain: settings.failureDomain,
    self: settings.id,
    endpointLimits: rests,
  });
  const updateEntries = () =>
    router.setEntries(membership.liveMembers().map(({id}) => id));
  updateEntries();
  membership.onDidChange(updateEntries);
  dumps.add('routing', () => router.dump());
  dumps.add('rests', () => rests.dump());
  return {router, rests};
}
