/** Routing policies: the router of the routing package, and baselines. */
import {
  createDecisionLog,
  createSilentLogger,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import {rendezvousOrder} from '@skylarkfield/base';
import type {CacheEvent, LoadReport} from '@skylarkfield/endpoints';
import {
  createRouter,
  type Candidate,
  type Choice,
  type RoutingRequest,
  type RouteWeights,
} from '@skylarkfield/routing';

/** Routing policy of one entry. */
export interface Policy {
  choose(routingRequest: RoutingRequest): Choice;
  reportLoad(endpoint: string, report: LoadReport): void;
  /** Applies cache events; returns the last applied sequence number. */
  reportCache(endpoint: string, events: readonly CacheEvent[]): number;
}

export interface PolicyOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Id of the entry. */
  readonly self: string;
  readonly failureDomain: string;
  readonly endpoints: readonly Candidate[];
  /** Number of prompt blocks that all callers share, for prefix hashing. */
  readonly sharedBlocks: number;
  readonly weights?: Partial<RouteWeights>;
}

export type PolicyName =
  | 'roundRobin'
  | 'leastLoaded'
  | 'prefixHash'
  | 'skylarkfield';

function createPlainChoice(endpoint: string, finish = () => {}): Choice {
  return {
    endpoint,
    cachedTokens: 0,
    loadBefore: {requests: 0, pendingTokens: 0, contextTokens: 0},
    slowness: () => 1,
    tokensAhead: 0,
    recordStart() {},
    recordFirstToken() {},
    finish,
  };
}

function createRoundRobinPolicy(options: PolicyOptions): Policy {
  const ids = options.endpoints.map(({id}) => id);
  let nextIndex = options.random.integer(0, ids.length - 1);
  return {
    choose: () => createPlainChoice(ids[nextIndex++ % ids.length]!),
    reportLoad() {},
    reportCache: () => -1,
  };
}

/** Chooses by last reported load plus the requests sent since that report. */
function createLeastLoadedPolicy(options: PolicyOptions): Policy {
  const {random} = options;
  const ids = options.endpoints.map(({id}) => id);
  const loads = new Map(ids.map(id => [id, 0]));
  return {
    choose() {
      const minLoad = Math.min(...loads.values());
      const chosenId = random.pick(
        ids.filter(id => loads.get(id) === minLoad),
      )!;
      loads.set(chosenId, minLoad + 1);
      return createPlainChoice(chosenId);
    },
    reportLoad(endpoint, report) {
      loads.set(endpoint, report.running + report.waiting);
    },
    reportCache: () => -1,
  };
}

/** Hashes a prompt up to the first block that not all callers share. */
function createPrefixHashPolicy(options: PolicyOptions): Policy {
  const ids = options.endpoints.map(({id}) => id);
  return {
    choose(routingRequest) {
      const {blocks} = routingRequest;
      const blockIndex = Math.min(options.sharedBlocks, blocks.length - 1);
      return createPlainChoice(
        rendezvousOrder(blocks[blockIndex] ?? '', ids)[0]!,
      );
    },
    reportLoad() {},
    reportCache: () => -1,
  };
}

function createSkylarkfieldPolicy(options: PolicyOptions): Policy {
  const {clock, random, self, failureDomain, weights} = options;
  const router = createRouter({
    clock,
    random,
    decisions: createDecisionLog(clock, createSilentLogger()),
    failureDomain,
    self,
    ...(weights === undefined ? {} : {weights}),
  });
  router.setEndpoints(options.endpoints);
  return {
    choose(routingRequest) {
      const choice = router.choose(routingRequest);
      if (choice === undefined) {
        throw new Error('the router found no usable endpoint');
      }
      return choice;
    },
    reportLoad: (endpoint, report) => router.recordLoadReport(endpoint, report),
    reportCache: (endpoint, events) =>
      router.applyCacheEvents(endpoint, events),
  };
}

export const policies: Readonly<
  Record<PolicyName, (options: PolicyOptions) => Policy>
> = {
  roundRobin: createRoundRobinPolicy,
  leastLoaded: createLeastLoadedPolicy,
  prefixHash: createPrefixHashPolicy,
  skylarkfield: createSkylarkfieldPolicy,
};
