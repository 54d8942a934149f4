/**
 * Simulated entries that share what they know of crashes, on a virtual clock,
 * in front of endpoints that crash under given parts of prompts.
 */
import {
  createDecisionLog,
  createSilentLogger,
  createVirtualClock,
  seededRandom,
} from '@skylarkfield/base';
import {
  createCrashQuarantine,
  type CrashQuarantine,
} from '../crashQuarantine.js';
import {promptPartSuspects} from '../crashSuspects.js';

const STEP_MS = 10;
const GOSSIP_INTERVAL_MS = 300;
/** Time until gossip, and a stored report, is known to the other entries. */
const GOSSIP_DELAY_MS = 20;
const STORE_DELAY_MS = 150;

/** Time from a crash to the start of the endpoint under another id. */
const RESTART_MS = 3_000;
/** Time from the begin of a response until its endpoint crashes. */
const CRASH_DELAY_MS = 100;
/** Time from the arrival of a request until its response begins, at most. */
const MAX_QUEUE_MS = 120;
/** Time after which a response that goes on clears its prompt parts. */
const SURVIVAL_MS = 1_000;
const MAX_SENDS = 3;

/** Durations of responses in milliseconds, with their shares. */
const DURATIONS: readonly (readonly [number, number])[] = [
  [80, 0.45],
  [900, 0.35],
  [2_200, 0.2],
];

/** Customers' shares of the requests. */
const CUSTOMERS = [0.4, 0.25, 0.2, 0.1, 0.05] as const;
const TOPIC_COUNT = 72;
/** Requests of one session, which share a part. */
const SESSION_LENGTH = 4;

interface SimulatedRequest {
  readonly id: string;
  readonly parts: readonly string[];
  readonly suspectParts: readonly string[];
  readonly deadlyPart: string | undefined;
  readonly customer: number;
  readonly durationMs: number;
  readonly sentAtMs: number;
  sends: number;
}

interface RunningRequest {
  readonly request: SimulatedRequest;
  readonly entry: SimulatedEntry;
  readonly arrivedAtMs: number;
  readonly beginsAtMs: number;
}

interface SimulatedEndpoint {
  id: string;
  /** Time from which it accepts requests. */
  upAtMs: number;
  readonly running: Set<RunningRequest>;
}

interface SimulatedEntry {
  readonly index: number;
  quarantine: CrashQuarantine;
  /** Entries on different sides do not hear each other. */
  side: number;
}

export interface CrashFleetOptions {
  readonly entryCount: number;
  readonly endpointCount: number;
  /** Sound requests per second. */
  readonly soundRate: number;
  readonly seed?: number;
}

/** Requests with one part that crashes endpoints. */
export interface DeadlyLoad {
  readonly part: string;
  /** Requests that are sent at each time. */
  readonly count: number;
  readonly intervalMs: number;
  /** Position of the part among the first three; drawn anew by default. */
  readonly position?: number;
  /** Whether the customers send them in turn; by default the first one does. */
  readonly ofAllCustomers?: boolean;
  /** Whether each request has another part, named after `part`. */
  readonly isChanging?: boolean;
}

/** What became of sound requests. */
export interface SoundTotals {
  readonly sent: number;
  readonly served: number;
  /** Rejected because of a quarantine. */
  readonly quarantined: number;
}

export interface CrashFleet {
  /** Runs the load for some seconds; sound requests are always sent. */
  run(seconds: number, loads?: readonly DeadlyLoad[]): void;
  /** Crashes random endpoints at once, whatever they run. */
  crashEndpoints(count: number): void;
  /** Replaces the processes of entries; they know only what is stored. */
  restart(indices: readonly number[]): void;
  cut(indices: readonly number[]): void;
  heal(): void;
  setStoreDown(isDown: boolean): void;
  /** Times of crashes under a part, in milliseconds. */
  crashTimes(part: string): readonly number[];
  /** Number of requests with the part that reached endpoints after `sinceMs`. */
  arrivalsSince(part: string, sinceMs: number): number;
  /** Totals of the sound requests that were sent since the last call. */
  soundTotals(): SoundTotals;
  now(): number;
  /** Bytes of the largest stored report, and of all gossip so far. */
  reportBytes(): {readonly largestStored: number; readonly gossiped: number};
  storeWrites(): number;
}

/**
 * Creates a fleet that has served sound requests for some seconds.
 *
 * @example
 * const fleet = createCrashFleet({entryCount: 7, endpointCount: 9, soundRate: 60});
 * fleet.run(20, [{part: 'dead', count: 1, intervalMs: 400}]);
 * fleet.crashTimes('dead').length;
 */
export function createCrashFleet(options: CrashFleetOptions): CrashFleet {
  const clock = createVirtualClock();
  const random = seededRandom(options.seed ?? 1);
  const decisions = createDecisionLog(clock, createSilentLogger());
  const crashes: {part: string; atMs: number}[] = [];
  const arrivals: {part: string; atMs: number}[] = [];
  const storedReports = new Map<
    string,
    ReturnType<CrashQuarantine['reportToStore']>
  >();
  const dirtyEntries = new Set<SimulatedEntry>();
  let sound = {sent: 0, served: 0, quarantined: 0};
  let endpointCount = 0;
  let requestCount = 0;
  let sessionCount = 0;
  let isStoreDown = false;
  let largestStored = 0;
  let gossiped = 0;
  let storeWrites = 0;
  let soundBacklog = 0;
  const endpoints = Array.from({length: options.endpointCount}, () => ({
    id: nextEndpointId(),
    upAtMs: 0,
    running: new Set<RunningRequest>(),
  }));
  const entries: SimulatedEntry[] = Array.from(
    {length: options.entryCount},
    (_, index) => ({index, quarantine: createQuarantine(index), side: 0}),
  );
  entries.forEach(watchReports);
  run(5);
  sound = {sent: 0, served: 0, quarantined: 0};

  function nextEndpointId(): string {
    endpointCount += 1;
    return `i-${endpointCount}`;
  }

  function entryId(index: number): string {
    return `e${index}`;
  }

  function createQuarantine(index: number): CrashQuarantine {
    const quarantine = createCrashQuarantine({
      clock,
      self: entryId(index),
      decisions,
      wallMs: () => clock.wall(),
    });
    quarantine.setEntries(
      Array.from({length: options.entryCount}, (_, other) => entryId(other)),
    );
    return quarantine;
  }

  function watchReports(entry: SimulatedEntry): void {
    entry.quarantine.onDidChange(() => dirtyEntries.add(entry));
  }

  function writeReports(): void {
    if (isStoreDown) {
      return;
    }
    for (const entry of dirtyEntries) {
      const report = entry.quarantine.reportToStore();
      const name = entryId(entry.index);
      entry.quarantine.recordStored(report);
      storedReports.set(name, report);
      storeWrites += 1;
      largestStored = Math.max(largestStored, JSON.stringify(report).length);
      clock.after(STORE_DELAY_MS, () =>
        entries
          .filter(other => other !== entry)
          .forEach(other => other.quarantine.setStoredReport(name, report)),
      );
    }
    dirtyEntries.clear();
  }

  function gossip(): void {
    for (const sender of entries) {
      const report = sender.quarantine.reportToGossip();
      if (report === undefined) {
        continue;
      }
      const receivers = entries.filter(
        entry => entry !== sender && entry.side === sender.side,
      );
      gossiped += JSON.stringify(report).length * receivers.length;
      clock.after(GOSSIP_DELAY_MS, () =>
        receivers.forEach(({quarantine}) => quarantine.mergeGossip(report)),
      );
    }
  }

  function drawFrom<T>(shares: readonly (readonly [T, number])[]): T {
    let remaining = random.next();
    for (const [value, share] of shares) {
      remaining -= share;
      if (remaining < 0) {
        return value;
      }
    }
    return shares.at(-1)![0];
  }

  function drawCustomer(): number {
    return drawFrom(CUSTOMERS.map((share, index) => [index, share] as const));
  }

  /** Few topics are popular, most are rare. */
  function drawTopic(): string {
    return `topic${Math.floor(TOPIC_COUNT * random.next() ** 2)}`;
  }

  function createRequest(
    customer: number,
    parts: readonly string[],
    deadlyPart?: string,
  ): SimulatedRequest {
    requestCount += 1;
    const allParts = [...parts, `own${requestCount}`];
    return {
      id: `r${requestCount}`,
      parts: allParts,
      suspectParts: promptPartSuspects('m', allParts),
      deadlyPart,
      customer,
      durationMs: drawFrom(DURATIONS),
      sentAtMs: clock.now(),
      sends: 0,
    };
  }

  function createSoundRequest(): SimulatedRequest {
    if (random.next() < 1 / SESSION_LENGTH) {
      sessionCount += 1;
    }
    const recentSession = sessionCount - Math.floor(random.next() * 20);
    const customer = drawCustomer();
    return createRequest(customer, [
      `customer${customer}`,
      drawTopic(),
      `session${recentSession}`,
    ]);
  }

  function createDeadlyRequest(
    {part, position, ofAllCustomers, isChanging}: DeadlyLoad,
    index: number,
  ): SimulatedRequest {
    const customer = ofAllCustomers ? index % CUSTOMERS.length : 0;
    const deadlyPart = isChanging ? `${part}${requestCount}` : part;
    const parts = [`customer${customer}`, drawTopic()];
    parts.splice(position ?? Math.floor(random.next() * 3), 0, deadlyPart);
    return createRequest(customer, parts, part);
  }

  function send(entry: SimulatedEntry, request: SimulatedRequest): void {
    const {id, suspectParts} = request;
    const verdict = entry.quarantine.verdictFor(id, suspectParts);
    if (verdict.type === 'quarantined') {
      sound.quarantined += request.deadlyPart === undefined ? 1 : 0;
      return;
    }
    if (verdict.type === 'trial') {
      entry.quarantine.beginTrial(id, suspectParts);
    }
    const endpoint = chooseEndpoint(verdict.type !== 'clear');
    request.sends += 1;
    if (endpoint.upAtMs > clock.now()) {
      entry.quarantine.recordUnreachable(endpoint.id);
      if (request.sends < MAX_SENDS) {
        send(entry, request);
      }
      return;
    }
    if (request.deadlyPart !== undefined) {
      arrivals.push({part: request.deadlyPart, atMs: clock.now()});
    }
    endpoint.running.add({
      request,
      entry,
      arrivedAtMs: clock.now(),
      beginsAtMs: clock.now() + random.next() * MAX_QUEUE_MS,
    });
  }

  /**
   * Chooses an endpoint at random; of those that are down a part is known to
   * be down.
   */
  function chooseEndpoint(isSuspected: boolean): SimulatedEndpoint {
    const candidates = endpoints.filter(
      ({upAtMs}) => upAtMs <= clock.now() || random.next() < 0.1,
    );
    const usable = candidates.length > 0 ? candidates : endpoints;
    if (!isSuspected) {
      return usable[Math.floor(random.next() * usable.length)]!;
    }
    return usable.reduce((a, b) => (b.running.size < a.running.size ? b : a));
  }

  function crash(endpoint: SimulatedEndpoint): void {
    for (const {request, entry, beginsAtMs} of endpoint.running) {
      const hasSurvived = clock.now() - beginsAtMs >= SURVIVAL_MS;
      entry.quarantine.recordConnectionLost({
        request: request.id,
        parts: hasSurvived ? [] : request.suspectParts,
        endpoint: endpoint.id,
      });
    }
    endpoint.running.clear();
    endpoint.id = nextEndpointId();
    endpoint.upAtMs = clock.now() + RESTART_MS;
  }

  function runEndpoint(endpoint: SimulatedEndpoint): void {
    for (const running of endpoint.running) {
      const {request, entry, arrivedAtMs, beginsAtMs} = running;
      const ranForMs = clock.now() - beginsAtMs;
      if (request.deadlyPart !== undefined && ranForMs >= CRASH_DELAY_MS) {
        crashes.push({part: request.deadlyPart, atMs: clock.now()});
        crash(endpoint);
        return;
      }
      if (request.deadlyPart === undefined && ranForMs >= request.durationMs) {
        endpoint.running.delete(running);
        entry.quarantine.recordResponse(endpoint.id, arrivedAtMs);
        entry.quarantine.recordCompleted(request.id, request.suspectParts);
        sound.served += 1;
      }
    }
  }

  function randomEntry(): SimulatedEntry {
    return entries[Math.floor(random.next() * entries.length)]!;
  }

  function sendSound(): void {
    soundBacklog += (options.soundRate * STEP_MS) / 1_000;
    for (; soundBacklog >= 1; soundBacklog -= 1) {
      sound.sent += 1;
      send(randomEntry(), createSoundRequest());
    }
  }

  function sendDeadly(load: DeadlyLoad, elapsedMs: number): void {
    if (elapsedMs % load.intervalMs !== 0) {
      return;
    }
    for (let index = 0; index < load.count; index++) {
      const number = elapsedMs / load.intervalMs + index;
      send(randomEntry(), createDeadlyRequest(load, number));
    }
  }

  function run(seconds: number, loads: readonly DeadlyLoad[] = []): void {
    for (let elapsedMs = 0; elapsedMs < seconds * 1_000; elapsedMs += STEP_MS) {
      sendSound();
      loads.forEach(load => sendDeadly(load, elapsedMs));
      clock.advanceSync(STEP_MS);
      endpoints.forEach(runEndpoint);
      writeReports();
      if (elapsedMs % GOSSIP_INTERVAL_MS === 0) {
        gossip();
      }
    }
  }

  return {
    run,
    crashEndpoints(count) {
      const live = endpoints.filter(({upAtMs}) => upAtMs <= clock.now());
      const firstIndex = Math.floor(random.next() * live.length);
      const rotated = [...live.slice(firstIndex), ...live.slice(0, firstIndex)];
      rotated.slice(0, count).forEach(crash);
    },
    restart(indices) {
      for (const index of indices) {
        const entry = entries[index]!;
        entry.quarantine = createQuarantine(index);
        watchReports(entry);
        dirtyEntries.delete(entry);
        storedReports.forEach((report, name) =>
          name === entryId(index)
            ? entry.quarantine.restoreOwnReport(report)
            : entry.quarantine.setStoredReport(name, report),
        );
      }
    },
    cut: indices => indices.forEach(index => (entries[index]!.side = 1)),
    heal: () => entries.forEach(entry => (entry.side = 0)),
    setStoreDown(isDown) {
      isStoreDown = isDown;
    },
    crashTimes: part =>
      crashes.filter(item => item.part === part).map(({atMs}) => atMs),
    arrivalsSince: (part, sinceMs) =>
      arrivals.filter(item => item.part === part && item.atMs > sinceMs).length,
    soundTotals() {
      const totals = sound;
      sound = {sent: 0, served: 0, quarantined: 0};
      return totals;
    },
    now: () => clock.now(),
    reportBytes: () => ({largestStored, gossiped}),
    storeWrites: () => storeWrites,
  };
}
