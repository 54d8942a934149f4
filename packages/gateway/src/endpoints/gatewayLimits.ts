/** Limits on the requests that a gateway sends to single endpoints. */
import {
  combineLimits,
  createRateLimits,
  createRests,
  createSlotShares,
  createWarmUps,
  type EndpointLimits,
  type RateLimits,
  type Rests,
  type Router,
  type SlotShares,
  type WarmUps,
} from '@skylarkfield/routing';
import type {ServiceConfig} from '@skylarkfield/traffic';
import type {GatewayContext} from '../context.js';
import type {Coordination} from '../process/coordination.js';
import type {EndpointDirectory} from './endpointDirectory.js';

export interface GatewayLimits {
  readonly rateLimits: RateLimits;
  readonly warmUps: WarmUps;
  readonly slotShares: SlotShares;
  readonly rests: Rests;
  /** All limits together. */
  readonly combined: EndpointLimits;
  /** Splits the limits among the current entries. */
  updateEntries(): void;
  /** Applies added and removed endpoints. */
  updateEndpoints(): void;
}

/**
 * Creates the limits of a gateway. The router and the directory are created
 * after the limits, which they use.
 *
 * @example
 * const limits = createGatewayLimits(context, membership, {router: () =>
 *   router, directory: () => directory, findService, onDidChangeSlots});
 */
export function createGatewayLimits(
  {settings, clock, random, decisions, dumps}: GatewayContext,
  membership: Coordination['membership'],
  options: {
    router(): Router;
    directory(): EndpointDirectory;
    findService(name: string): ServiceConfig | undefined;
    /** Called when the slots of a service's endpoints are split or no longer. */
    onDidChangeSlots(): void;
  },
): GatewayLimits {
  const {router, directory, findService} = options;
  const rateLimits = createRateLimits({clock, self: settings.id, decisions});
  const warmUps = createWarmUps({
    clock,
    self: settings.id,
    decisions,
    bound: settings.warmUpBound,
    isEntryListKnown: () => membership.entryCount() !== undefined,
    configOf: endpoint =>
      findService(directory().get(endpoint)?.service ?? '')?.warmUp,
  });
  const slotShares = createSlotShares({
    clock,
    self: settings.id,
    decisions,
    endpoint: key => directory().slotted(key),
    endpointIdsOf: service =>
      directory()
        .probeTargets(service)
        .map(({id}) => id),
    ownRequestsAt: endpoint => router().ownRequestsAt(endpoint),
    onDidChange: options.onDidChangeSlots,
  });
  const rests = createRests({clock, random, decisions});
  dumps.add('rests', () => rests.dump());
  dumps.add('limits', () => rateLimits.dump());
  dumps.add('warmUps', () => warmUps.dump());
  dumps.add('slotShares', () => slotShares.dump());
  return {
    rateLimits,
    warmUps,
    slotShares,
    rests,
    combined: combineLimits([rateLimits, warmUps, slotShares, rests]),
    updateEntries() {
      rateLimits.setEntries(membership.liveMembers().map(({id}) => id));
      // Draining entries still send requests, and suspected ones may.
      const knownIds = membership.members().map(({id}) => id);
      warmUps.setEntries(knownIds);
      slotShares.setEntries(knownIds);
    },
    updateEndpoints() {
      rateLimits.retainEndpoints(
        new Set(
          router()
            .assignedEndpoints()
            .map(({id}) => id),
        ),
      );
      slotShares.recordEndpointsChanged();
      rests.retainEndpoints({
        has: key => directory().get(key) !== undefined,
      });
    },
  };
}
