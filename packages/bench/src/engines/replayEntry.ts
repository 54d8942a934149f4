/** Request decisions of one entry, composed as in the gateway. */
import {
  decisionLog,
  silentLogger,
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

/** Service of all requests. */
export const SERVICE = 'chat';

const REPORTER_TIMEOUT_MS = 1_200;

/** Quota window; replayed requests have no quota. */
const QUOTA_WINDOW_MS = 8_000;

const emptyMirror = {
  revision: 0,
  changedAt: 0,
  confirmedAgoMs: -1,
  isReader: false,
};

export interface ReplayEntry {
  readonly id: string;
  readonly router: Router;
  readonly engines: EngineEstimates;
  readonly observer: EngineObserver;
  digest(): Digest;
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
  const log = silentLogger();
  const reports = createPeerReports({
    clock,
    failureDomain: 'a',
    reporterTimeoutMs: REPORTER_TIMEOUT_MS,
    quotaWindowMs: QUOTA_WINDOW_MS,
  });
  const targets = kinds.map(({goalMs, deadlineMs}) => ({
    goalMs,
    timeoutMs: deadlineMs,
  }));
  const engines = createEngineEstimates({
    clock,
    reports,
    log,
    restored: () => ({}),
    isModel: () => true,
    latencyTargets: () => targets,
  });
  const router = createRouter({
    clock,
    random,
    decisions: decisionLog(clock, log),
    failureDomain: 'a',
    self: id,
    weightsOf: service => engines.routeWeights(service),
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
    model: engines.model,
    clock,
    estimateFor: engines.estimateFor,
    tokensPerEvent: () => profile.tokensPerEvent,
    fits: () => true,
    onDidReread() {},
  });
  return {
    id,
    router,
    engines,
    observer,
    digest: () => ({
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
      work: engines.work.rates(),
      outcomes: engines.outcomes.counts(),
      capacity: engines.model.stats(),
    }),
    acceptDigest(peer, digest) {
      if (reports.accept(peer, digest) !== undefined) {
        router.reportEntryLoads(peer, digest.loads);
      }
    },
  };
}
