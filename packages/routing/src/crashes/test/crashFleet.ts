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
import {
  createReportExchange,
  type SimulatedEntry,
} from './crashFleetReports.js';
import {
  createRequestSource,
  type DeadlyLoad,
  type SimulatedRequest,
} from './crashFleetRequests.js';

const STEP_MS = 10;
const GOSSIP_INTERVAL_MS = 300;

/** Time from a crash to the start of the endpoint under another id. */
const RESTART_MS = 3_000;
/** Time from the begin of a response until its endpoint crashes. */
const CRASH_DELAY_MS = 100;
/** Time from the arrival of a request until its response begins, at most. */
const MAX_QUEUE_MS = 120;
/** Time after which a response that goes on clears its prompt parts. */
const SURVIVAL_MS = 1_000;
const MAX_SENDS = 3;

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

export interface CrashFleetOptions {
  readonly entryCount: number;
  readonly endpointCount: number;
  /** Sound requests per second. */
  readonly soundRate: number;
  readonly seed?: number;
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
  let sound = {sent: 0, served: 0, quarantined: 0};
  let endpointCount = 0;
  let soundBacklog = 0;
  const endpoints = Array.from({length: options.endpointCount}, () => ({
    id: nextEndpointId(),
    upAtMs: 0,
    running: new Set<RunningRequest>(),
  }));
  const entries: SimulatedEntry[] = Array.from(
    {length: options.entryCount},
    (_, index) => {
      const id = entryId(index);
      return {id, quarantine: createQuarantine(id), side: 0};
    },
  );
  const requests = createRequestSource(clock, random);
  const exchange = createReportExchange(clock, entries);
  entries.forEach(exchange.watchReports);
  run(5);
  sound = {sent: 0, served: 0, quarantined: 0};

  function nextEndpointId(): string {
    endpointCount += 1;
    return `i-${endpointCount}`;
  }

  function entryId(index: number): string {
    return `e${index}`;
  }

  function createQuarantine(id: string): CrashQuarantine {
    const quarantine = createCrashQuarantine({
      clock,
      self: id,
      decisions,
      wallMs: () => clock.wall(),
    });
    quarantine.setEntries(
      Array.from({length: options.entryCount}, (_, other) => entryId(other)),
    );
    return quarantine;
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
      send(randomEntry(), requests.createSoundRequest());
    }
  }

  function sendDeadly(load: DeadlyLoad, elapsedMs: number): void {
    if (elapsedMs % load.intervalMs !== 0) {
      return;
    }
    for (let index = 0; index < load.count; index++) {
      const number = elapsedMs / load.intervalMs + index;
      send(randomEntry(), requests.createDeadlyRequest(load, number));
    }
  }

  function run(seconds: number, loads: readonly DeadlyLoad[] = []): void {
    for (let elapsedMs = 0; elapsedMs < seconds * 1_000; elapsedMs += STEP_MS) {
      sendSound();
      loads.forEach(load => sendDeadly(load, elapsedMs));
      clock.advanceSync(STEP_MS);
      endpoints.forEach(runEndpoint);
      exchange.writeReports();
      if (elapsedMs % GOSSIP_INTERVAL_MS === 0) {
        exchange.gossip();
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
        entry.quarantine = createQuarantine(entry.id);
        exchange.watchReports(entry);
        exchange.restoreReports(entry);
      }
    },
    cut: indices => indices.forEach(index => (entries[index]!.side = 1)),
    heal: () => entries.forEach(entry => (entry.side = 0)),
    setStoreDown: isDown => exchange.setStoreDown(isDown),
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
    reportBytes: () => exchange.reportBytes(),
    storeWrites: () => exchange.storeWrites(),
  };
}
