/** Simulated entry: routing, engine estimates and digests as in the gateway. */
import {
  createDecisionLog,
  createSilentLogger,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import {
  createEngineObserver,
  createEngineEstimates,
  createPeerReports,
  type EngineObserver,
  type EngineEstimates,
} from '@skylarkfield/gateway';
import type {Messages} from '@skylarkfield/protocol';
import {createRouter, type Router} from '@skylarkfield/routing';
import type {EngineProfile, RequestKind} from './profiles.js';

type Digest = Messages['digest'];

/** Name of the service that all replayed requests call. */
export const SERVICE = 'chat';

const REPORTER_TIMEOUT_MS = 1_200;

/** Window of the quotas; replayed requests have no quota. */
const QUOTA_WINDOW_MS = 8_000;

/** State of a mirror without records, for the digests. */
const emptyMirror = {
  revision: 0,
  changedAt: 0,
  confirmedAgoMs: -1,
  isReader: false,
};

export interface ReplayEntry {
  readonly id: string;
  readonly router: Router;
  readonly estimates: EngineEstimates;
  readonly observer: EngineObserver;
  createDigest(): Digest;
  acceptDigest(peer: string, digest: Digest): void;
}

/**
 * Creates an entry that routes to the given engines.
 *
 * @example
 * const entry = createReplayEntry({
 *   id: 'e1', engineIds, profile, kinds, clock, random,
 * });
 */
export function createReplayEntry(options: {
  readonly id: string;
  readonly engineIds: readonly string[];
  readonly profile: EngineProfile;
  readonly kinds: readonly RequestKind[];
  readonly clock: Clock;
  readonly random: Random;
}): ReplayEntry {
  const {id, clock, random, profile, kinds} = options;
  const log = createSilentLogger();
  const reports = createPeerReports({
    clock,
    failureDomain: 'a',
    reporterTimeoutMs: REPORTER_TIMEOUT_MS,
    quotaWindowMs: QUOTA_WINDOW_MS,
  });
  const latencyTargets = kinds.map(({goalMs, deadlineMs}) => ({
    goalMs,
    timeoutMs: deadlineMs,
  }));
  const estimates = createEngineEstimates({
    clock,
    reports,
    log,
    restored: () => ({}),
    isModel: () => true,
    engineSlots: () => profile.slots,
    latencyTargets: () => latencyTargets,
  });
  const router = createRouter({
    clock,
    random,
    decisions: createDecisionLog(clock, log),
    failureDomain: 'a',
    self: id,
    weightOverrides: service => estimates.routeWeights(service),
  });
  router.setEndpoints(
    options.engineIds.map(engine => ({
      id: engine,
      service: SERVICE,
      version: 'v1',
      failureDomain: 'a',
      host: engine,
      type: 'model',
    })),
  );
  const observer = createEngineObserver({
    model: estimates.model,
    clock,
    estimateFor: estimates.estimateFor,
    tokensPerEvent: () => profile.tokensPerEvent,
    fitsKvCache: () => true,
    onDidRecompute() {},
  });
  return {
    id,
    router,
    estimates,
    observer,
    createDigest: () => ({
      scope: 'own',
      failureDomain: 'a',
      incarnation: 1,
      stamp: clock.now(),
      wallMs: clock.wall(),
      mirrors: {
        policy: emptyMirror,
        endpoints: emptyMirror,
        rollouts: emptyMirror,
      },
      usage: {},
      entries: 1,
      used: {},
      loads: router.ownLoads(),
      work: estimates.work.rates(),
      outcomes: estimates.outcomes.counts(),
      capacity: estimates.model.stats(),
    }),
    acceptDigest(peer, digest) {
      if (reports.acceptDigest(peer, digest) !== undefined) {
        router.recordEntryLoads(peer, digest.loads);
      }
    },
  };
}
