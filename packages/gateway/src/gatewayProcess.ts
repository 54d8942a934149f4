/** One gateway process: its parts, its ports, how it starts and how it stops. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  createDumps,
  createInFlight,
  createLogger,
  createMetrics,
  createProcessLife,
  decisionLog,
  disposableStore,
  processRandom,
  ServingError,
  systemClock,
  type Disposable,
} from '@skylarkfield/base';
import {createAdmission} from '@skylarkfield/admission';
import {createDuties, type LeaseTiming, type Tenure} from '@skylarkfield/duties';
import {createMembership} from '@skylarkfield/members';
import {createPeerNetwork} from '@skylarkfield/protocol';
import {createObjectStore} from '@skylarkfield/providers';
import {createRouter, type RouteWeights} from '@skylarkfield/routing';
import {
  answerWorkMs,
  createQuotas,
  createUsageWindows,
  createWorkMeter,
  type DeclaredService,
  DEFAULT_SPEED,
  KEY_TOKENS,
  promptWorkMs,
} from '@skylarkfield/traffic';
import {createAdmissionFeed} from './admissionFeed.js';
import {createCallerFront} from './callerFront.js';
import type {CallHead, Platform} from './contracts.js';
import {startDigests} from './digests.js';
import {createEndpointDirectory} from './endpointDirectory.js';
import {startFleetDuty} from './fleetDuty.js';
import {createForwarding} from './forwarding.js';
import {openPort} from './listeners.js';
import {entriesFor} from './lookup.js';
import {createPlatformView} from './platformView.js';
import {createPolicyInForce} from './policyInForce.js';
import {createRequestMetrics} from './requestMetrics.js';
import type {Address, GatewaySettings} from './settings.js';
import {createStatusHandler} from './statusPages.js';
import {createUpstreams} from './upstream.js';
import {startUsageDuty} from './usageDuty.js';

export interface GatewayProcess {
  /** A planned stop: leaves the lookups, serves on, then ends what is in flight. */
  stop(): Promise<void>;
  /** Settings that can change while running. */
  reload(settings: GatewaySettings): void;
}

/**
 * A successor takes over within about four seconds of the holder's death: as
 * long as a new endpoint takes to start, so that a reclaim and the holder's
 * death together leave callers waiting no longer than either alone. Each renewal
 * and each look of a candidate is a call, three a second in all.
 */
const LEASE_TIMING: LeaseTiming = {
  durationMs: 3_000,
  renewEveryMs: 900,
  pollMs: 1_000,
  marginMs: 400,
};

/**
 * Engines of the users' platform read a prompt token in about 0.007 ms, 0.011 ms
 * with its look at the tokens before it. A token in memory adds 0.0175 µs to a
 * step, and an answer still has some 200 steps to go: 0.0035 ms. A prefix that is
 * read again counts four times its reading: it delays all answers beside it.
 */
const ROUTE_WEIGHTS: Partial<RouteWeights> = {
  initialMsPerToken: 0.011,
  perContextTokenMs: 0.0035,
  perRequestMs: 3,
  uncached: 4,
  affinityMs: 40,
};

/** Time for one call to the store, in milliseconds: it answers in a few. */
const STORE_CALL_MS = 1_000;

/** Time before the key's last moment at which requests with it are refused: a request may wait that long before it runs. */
const KEY_MARGIN_MS = 500;

/**
 * How long a stopping process still takes new requests, in milliseconds: callers
 * keep a lookup's answer for 2 s. What comes later is refused, since a long
 * answer could not end within the grace.
 */
const LINGER_MS = 2_700;

/** Time before the end of the grace that the process keeps for itself, in milliseconds. */
const END_MARGIN_MS = 700;

const MS_PER_SECOND = 1_000;

/** Answers are kept no longer than this, so that callers leave a lost entry soon, in milliseconds. */
const LOOKUP_MS = 2_000;

/**
 * Starts a gateway. Throws `bad-settings` when a port can't be opened.
 *
 * @example
 * const gateway = await startGateway(settings, (clock, log) => createPlatform({settings, clock, log}));
 * await gateway.stop();
 */
export async function startGateway(
  settings: GatewaySettings,
  platform: Platform,
  log = createLogger(settings.log.level, {entry: settings.id}),
): Promise<GatewayProcess> {
  const clock = systemClock();
  const random = processRandom();
  const owned = disposableStore();
  const dumps = createDumps();
  const decisions = decisionLog(clock, log);
  const metrics = createMetrics('skylarkfield');
  const life = createProcessLife();
  const inFlight = createInFlight(clock);
  const incarnation = clock.wall();
  const process = `${settings.id}.${incarnation}`;

  const network = owned.add(
    createPeerNetwork({
      self: {id: settings.id, incarnation},
      clock,
      random,
      log,
      key: settings.innerKey,
    }),
  );
  await network.listen(settings.inner);
  const store = owned.add(
    createObjectStore({
      transport: platform.objects,
      clock,
      random,
      writer: settings.id,
      callDeadlineMs: STORE_CALL_MS,
      platformCallsPerSecond: settings.platform.callsPerSecond,
    }),
  );
  const membership = owned.add(
    createMembership({
      self: {
        id: settings.id,
        incarnation,
        callerUrl: urlOf('http', settings.callers),
        innerUrl: urlOf('ws', settings.inner),
        failureDomain: settings.failureDomain,
        region: settings.region,
      },
      store,
      network,
      clock,
      random,
      log,
      decisions,
      seeds: settings.seeds.map(seed => `ws://${seed}`),
      load: inFlight.count,
    }),
  );
  const liveIds = () => membership.live().map(({id}) => id);

  const view = owned.add(
    createPlatformView({
      platform,
      network,
      self: settings.id,
      liveEntries: liveIds,
      clock,
      random,
      log,
    }),
  );
  const policy = createPolicyInForce({
    mirror: view.policy,
    clock,
    log,
    keyLifeMs: settings.keyRevocationMs - KEY_MARGIN_MS,
  });
  const upstreams = owned.add(createUpstreams());
  const router = createRouter({
    clock,
    random,
    decisions,
    failureDomain: settings.failureDomain,
    self: settings.id,
    blockTokens: KEY_TOKENS,
    weights: ROUTE_WEIGHTS,
  });
  const directory = createEndpointDirectory({
    endpoints: view.endpoints,
    rollouts: view.rollouts,
    router,
    upstreams,
    log,
    isModel: service => declared(service)?.engine !== undefined,
  });

  const admission = createAdmission({clock, random, decisions, limitPolicy: 'fixed'});
  const feed = createAdmissionFeed({admission, directory, policy});
  view.endpoints.onDidChange(refreshEndpoints);
  view.rollouts.onDidChange(refreshEndpoints);
  function refreshEndpoints(): void {
    directory.refresh();
    feed.update();
  }
  const quotas = createQuotas(clock);
  const usage = createUsageWindows({
    windowMs: settings.usageWindowSeconds * MS_PER_SECOND,
    self: process,
  });
  const work = createWorkMeter(clock);
  const peerWork = new Map<string, {at: number; work: Readonly<Record<string, number>>}>();

  const digests = owned.add(
    startDigests({
      network,
      clock,
      content: () => ({
        mirrors: view.standings(),
        used: quotas.used(),
        usage: usage.own(),
        loads: router.ownLoads(),
        work: work.rates(),
      }),
      onDidHear(peer, digest, moment) {
        view.noteStandings(peer, digest.mirrors, moment);
        quotas.noteUsed(peer, digest.used);
        usage.noteCounts(peer, digest.usage);
        router.reportEntry(peer, digest.loads);
        peerWork.set(peer, {at: clock.now(), work: digest.work});
        noteHeard();
      },
    }),
  );

  function noteHeard(): void {
    const others = membership.live().length - 1;
    const heard = digests.heardLately().length;
    quotas.setHeard(others <= 0 ? 1 : Math.min(1, heard / others), others + 1);
    admission.setEntryCount(others + 1);
  }

  function workRate(service: string): number {
    let sum = work.rates()[service] ?? 0;
    for (const id of digests.heardLately()) {
      sum += peerWork.get(id)?.work[service] ?? 0;
    }
    return sum;
  }

  const forwarding = createForwarding({
    router,
    directory,
    admission,
    upstreams,
    format: platform.calls,
    clock,
    log,
    onDidRun(customer, wallMs) {
      if (customer !== undefined) {
        usage.note(customer, wallMs + digests.commonWallMs() - clock.wall());
      }
    },
  });
  const state = {
    isServing: () =>
      life.state() === 'serving' || life.state() === 'lingering',
    isClosing: () => life.state() !== 'serving',
  };
  const front = createCallerFront({
    policy,
    quotas,
    admission,
    forwarding,
    format: platform.calls,
    state,
    inFlight,
    metrics: createRequestMetrics(metrics.meter),
    clock,
    log,
    chooseGroup: () => 'incumbent',
    onDidAccept(service: string, {demand}: CallHead) {
      if (demand !== undefined) {
        work.note(service, promptWorkMs(demand, DEFAULT_SPEED));
      }
    },
    onDidAnswer(service: string, {demand}: CallHead, events: number) {
      if (demand !== undefined) {
        const tokens = events * (declared(service)?.engine?.tokensPerEvent ?? 1);
        work.note(service, answerWorkMs(demand, tokens, DEFAULT_SPEED));
      }
    },
  });

  function declared(name: string): DeclaredService | undefined {
    return policy.services().find(service => service.name === name);
  }

  const duties = owned.add(
    createDuties({
      clock,
      random,
      store,
      self: {id: settings.id, incarnation},
      members: liveIds,
      log,
      decisions,
      timing: LEASE_TIMING,
    }),
  );
  owned.add(duties.compete('fleet', startDutyWork));

  function startDutyWork(tenure: Tenure): Disposable {
    const work = disposableStore();
    const common = {tenure, holder: settings.id, orders: platform.orders, clock, log};
    work.add(
      startUsageDuty({
        ...common,
        store,
        usage,
        windowMs: settings.usageWindowSeconds * MS_PER_SECOND,
        lateMs: settings.usageLateSeconds * MS_PER_SECOND,
        commonWallMs: digests.commonWallMs,
      }),
    );
    work.add(
      startFleetDuty({
        ...common,
        directory,
        services: policy.services,
        workRate,
      }),
    );
    return work;
  }

  const callers = await openPort(settings.callers, (request, response) => {
    void front.handle(request, response);
  });
  const lookup = await openPort(settings.lookup, answerLookup);
  const readiness = await openPort(settings.readiness, answerReadiness);
  const status = await openPort(
    settings.status,
    createStatusHandler({metrics, dumps, decisions}),
  );
  const ports = [callers, lookup, readiness, status];
  policy.onDidChange(() => callers.setLimits(policy.limits()));
  if (policy.isKnown()) {
    callers.setLimits(policy.limits());
  }

  function isReady(): boolean {
    return life.state() === 'serving' && policy.isKnown();
  }

  function answerReadiness(request: IncomingMessage, response: ServerResponse) {
    const isAsked = platform.lookups.isReadiness(request.url ?? '');
    response.statusCode = !isAsked ? 404 : isReady() ? 200 : 503;
    response.end();
  }

  function answerLookup(request: IncomingMessage, response: ServerResponse) {
    const question = platform.lookups.readLookup(request.url ?? '');
    if (question === undefined) {
      response.statusCode = 404;
      response.end();
      return;
    }
    const members = isReady()
      ? membership.live()
      : membership.live().filter(({id}) => id !== settings.id);
    const addresses = entriesFor(members, question.failureDomain);
    if (addresses.length === 0) {
      response.statusCode = 503;
      response.end();
      return;
    }
    const ttlMs = Math.min(LOOKUP_MS, settings.lookupSeconds * MS_PER_SECOND);
    response.setHeader('content-type', 'application/json');
    response.end(platform.lookups.writeAnswer(addresses, ttlMs));
  }

  dumps.add('process', () => ({
    id: settings.id,
    incarnation,
    life: life.state(),
    inFlight: inFlight.count(),
    memory: globalThis.process.memoryUsage(),
    cpu: globalThis.process.cpuUsage(),
  }));
  dumps.add('members', () => membership.dump());
  dumps.add('network', () => network.dump());
  dumps.add('store', () => store.dump());
  dumps.add('view', () => view.dump());
  dumps.add('routing', () => router.dump());
  dumps.add('admission', () => admission.dump());
  dumps.add('quotas', () => quotas.dump());
  dumps.add('duties', () => duties.dump());
  dumps.add('upstreams', () => upstreams.dump());
  log.info({incarnation, failureDomain: settings.failureDomain}, 'started');

  async function stop(): Promise<void> {
    const graceMs = settings.graceSeconds * MS_PER_SECOND;
    const endAt = clock.now() + graceMs - END_MARGIN_MS;
    log.info({inFlight: inFlight.count(), graceMs}, 'stopping');
    life.send('announce');
    await Promise.all([membership.leave(), duties.release()]);
    await new Promise<void>(resolve => {
      clock.after(Math.min(LINGER_MS, graceMs / 2), resolve);
    });
    life.send('refuse');
    const isIdle = await inFlight.idle(Math.max(0, endAt - clock.now()));
    life.send('close');
    log.info({isIdle, inFlight: inFlight.count()}, 'stopped');
    ports.forEach(port => port.destroy());
    owned.dispose();
    await metrics.shutDown();
  }

  let stopping: Promise<void> | undefined;
  return {
    stop() {
      stopping ??= stop();
      return stopping;
    },
    reload(next) {
      log.level = next.log.level;
      log.info({level: next.log.level}, 'settings reloaded');
    },
  };
}

function urlOf(scheme: string, {host, port}: Address): string {
  if (port === 0) {
    throw new ServingError('bad-settings', 'a port that others use can not be 0');
  }
  return `${scheme}://${host}:${port}`;
}
