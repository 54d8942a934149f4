/** The rollout of a version by three entries, on a virtual clock. */
import {createAdmissionController} from '@skylarkfield/admission';
import {
  createDecisionLog,
  createDumpRegistry,
  createEmitter,
  createSilentLogger,
  createVirtualClock,
  seededRandom,
  toDisposable,
  type VirtualClock,
} from '@skylarkfield/base';
import {createEngineModel, estimateEngine} from '@skylarkfield/capacity';
import {
  createCrashQuarantine,
  createEndpointReach,
  createRouter,
} from '@skylarkfield/routing';
import type {
  RegisteredEndpoint,
  Rollout,
  RolloutState,
  Route,
} from '@skylarkfield/traffic';
import type {CallerReply} from '../../callers/callerReply.js';
import type {GatewayContext} from '../../context.js';
import type {CallFormat} from '../../contracts.js';
import type {
  EndpointDirectory,
  VersionGroup,
} from '../../endpoints/endpointDirectory.js';
import {createEngineObserver} from '../../endpoints/engineObserver.js';
import {createForwarding} from '../../forwarding/forwarding.js';
import {createMirror} from '../../mirrors/mirror.js';
import {withholdFailures} from '../../reach/pathEvidence.js';
import {createRetryRules} from '../../forwarding/retryRules.js';
import {createRolloutController} from '../rolloutController.js';
import {sampleOf} from '../rolloutSample.js';
import {noHandovers, noReports, noSendLog} from '../../test/forwardingStubs.js';
import {createMoveStore, createNetworks} from '../../test/virtualPeers.js';
import {
  createVirtualReplicas,
  eventText,
  LAST_EVENT_HEADER,
  type VirtualReplicas,
} from '../../test/virtualReplicas.js';

const ENTRY_IDS = ['e0', 'e1', 'e2'];
const REPLICA_COUNT = 6;
const REPLICA_SLOTS = 24;
const GROUPS: readonly VersionGroup[] = ['incumbent', 'candidate'];
const EVENT_COUNT = 2;
const PERIOD_MS = 12_000;
const REQUEST_TIMEOUT_MS = 10_000;
const SERVICE = 'desk';

const ROUTE = {
  name: 'stream',
  kind: 'streaming',
  isResumable: true,
  attempts: 2,
  goalMs: 400,
  longestPauseMs: 400,
} as Route;

const format = {
  buildUpstreamHeaders: (_, {lastEventId}) =>
    lastEventId === undefined ? [] : [LAST_EVENT_HEADER, lastEventId],
  parseResponseHead: headers => ({
    attemptId: headers['attempt'] as string | undefined,
    isNotRun: false,
    isSigned: true,
    isMisdirected: false,
    load: undefined,
    limitPerSecond: undefined,
    rejectionsPerSecond: undefined,
    isLeaving: false,
    restMs: undefined,
  }),
} as Partial<CallFormat> as CallFormat;

/** What the caller of a stream received. */
interface ReceivedStream {
  readonly attemptId: string;
  text: string;
  isComplete: boolean;
}

export interface VirtualRollout {
  readonly clock: VirtualClock;
  readonly replicas: VirtualReplicas;
  /** Addresses of the replicas of the new version. */
  readonly newAddresses: readonly string[];
  /** Starts callers that send streams, one after the other, until the decision. */
  startCallers(count: number): void;
  /** State that was published last. */
  state(): RolloutState | undefined;
  /** Reason of the stored state of the move. */
  why(): string | undefined;
  /** Streams that ended and were not received whole. */
  partialStreams(): readonly ReceivedStream[];
  streamCount(): number;
}

/** Returns a reply that keeps what the caller receives. */
function createReply(received: ReceivedStream): CallerReply {
  let hasBegun = false;
  let lastEventId: number | undefined;
  const fail = () => void (hasBegun = true);
  return {
    hasBegun: () => hasBegun,
    lastEventId: () => lastEventId,
    eventCount: () => lastEventId ?? 0,
    sink: {
      hasBegun: () => hasBegun,
      begin: () => void (hasBegun = true),
      write({bytes, id}) {
        lastEventId = id;
        received.text += bytes.toString();
        return true;
      },
      whenDrained() {},
      lastEventId: () => lastEventId,
      finish() {
        received.isComplete = true;
        return true;
      },
    },
    sendResponse: fail,
    sendError({kind}) {
      received.text += kind;
      return 503;
    },
    abort: fail,
  };
}

/** Starts three entries and six replicas, every second one of the new version. */
export function startVirtualRollout(seed: number): VirtualRollout {
  const clock = createVirtualClock();
  const random = seededRandom(seed);
  const log = createSilentLogger();
  const replicas = createVirtualReplicas({
    clock,
    random,
    eventCount: EVENT_COUNT,
  });
  const {store, why} = createMoveStore();
  const networks = createNetworks(ENTRY_IDS);
  const endpoints = Array.from({length: REPLICA_COUNT}, (_, index) => ({
    id: `i-${index}`,
    bornAt: 0,
    service: SERVICE,
    address: `10.0.0.${index}:80`,
    failureDomain: 'a',
    version: `v${1 + (index % GROUPS.length)}`,
    slots: REPLICA_SLOTS,
    state: 'ready',
    isReclaimable: false,
  })) as readonly RegisteredEndpoint[];
  const groupOf = ({version}: RegisteredEndpoint) =>
    version === 'v1' ? 'incumbent' : 'candidate';
  const rolloutEmitter = createEmitter<Rollout>();
  let rollout: Rollout = {
    service: SERVICE,
    target: 'v2',
    periodMs: PERIOD_MS,
    state: undefined,
    stateTarget: undefined,
  } as Rollout;
  let revision = 0;
  const streams: ReceivedStream[] = [];

  function isDecided(): boolean {
    return rollout.state === 'done' || rollout.state === 'rolled-back';
  }

  function publish(changes: Partial<Rollout>): void {
    rollout = {...rollout, ...changes};
    revision += 1;
    rolloutEmitter.fire(rollout);
  }

  function startEntry(id: string) {
    const decisions = createDecisionLog(clock, log);
    const rollouts = createMirror<Rollout>({kind: 'rollouts', clock, log});
    rolloutEmitter.event(value =>
      rollouts.applyListing(
        {revision, items: [{name: SERVICE, revision, value}]},
        {monotonicMs: clock.now(), wallMs: clock.wall()},
      ),
    );
    const directory = {
      get: key => endpoints.find(endpoint => endpoint.id === key),
      readyEndpoints: (_, group) =>
        endpoints.filter(endpoint => groupOf(endpoint) === group),
      probeTargets: () => endpoints,
    } as Partial<EndpointDirectory> as EndpointDirectory;
    const reach = createEndpointReach({
      clock,
      random,
      decisions,
      endpointsOf: () => endpoints,
      probe: (key, timeoutMs) =>
        replicas.probe(directory.get(key)!.address, timeoutMs),
      askPeers: async () => 'reached',
    });
    const router = createRouter({
      clock,
      random,
      decisions,
      failureDomain: 'a',
      self: id,
    });
    router.setEndpoints(
      endpoints.map(endpoint => ({
        id: endpoint.id,
        service: SERVICE,
        version: groupOf(endpoint),
        failureDomain: 'a',
        host: endpoint.address,
        type: 'plain',
      })),
    );
    const admission = createAdmissionController({clock, random, decisions});
    admission.setService(SERVICE, {
      name: SERVICE,
      concurrency: 200,
      queue: 10,
      targetMs: 400,
    });
    const rolloutController = createRolloutController(
      {
        clock,
        decisions,
        log,
        dumps: createDumpRegistry(),
        platform: {
          async writeRolloutState(
            _name: string,
            stateTarget: string,
            state: RolloutState,
          ) {
            publish({state, stateTarget});
          },
        },
      } as unknown as GatewayContext,
      {
        rollouts,
        directory,
        network: networks.get(id)!,
        store,
        dutyElections: {
          compete: (duty, start) =>
            id === ENTRY_IDS[0]
              ? start({
                  duty,
                  fencing: 1,
                  acquiredAt: clock.now(),
                  isValid: () => true,
                  signal: new AbortController().signal,
                })
              : toDisposable(() => {}),
        },
        plan: () => ({coordinatorIds: ENTRY_IDS}) as never,
        otherEntryIds: () => ENTRY_IDS.filter(other => other !== id),
      },
    );
    const recordSample = withholdFailures(
      reach,
      rolloutController.recordSample,
    );
    const forwarding = createForwarding({
      router,
      endpointReports: noReports,
      slotShares: {recordRejection() {}},
      warmUps: {recordUnreachable() {}},
      crashQuarantine: createCrashQuarantine({
        clock,
        self: id,
        decisions,
        wallMs: () => clock.wall(),
      }),
      reach,
      directory,
      onDidStopAccepting: createEmitter<string>().event,
      retryRules: createRetryRules({admission, clock}),
      handovers: noHandovers,
      rests: {isResting: () => false},
      sendLog: noSendLog,
      drainGuard: {rejectionFor: () => undefined},
      upstreams: replicas.upstreams,
      endConfirmation: {confirm: async () => true},
      migrator: {
        watch: () => ({
          isStopRequested: () => false,
          isMigrating: () => false,
          continuation: async () => undefined,
          dispose() {},
        }),
      },
      engineObserver: createEngineObserver({
        model: createEngineModel(clock),
        clock,
        estimateFor: () => estimateEngine(undefined, []),
        tokensPerEvent: () => 1,
        fitsKvCache: () => true,
        onDidRecompute() {},
      }),
      format,
      clock,
      log,
      isRollingOut: rolloutController.isRollingOut,
      onDidRun() {},
    });

    async function send(attemptId: string): Promise<void> {
      const received = {attemptId, text: '', isComplete: false};
      streams.push(received);
      const {signal} = new AbortController();
      const deadlineAt = clock.now() + REQUEST_TIMEOUT_MS;
      const permit = await admission.admit(
        {
          service: SERVICE,
          customer: '',
          urgency: 3,
          deadline: deadlineAt,
          cost: 1,
        },
        signal,
      );
      const call = {
        head: {
          attemptId,
          authority: 'a',
          key: undefined,
          timeoutMs: undefined,
          demand: undefined,
          lastEventId: undefined,
        },
        attemptId,
        route: ROUTE,
        service: SERVICE,
        version: rolloutController.groupFor(SERVICE, attemptId, true),
        customer: undefined,
        urgency: undefined,
        method: 'GET',
        path: attemptId,
        rawHeaders: [],
        body: undefined,
        fingerprint: () => attemptId,
        suspectParts: [],
        promptKeys: [],
        deadlineAt,
        signal,
      };
      const result = await forwarding.forward(call, createReply(received));
      permit.release({outcome: 'ok', latencyMs: result.firstByteMs ?? 0});
      const sample = sampleOf(call, result);
      if (sample !== undefined) {
        recordSample(sample);
      }
    }

    return {send};
  }

  const entries = ENTRY_IDS.map(startEntry);

  async function callUntilDecided(caller: number): Promise<void> {
    const entry = entries[caller % entries.length]!;
    for (let count = 0; !isDecided(); count++) {
      await entry.send(`t${caller}-${count}`);
    }
  }

  publish({});
  return {
    clock,
    replicas,
    newAddresses: endpoints
      .filter(endpoint => groupOf(endpoint) === 'candidate')
      .map(({address}) => address),
    startCallers(count) {
      for (let caller = 0; caller < count; caller++) {
        void callUntilDecided(caller);
      }
    },
    state: () => rollout.state,
    why,
    partialStreams: () =>
      streams.filter(({attemptId, text, isComplete}) => {
        const events = Array.from({length: EVENT_COUNT}, (_, index) =>
          eventText(attemptId, index + 1),
        );
        return !isComplete || text !== events.join('');
      }),
    streamCount: () => streams.length,
  };
}
