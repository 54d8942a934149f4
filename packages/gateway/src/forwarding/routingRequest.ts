/** Routing requests of calls. */
import type {Router} from '@skylarkfield/routing';
import {countOwnTokens} from '@skylarkfield/traffic';
import type {ForwardedCall} from './forwardedCall.js';

type RoutingRequest = Parameters<Router['choose']>[0];

/**
 * Returns the routing request of a call to the endpoints of its version group.
 *
 * @example
 * const choice = router.choose(createRoutingRequest(call, new Set(), false));
 */
export function createRoutingRequest(
  call: ForwardedCall,
  excluded: ReadonlySet<string>,
  isSuspected: boolean,
): RoutingRequest {
  const {demand} = call.head;
  return {
    service: call.service,
    version: call.version,
    blocks: call.promptKeys,
    promptTokens: demand?.promptTokens ?? 0,
    ...(demand && {ownTokens: countOwnTokens(demand)}),
    ...(call.urgency !== undefined && {urgency: call.urgency}),
    regions: call.regions,
    preferred: call.placement?.endpoint,
    excluded,
    isSuspected,
  };
}
