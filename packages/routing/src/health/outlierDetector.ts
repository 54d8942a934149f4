/** Applies outlier detection to an endpoint after each of its outcomes. */
import type {DecisionLog} from '@skylarkfield/base';
import {ejectionReason, liveEndpointsOfLostDomain} from './ejection.js';
import type {EndpointPools, PooledEndpoint} from '../endpointPool.js';

export interface OutlierDetector {
  /**
   * Ejects the endpoint if its recorded outcomes require it, and requires
   * probes of the other endpoints if its failure domain looks lost.
   */
  evaluate(endpoint: PooledEndpoint): void;
  /** Returns the number of ejections since the detector was created. */
  ejectionCount(): number;
}

const PERCENT = 100;

/**
 * Creates a detector that compares each endpoint with the others of its pool.
 *
 * @example
 * endpoint.health.recordOutcome('failed', latencyRatio);
 * outlierDetector.evaluate(endpoint);
 */
export function createOutlierDetector(
  pools: Pick<EndpointPools, 'endpointsOf'>,
  decisions: DecisionLog,
): OutlierDetector {
  let ejectionCount = 0;

  function ejectIfOutlier(
    endpoint: PooledEndpoint,
    pool: readonly PooledEndpoint[],
  ): void {
    const {candidate, health} = endpoint;
    const reason =
      health.state === 'live' ? ejectionReason(endpoint, pool) : undefined;
    if (reason === undefined) {
      return;
    }
    const {failuresInRow, failureRate, slowness} = health.stats;
    decisions.recordDecision('routing', candidate.id, 'eject', reason, {
      failuresInRow,
      failurePercent: Math.round(failureRate * PERCENT),
      slowness: Math.round(slowness * PERCENT) / PERCENT,
    });
    ejectionCount += 1;
    health.eject();
  }

  function requireProbesOfLostDomain(
    endpoint: PooledEndpoint,
    pool: readonly PooledEndpoint[],
  ): void {
    const {failureDomain} = endpoint.candidate;
    for (const other of liveEndpointsOfLostDomain(endpoint, pool)) {
      decisions.recordDecision(
        'routing',
        other.candidate.id,
        'probe first',
        `many endpoints of its failure domain ${failureDomain} are unreachable`,
      );
      other.health.requireProbe();
    }
  }

  return {
    evaluate(endpoint) {
      const {candidate, health} = endpoint;
      const pool = pools.endpointsOf(candidate.service, candidate.version);
      // An ejection resets the statistics.
      const isUnreachable = health.stats.unreachableInRow > 0;
      ejectIfOutlier(endpoint, pool);
      if (isUnreachable) {
        requireProbesOfLostDomain(endpoint, pool);
      }
    },
    ejectionCount: () => ejectionCount,
  };
}
