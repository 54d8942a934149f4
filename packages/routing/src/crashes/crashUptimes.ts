/**
 * Refutes crashes of endpoints by responses that any entry received.
 *
 * An entry that sends an endpoint few requests cannot tell a closed connection
 * from a crash, but another entry may have had a response in the meantime.
 */
import type {Clock} from '@skylarkfield/base';
import type {Crash} from './crashEvidence.js';
import {CRASH_TTL_MS} from './crashVerdict.js';

/**
 * Interval in which an endpoint did not crash, since the same process responded
 * later.
 */
export interface EndpointUptime {
  readonly endpoint: string;
  /** Wall-clock milliseconds, comparable between entries; both inclusive. */
  readonly fromMs: number;
  readonly toMs: number;
}

/** Uptimes that an entry knows. The methods return whether a new one is known. */
export interface CrashUptimes {
  /**
   * Records a response to a request that was sent at `sentAt`, in monotonic
   * milliseconds.
   */
  recordResponse(endpoint: string, sentAt: number): boolean;
  /**
   * Records that data of the response to a request arrived that was sent at
   * `sentAt`, in monotonic milliseconds.
   */
  recordData(endpoint: string, sentAt: number): boolean;
  /** Records a loss from which the endpoint may be taken for crashed later. */
  recordPossibleCrash(endpoint: string): void;
  /** Records crashes that are known, which a response may have refuted. */
  recordCrashes(crashes: readonly Crash[]): boolean;
  /** Adds uptimes that another entry reports. */
  add(uptimes: readonly EndpointUptime[]): boolean;
  isRefuted(crash: Pick<Crash, 'endpoint' | 'atMs'>): boolean;
  /** Returns the own uptimes to gossip. */
  recentOwn(): readonly EndpointUptime[];
}

/** Difference of the entries' clocks that is allowed for, in milliseconds. */
const CLOCK_TOLERANCE_MS = 250;

/**
 * Milliseconds after a crash within which no other process responds under the
 * endpoint's key.
 */
const MIN_RESTART_MS = 1_000;

/**
 * Milliseconds for which data that an endpoint sent before a crash may wait to
 * be read after the crash is known.
 */
const MAX_READ_DELAY_MS = 1_000;

/**
 * Time for which responses and crash times are kept, and own uptimes gossiped,
 * in milliseconds.
 */
const RECENT_MS = 10_000;

/** Minimum time between two sends whose responses are kept, in milliseconds. */
const RESPONSE_SPACING_MS = 100;

/** Number of endpoints from which on those without recent times are removed. */
const MAX_ENDPOINTS = 500;

/** Maximum number of times, and of uptimes, of one endpoint. */
const MAX_TIMES = 100;

/** Maximum number of uptimes that are gossiped. */
const MAX_GOSSIPED = 200;

/**
 * Creates the uptimes of one entry.
 *
 * @example
 * if (uptimes.recordResponse('i-1@7', sentAt)) { removeRefutedCrashes(); }
 */
export function createCrashUptimes(options: {
  readonly clock: Clock;
  /** Returns wall-clock milliseconds, comparable between entries. */
  wallMs(): number;
}): CrashUptimes {
  const {clock, wallMs} = options;
  /** Times of sends that were answered, in monotonic milliseconds. */
  const answeredSends = createRecentTimes(clock);
  /** Times of known crashes, in wall-clock milliseconds. */
  const crashTimes = createRecentTimes(clock);
  const uptimesByEndpoint = new Map<string, readonly EndpointUptime[]>();
  let ownUptimes: readonly EndpointUptime[] = [];

  function isRefuted({
    endpoint,
    atMs,
  }: Pick<Crash, 'endpoint' | 'atMs'>): boolean {
    const uptimes = uptimesByEndpoint.get(endpoint) ?? [];
    return uptimes.some(uptime => covers(uptime, atMs));
  }

  function removeExpired(): void {
    const oldestMs = wallMs() - CRASH_TTL_MS;
    for (const [endpoint, uptimes] of uptimesByEndpoint) {
      if (uptimes.every(({toMs}) => toMs < oldestMs)) {
        uptimesByEndpoint.delete(endpoint);
      }
    }
  }

  function add(uptime: EndpointUptime): boolean {
    const {endpoint} = uptime;
    const uptimes = uptimesByEndpoint.get(endpoint) ?? [];
    if (uptimes.some(known => isSameUptime(known, uptime))) {
      return false;
    }
    if (uptimesByEndpoint.size >= MAX_ENDPOINTS) {
      removeExpired();
    }
    uptimesByEndpoint.set(endpoint, [...uptimes, uptime].slice(-MAX_TIMES));
    return true;
  }

  function addOwn(uptime: EndpointUptime): boolean {
    ownUptimes = [...ownUptimes, uptime].slice(-MAX_GOSSIPED);
    return add(uptime);
  }

  /** Adds the uptimes that refute known crashes of the endpoint. */
  function prove(endpoint: string, sends: readonly number[]): boolean {
    const offsetMs = wallMs() - clock.now();
    const proofs = sends.map(sentAt => uptimeOf(endpoint, sentAt + offsetMs));
    let hasProved = false;
    for (const atMs of crashTimes.of(endpoint)) {
      const proof = proofs.find(uptime => covers(uptime, atMs));
      if (proof !== undefined && !isRefuted({endpoint, atMs})) {
        hasProved = addOwn(proof) || hasProved;
      }
    }
    return hasProved;
  }

  /** Returns the times of crashes after which data may show an uptime. */
  function refutableTimes(endpoint: string): readonly number[] {
    const latestAt = clock.now() - MAX_READ_DELAY_MS;
    return crashTimes
      .kept(endpoint)
      .filter(({addedAt}) => addedAt <= latestAt)
      .map(({timeMs}) => timeMs)
      .filter(atMs => !isRefuted({endpoint, atMs}));
  }

  /** Adds the uptime of a process that has sent data since some crashes. */
  function proveByData(endpoint: string, sentAt: number): boolean {
    const fromMs = Math.round(sentAt + wallMs() - clock.now());
    const times = refutableTimes(endpoint).filter(atMs => atMs >= fromMs);
    return (
      times.length > 0 && addOwn({endpoint, fromMs, toMs: Math.max(...times)})
    );
  }

  return {
    recordResponse(endpoint, sentAt) {
      const isKept = answeredSends
        .of(endpoint)
        .some(time => Math.abs(time - sentAt) < RESPONSE_SPACING_MS);
      if (!isKept) {
        answeredSends.add(endpoint, sentAt);
      }
      return !crashTimes.isEmpty() && prove(endpoint, [sentAt]);
    },
    recordData: (endpoint, sentAt) =>
      !crashTimes.isEmpty() && proveByData(endpoint, sentAt),
    recordPossibleCrash(endpoint) {
      crashTimes.add(endpoint, Math.round(wallMs()));
    },
    recordCrashes(crashes) {
      const oldestMs = wallMs() - RECENT_MS;
      const endpoints = new Set<string>();
      for (const {endpoint, atMs} of crashes) {
        if (atMs >= oldestMs && !crashTimes.of(endpoint).includes(atMs)) {
          crashTimes.add(endpoint, atMs);
          endpoints.add(endpoint);
        }
      }
      return [...endpoints]
        .map(endpoint => prove(endpoint, answeredSends.of(endpoint)))
        .includes(true);
    },
    add: uptimes => uptimes.map(add).includes(true),
    isRefuted,
    recentOwn() {
      const oldestMs = wallMs() - RECENT_MS;
      ownUptimes = ownUptimes.filter(({toMs}) => toMs >= oldestMs);
      return ownUptimes;
    },
  };
}

function covers({fromMs, toMs}: EndpointUptime, atMs: number): boolean {
  return fromMs <= atMs && atMs <= toMs;
}

/** Times by endpoint, each kept for `RECENT_MS`. */
interface RecentTimes {
  isEmpty(): boolean;
  of(endpoint: string): readonly number[];
  kept(endpoint: string): readonly KeptTime[];
  add(endpoint: string, timeMs: number): void;
}

interface KeptTime {
  readonly timeMs: number;
  /** Monotonic milliseconds. */
  readonly addedAt: number;
}

function createRecentTimes(clock: Clock): RecentTimes {
  const timesByEndpoint = new Map<string, readonly KeptTime[]>();
  let lastAddedAt = -Infinity;

  function isRecent({addedAt}: Pick<KeptTime, 'addedAt'>): boolean {
    return clock.now() - addedAt < RECENT_MS;
  }

  function recentTimes(endpoint: string): readonly KeptTime[] {
    return (timesByEndpoint.get(endpoint) ?? []).filter(isRecent);
  }

  function removeExpired(): void {
    for (const [endpoint, times] of timesByEndpoint) {
      if (!times.some(isRecent)) {
        timesByEndpoint.delete(endpoint);
      }
    }
  }

  return {
    isEmpty: () => !isRecent({addedAt: lastAddedAt}),
    of: endpoint => recentTimes(endpoint).map(({timeMs}) => timeMs),
    kept: recentTimes,
    add(endpoint, timeMs) {
      if (timesByEndpoint.size >= MAX_ENDPOINTS) {
        removeExpired();
      }
      lastAddedAt = clock.now();
      const added = {timeMs, addedAt: lastAddedAt};
      const times = [...recentTimes(endpoint), added];
      timesByEndpoint.set(endpoint, times.slice(-MAX_TIMES));
    },
  };
}

/** Returns the uptime that the response to a request proves. */
function uptimeOf(endpoint: string, sentAtMs: number): EndpointUptime {
  return {
    endpoint,
    fromMs: Math.round(sentAtMs - MIN_RESTART_MS),
    toMs: Math.round(sentAtMs - CLOCK_TOLERANCE_MS),
  };
}

function isSameUptime(a: EndpointUptime, b: EndpointUptime): boolean {
  return (
    a.endpoint === b.endpoint && a.fromMs === b.fromMs && a.toMs === b.toMs
  );
}

/**
 * Returns the uptimes of both lists, each once.
 *
 * @example
 * const uptimes = mergeUptimes(a.uptimes, b.uptimes);
 */
export function mergeUptimes(
  a: readonly EndpointUptime[] = [],
  b: readonly EndpointUptime[] = [],
): readonly EndpointUptime[] {
  const added = b.filter(
    uptime => !a.some(known => isSameUptime(known, uptime)),
  );
  return [...a, ...added].slice(-MAX_GOSSIPED);
}
