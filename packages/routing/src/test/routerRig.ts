/** Test rig: a router with a few endpoints and a virtual clock. */
import {
  createDecisionLog,
  seededRandom,
  createSilentLogger,
  createVirtualClock,
} from '@skylarkfield/base';
import type {AttemptResult, LoadReport} from '@skylarkfield/endpoints';
import type {Candidate, RoutingRequest} from '../contracts.js';
import {createRouter} from '../router.js';

export function candidate(id: string, failureDomain = 'a'): Candidate {
  return {
    id,
    service: 's',
    version: 'v1',
    failureDomain,
    host: `h-${id}`,
    type: 'model',
  };
}

export function routingRequest(
  overrides: Partial<RoutingRequest> = {},
): RoutingRequest {
  return {
    service: 's',
    version: 'v1',
    blocks: [],
    promptTokens: 0,
    excluded: new Set(),
    ...overrides,
  };
}

export function loadReport(overrides: Partial<LoadReport> = {}): LoadReport {
  return {
    sequence: 1,
    running: 0,
    waiting: 0,
    slots: 8,
    waitingPromptTokens: 0,
    cacheUse: 0,
    attempts: [],
    ...overrides,
  };
}

export function createRig(endpoints: readonly Candidate[]) {
  const clock = createVirtualClock();
  const decisions = createDecisionLog(clock, createSilentLogger());
  const router = createRouter({
    clock,
    random: seededRandom(5),
    decisions,
    failureDomain: 'a',
    self: 'e1',
  });
  router.setEndpoints(endpoints);

  /** Sends requests one by one; returns their number by chosen endpoint. */
  function sendRequests(
    count: number,
    outcomeOf: (endpoint: string) => AttemptResult['outcome'],
  ): Map<string, number> {
    const counts = new Map<string, number>();
    for (let index = 0; index < count; index++) {
      const choice = router.choose(routingRequest());
      if (choice === undefined) {
        continue;
      }
      const {endpoint} = choice;
      counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
      choice.finish({outcome: outcomeOf(endpoint), latencyMs: 30});
    }
    return counts;
  }

  function healthOf(id: string): string | undefined {
    const {endpoints: dumpedEndpoints} = router.dump() as {
      endpoints: {id: string; health: string}[];
    };
    return dumpedEndpoints.find(endpoint => endpoint.id === id)?.health;
  }

  return {clock, router, decisions, sendRequests, healthOf};
}
