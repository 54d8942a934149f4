/** Simulated engines in four failure domains, one of which is reclaimed. */
import {setMaxListeners} from 'node:events';
import {seededRandom, type VirtualClock} from '@skylarkfield/base';
import type {Engine} from '@skylarkfield/endpoints';
import type {Candidate} from '@skylarkfield/routing';
import {
  createSimulatedEngine,
  createLocalEngine,
  type SimulatedEngine,
} from '@skylarkfield/standins';

/** Way in which a failure domain is lost. */
export type Reclaim =
  | {readonly type: 'notice'; readonly noticeMs: number}
  /** Processes exit; connections break at once. */
  | {readonly type: 'crash'}
  /** Hosts stop responding; connections stay open. */
  | {readonly type: 'silence'};

export interface FleetEndpoint {
  readonly candidate: Candidate;
  readonly url: string;
  readonly engine: Engine;
  readonly simulatedEngine: SimulatedEngine;
  readonly leaving: AbortController;
  /** Monotonic time at which the endpoint is gone, in milliseconds. */
  goneAt: number | undefined;
}

const REPLICAS = 8;
const FAILURE_DOMAINS = ['a', 'b', 'c', 'd'];
export const RECLAIMED_DOMAIN = 'b';

/**
 * Creates the endpoints of the fleet.
 *
 * @example
 * const fleet = createEngineFleet(clock, 1);
 */
export function createEngineFleet(
  clock: VirtualClock,
  seed: number,
): FleetEndpoint[] {
  const enginesByUrl = new Map<string, SimulatedEngine>();
  return Array.from({length: REPLICAS}, (_, index) => {
    const url = `model://r${index}`;
    const random = seededRandom(seed * 31 + index);
    const leaving = new AbortController();
    setMaxListeners(0, leaving.signal);
    const model = createSimulatedEngine({clock, random, version: 'v1'});
    enginesByUrl.set(url, model);
    return {
      candidate: {
        id: `r${index}`,
        service: 'assistant',
        version: 'v1',
        failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
        host: `h${index}`,
        type: 'model',
      },
      url,
      engine: createLocalEngine({
        clock,
        simulatedEngine: model,
        resolve: source => enginesByUrl.get(source),
      }),
      simulatedEngine: model,
      leaving,
      goneAt: undefined,
    };
  });
}

/**
 * Reclaims the failure domain, after the notice period if there is one.
 *
 * @example
 * reclaimDomain(clock, fleet, {type: 'crash'}, markLeaving);
 */
export function reclaimDomain(
  clock: VirtualClock,
  fleet: readonly FleetEndpoint[],
  reclaim: Reclaim,
  markLeaving: (endpoint: string) => void,
): void {
  const reclaimed = fleet.filter(
    ({candidate}) => candidate.failureDomain === RECLAIMED_DOMAIN,
  );
  if (reclaim.type === 'silence') {
    reclaimed.forEach(({simulatedEngine}) =>
      simulatedEngine.setFaults([{type: 'pause'}]),
    );
    return;
  }
  const noticeMs = reclaim.type === 'notice' ? reclaim.noticeMs : 0;
  if (reclaim.type === 'notice') {
    for (const endpoint of reclaimed) {
      endpoint.goneAt = clock.now() + noticeMs;
      markLeaving(endpoint.candidate.id);
      endpoint.leaving.abort();
    }
  }
  clock.after(noticeMs, () => {
    for (const {simulatedEngine} of reclaimed) {
      simulatedEngine.setFaults([{type: 'down'}]);
      simulatedEngine.dispose();
    }
  });
}
