/**
 * Decides whether this entry can reach the endpoints of each service.
 *
 * An entry that has lost its own paths sees the same failures as an entry whose
 * endpoints have failed, one endpoint at a time. The difference shows only when
 * all endpoints are considered together, and other entries are asked: if no
 * endpoint has sent a byte since the oldest unanswered request, none answers a
 * probe, and another entry reaches them, then this entry is cut off, and its
 * failures are no evidence about the endpoints.
 */
import {
  createEmitter,
  type Clock,
  type DecisionLog,
  type Random,
} from '@skylarkfield/base';
import {
  pickProbeTargets,
  probeInTurn,
  type ProbeTarget,
} from './probeTargets.js';
import type {EndpointReach, PeerAnswer} from './reachContracts.js';
import {
  createServicePaths,
  findDoubtfulEndpoints,
  isLost,
  MIN_URGENT_INTERVAL_MS,
  QUIET_MS,
  recoveryDelayMs,
  retainEndpoints,
  roundDueAt,
  type ServicePaths,
} from './servicePaths.js';

/** Time limit of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Maximum number of endpoints probed before the paths count as lost. Several may
 * have failed at the same time although the paths work.
 */
const MAX_PROBES = 8;

/** Endpoints probed in each round while the paths are lost. */
const MAX_RECOVERY_PROBES = 2;

/** Endpoints to which connections fail in a row before `canConnect` is false. */
const MAX_CONNECT_FAILURES = 2;

const LOSS_REASONS: Readonly<Record<PeerAnswer, string>> = {
  reached: 'no endpoint responds here, but another entry reaches them',
  'not-reached': 'no endpoint responds here or to other entries',
  unanswered: 'no endpoint responds here, and no other entry answers',
};

/**
 * Creates the reach of an entry that has not failed to reach any endpoint.
 *
 * @example
 * const reach = createEndpointReach({clock, random, decisions, endpointsOf,
 *   probe, askPeers});
 * const exchange = reach.beginExchange('chat');
 */
export function createEndpointReach(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  /** Returns the endpoints of a service that accept requests. */
  endpointsOf(service: string): readonly ProbeTarget[];
  /**
   * Returns whether the endpoint responds to a probe over a new connection
   * within the timeout, in milliseconds; rejecting counts as no response.
   */
  probe(endpoint: string, timeoutMs: number): Promise<boolean>;
  /** Asks some other entries whether they reach the service. Must not reject. */
  askPeers(service: string): Promise<PeerAnswer>;
}): EndpointReach {
  const {clock, random, decisions} = options;
  const pathsByService = new Map<string, ServicePaths>();
  const cutOffEmitter = createEmitter<string>();
  const regainEmitter = createEmitter<string>();
  const totals = {rounds: 0, probes: 0};
  let isDisposed = false;

  function pathsOf(service: string): ServicePaths {
    const existing = pathsByService.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const paths = createServicePaths(service);
    pathsByService.set(service, paths);
    return paths;
  }

  function settleCallbacks(paths: ServicePaths, isEvidence: boolean): void {
    paths.awaitedSince = Infinity;
    for (const callback of paths.callbacks.splice(0)) {
      callback(isEvidence);
    }
  }

  function recordContact(paths: ServicePaths): void {
    paths.lastContactAt = clock.now();
    const previousState = paths.machine.current;
    if (previousState !== 'reachable') {
      paths.machine.send('regain');
    }
    if (paths.callbacks.length > 0) {
      settleCallbacks(paths, true);
    }
    if (previousState === 'cut-off' || previousState === 'gone') {
      decisions.recordDecision(
        'routing',
        paths.service,
        'endpoints reached again',
        `an endpoint responded while ${previousState}`,
      );
      regainEmitter.fire(paths.service);
    }
  }

  function recordBytes(paths: ServicePaths, endpoint: string): void {
    paths.failedEndpoints.delete(endpoint);
    paths.lastBytesAt.set(endpoint, clock.now());
    recordContact(paths);
  }

  /** Starts a round of probes when it is due; rechecks when its timer fires. */
  function scheduleRound(paths: ServicePaths): void {
    const canStart =
      !isDisposed && !paths.isProbing && paths.machine.current === 'reachable';
    if (!canStart || paths.timer !== undefined) {
      return;
    }
    const dueAt = roundDueAt(paths, clock.now());
    if (dueAt === Infinity) {
      return;
    }
    const waitMs = dueAt - clock.now();
    if (waitMs <= 0) {
      paths.machine.send('suspect');
      void runRound(paths);
      return;
    }
    paths.timer = clock.after(waitMs, () => {
      paths.timer = undefined;
      scheduleRound(paths);
    });
  }

  /** Starts a round without waiting for the timer of an unanswered request. */
  function expediteRound(paths: ServicePaths): void {
    if (paths.machine.current === 'reachable') {
      cancelTimer(paths);
      scheduleRound(paths);
    }
  }

  function cancelTimer(paths: ServicePaths): void {
    paths.timer?.dispose();
    paths.timer = undefined;
  }

  function recordFailedProbe({service}: ServicePaths, error: unknown): false {
    decisions.recordDecision('routing', service, 'probe failed', String(error));
    return false;
  }

  async function probe(paths: ServicePaths, id: string): Promise<boolean> {
    paths.probedAt.set(id, clock.now());
    totals.probes += 1;
    const isAnswered = await options
      .probe(id, PROBE_TIMEOUT_MS)
      .catch(error => recordFailedProbe(paths, error));
    if (isAnswered && !isDisposed) {
      paths.unconnectableEndpoints.clear();
      recordBytes(paths, id);
    }
    return isAnswered;
  }

  async function runRound(paths: ServicePaths): Promise<void> {
    cancelTimer(paths);
    paths.isProbing = true;
    paths.isRoundUrgent = false;
    paths.lastRoundAt = clock.now();
    totals.rounds += 1;
    const targets = pickProbeTargets(
      options.endpointsOf(paths.service),
      {
        failedEndpoints: findDoubtfulEndpoints(paths, clock.now()),
        probedAt: paths.probedAt,
      },
      isLost(paths) ? MAX_RECOVERY_PROBES : MAX_PROBES,
    );
    const isAnyAnswered = await probeInTurn(clock, targets, target =>
      probeOnce(paths, target.id),
    );
    if (!isAnyAnswered) {
      targets.forEach(({id}) => paths.unconnectableEndpoints.add(id));
    }
    if (targets.length === 0) {
      // Without endpoints there are no paths that could be lost.
      recordContact(paths);
    }
    if (paths.machine.current !== 'reachable') {
      const peerAnswer = await options.askPeers(paths.service);
      recordLoss(paths, peerAnswer, targets.length);
    }
    paths.isProbing = false;
    scheduleNextRound(paths);
  }

  function recordLoss(
    paths: ServicePaths,
    peerAnswer: PeerAnswer,
    probeCount: number,
  ): void {
    const {service, machine} = paths;
    const previousState = machine.current;
    // An endpoint may have responded while the other entries were asked.
    if (previousState === 'reachable' || isDisposed) {
      return;
    }
    machine.send(peerAnswer === 'reached' ? 'cut' : 'lose');
    paths.isLossEvidence = peerAnswer === 'not-reached';
    settleCallbacks(paths, paths.isLossEvidence);
    if (machine.current === previousState) {
      return;
    }
    decisions.recordDecision(
      'routing',
      service,
      peerAnswer === 'reached' ? 'cut off from endpoints' : 'endpoints gone',
      LOSS_REASONS[peerAnswer],
      {
        probes: probeCount,
        endpoints: options.endpointsOf(service).length,
        unanswered: paths.exchanges.size,
        contactAgoMs: Math.round(clock.now() - paths.lastContactAt),
      },
    );
    if (peerAnswer === 'reached') {
      cutOffEmitter.fire(service);
    }
  }

  function scheduleNextRound(paths: ServicePaths): void {
    if (isDisposed) {
      return;
    }
    const state = paths.machine.current;
    if (state !== 'cut-off' && state !== 'gone') {
      forgetRemovedEndpoints(paths);
      scheduleRound(paths);
      return;
    }
    paths.timer = clock.after(recoveryDelayMs(state, random), () => {
      if (isLost(paths)) {
        void runRound(paths);
      }
    });
  }

  function hasRespondedSince(
    service: string,
    endpoint: string,
    since: number,
  ): boolean {
    const bytesAt = pathsByService.get(service)?.lastBytesAt.get(endpoint);
    return bytesAt !== undefined && bytesAt >= since;
  }

  /** Joins a probe of the endpoint that is unanswered yet. */
  function probeOnce(paths: ServicePaths, id: string): Promise<boolean> {
    const current = paths.probes.get(id);
    if (current !== undefined) {
      return current;
    }
    const answer = probe(paths, id).finally(() => paths.probes.delete(id));
    paths.probes.set(id, answer);
    return answer;
  }

  function forgetRemovedEndpoints(paths: ServicePaths): void {
    const endpoints = options.endpointsOf(paths.service);
    retainEndpoints(paths, new Set(endpoints.map(({id}) => id)));
  }

  function whenDecided(
    service: string,
    callback: (isEvidence: boolean) => void,
  ): void {
    const paths = pathsOf(service);
    if (isLost(paths)) {
      callback(paths.isLossEvidence);
      return;
    }
    paths.callbacks.push(callback);
    paths.awaitedSince = Math.min(paths.awaitedSince, clock.now());
    expediteRound(paths);
  }

  return {
    stateOf: service =>
      pathsByService.get(service)?.machine.current ?? 'reachable',
    isLost(service) {
      const paths = pathsByService.get(service);
      return paths !== undefined && isLost(paths);
    },
    canConnect(service) {
      const failed = pathsByService.get(service)?.unconnectableEndpoints;
      return failed === undefined || failed.size < MAX_CONNECT_FAILURES;
    },
    beginExchange(service, endpoint, expectedMs = QUIET_MS) {
      const paths = pathsOf(service);
      const quietMs = Math.max(QUIET_MS, expectedMs);
      const exchange = {endpoint, quietUntil: clock.now() + quietMs};
      paths.exchanges.add(exchange);
      scheduleRound(paths);
      return {
        recordContact() {
          exchange.quietUntil = clock.now() + quietMs;
          recordBytes(paths, endpoint);
        },
        dispose: () => void paths.exchanges.delete(exchange),
      };
    },
    hasRespondedSince,
    isResponding(service, endpoint) {
      if (hasRespondedSince(service, endpoint, clock.now() - QUIET_MS)) {
        return Promise.resolve(true);
      }
      return probeOnce(pathsOf(service), endpoint);
    },
    recordFailure: (service, endpoint) =>
      void pathsOf(service).failedEndpoints.add(endpoint),
    recordConnectFailure(service, endpoint) {
      const paths = pathsOf(service);
      paths.failedEndpoints.add(endpoint);
      paths.unconnectableEndpoints.add(endpoint);
      paths.isRoundUrgent = true;
      expediteRound(paths);
    },
    recordEndpointsChanged() {
      for (const paths of pathsByService.values()) {
        forgetRemovedEndpoints(paths);
        const isRecent =
          clock.now() - paths.lastRoundAt < MIN_URGENT_INTERVAL_MS;
        if (isLost(paths) && !paths.isProbing && !isRecent) {
          void runRound(paths);
        }
      }
    },
    whenDecided,
    isReached(service) {
      const paths = pathsOf(service);
      if (isLost(paths)) {
        return Promise.resolve(false);
      }
      if (clock.now() - paths.lastContactAt < QUIET_MS) {
        return Promise.resolve(true);
      }
      return new Promise(resolve => {
        whenDecided(service, () =>
          resolve(paths.machine.current === 'reachable'),
        );
        // The other entry waits for the answer, so probes start at once.
        paths.isRoundUrgent = true;
        expediteRound(paths);
      });
    },
    onDidCutOff: cutOffEmitter.event,
    onDidRegain: regainEmitter.event,
    dump: () => ({
      ...totals,
      services: Object.fromEntries(
        [...pathsByService].map(([service, paths]) => [
          service,
          {
            state: paths.machine.current,
            unanswered: paths.exchanges.size,
            unconnectable: paths.unconnectableEndpoints.size,
            contactAgoMs: Math.round(clock.now() - paths.lastContactAt),
          },
        ]),
      ),
    }),
    dispose() {
      isDisposed = true;
      for (const paths of pathsByService.values()) {
        cancelTimer(paths);
        settleCallbacks(paths, true);
      }
    },
  };
}
