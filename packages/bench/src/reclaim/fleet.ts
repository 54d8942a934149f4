/** Simulated engines in four failure domains, one of which is reclaimed. */
import {setMaxListeners} from 'node:events';
import {seededRandom, type VirtualClock} from '@skylarkfield/base';
import type {Engine} from '@skylarkfield/endpoints';
import type {Candidate} from '@skylarkfield/routing';
import {
  createSimulatedEngine,
  createLocalEngine,
  type EngineFault,
  type SimulatedEngine,
} from '@skylarkfield/standins';

/** Way in which a failure domain is lost; only `notice` is announced. */
export type Reclaim =
  | {readonly type: 'notice'; readonly noticeMs: number}
  /** Processes exit; connections break at once. */
  | {readonly type: 'crash'}
  /** Hosts stop responding; connections stay open. */
  | {readonly type: 'silence'}
  /** Engines of one or all failure domains stop for a while, and go on. */
  | {
      readonly type: 'pause';
      readonly durationMs: number;
      readonly isEverywhere: boolean;
    };

export interface FleetEndpoint {
  readonly candidate: Candidate;
  readonly url: string;
  readonly engine: Engine;
  readonly simulatedEngine: SimulatedEngine;
  /** Aborted when the endpoint gets a reclaim notice. */
  readonly leavingController: AbortController;
  /** Monotonic time of the loss in milliseconds; undefined without a notice. */
  goneAt: number | undefined;
}

const REPLICA_COUNT = 8;
const FAILURE_DOMAINS = ['a', 'b', 'c', 'd'];
const RECLAIMED_DOMAIN = 'b';

/**
 * Creates endpoints with simulated engines, spread over the failure domains.
 *
 * @example
 * const fleet = createEngineFleet(clock, 1);
 */
export function createEngineFleet(
  clock: VirtualClock,
  seed: number,
): FleetEndpoint[] {
  const enginesByUrl = new Map<string, SimulatedEngine>();
  return Array.from({length: REPLICA_COUNT}, (_, index) => {
    const url = `model://r${index}`;
    const random = seededRandom(seed * 31 + index);
    const leavingController = new AbortController();
    setMaxListeners(0, leavingController.signal);
    const simulatedEngine = createSimulatedEngine({
      clock,
      random,
      version: 'v1',
    });
    enginesByUrl.set(url, simulatedEngine);
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
        simulatedEngine,
        resolveEngine: source => enginesByUrl.get(source),
      }),
      simulatedEngine,
      leavingController,
      goneAt: undefined,
    };
  });
}

/** Returns whether an endpoint is lost, or pauses, in a reclaim. */
export function isAffected(
  {candidate}: FleetEndpoint,
  reclaim: Reclaim,
): boolean {
  const isEverywhere = reclaim.type === 'pause' && reclaim.isEverywhere;
  return isEverywhere || candidate.failureDomain === RECLAIMED_DOMAIN;
}

/**
 * Reclaims the affected endpoints: after the notice period for type `notice`,
 * at once for all other types.
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
  const reclaimedEndpoints = fleet.filter(endpoint =>
    isAffected(endpoint, reclaim),
  );
  function setFaults(faults: readonly EngineFault[]) {
    reclaimedEndpoints.forEach(({simulatedEngine}) =>
      simulatedEngine.setFaults(faults),
    );
  }
  if (reclaim.type === 'pause') {
    clock.after(reclaim.durationMs, () => setFaults([]));
  }
  if (reclaim.type === 'silence' || reclaim.type === 'pause') {
    setFaults([{type: 'pause'}]);
    return;
  }
  const noticeMs = reclaim.type === 'notice' ? reclaim.noticeMs : 0;
  if (reclaim.type === 'notice') {
    for (const endpoint of reclaimedEndpoints) {
      endpoint.goneAt = clock.now() + noticeMs;
      markLeaving(endpoint.candidate.id);
      endpoint.leavingController.abort();
    }
  }
  clock.after(noticeMs, () => {
    for (const {simulatedEngine} of reclaimedEndpoints) {
      simulatedEngine.setFaults([{type: 'down'}]);
      simulatedEngine.dispose();
    }
  });
}
