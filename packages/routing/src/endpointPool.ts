/** Endpoint pools of an entry, by service and version. */
import type {Clock, Random} from '@skylarkfield/base';
import {createCacheView, type CacheView} from './cacheView.js';
import type {Candidate} from './contracts.js';
import {createHealth, type Health} from './health.js';
import {createLoadView, type LoadView} from './loadView.js';
import {pickSubset} from './subset.js';

/** An endpoint with its load, cache and health state. */
export interface PooledEndpoint {
  candidate: Candidate;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly health: Health;
}

export interface EndpointPools {
  setEndpoints(endpoints: readonly Candidate[]): void;
  setEntries(entries: readonly string[]): void;
  markLeaving(endpoint: string): void;
  /** Removes a leaving endpoint with its mark; the next list adds it anew. */
  unmarkLeaving(endpoint: string): void;
  get(endpoint: string): PooledEndpoint | undefined;
  /** Endpoints assigned to this entry for one version of a service. */
  endpointsOf(service: string, version: string): readonly PooledEndpoint[];
  all(): readonly PooledEndpoint[];
  /** Number of listed endpoints that are not leaving, assigned or not. */
  countListed(service: string): number;
  leavingIds(): readonly string[];
}

/** Marks an endpoint as leaving. */
interface LeavingMark {
  /** Monotonic milliseconds at which it was last listed or marked. */
  lastListedMs: number;
  /** Host of the leaving process; unknown until it is listed. */
  host: string | undefined;
}

/** Mark lifetime after the last listing: far longer than the list lags. */
const LEAVING_MARK_TTL_MS = 600_000;

/**
 * Creates empty pools.
 *
 * @example
 * const pools = createEndpointPools({clock, random, self: 'e1', isOwn});
 */
export function createEndpointPools(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: string;
  readonly isOwn: (attempt: string) => boolean;
  /** Prompt tokens per block of a routing request. */
  readonly blockTokens?: number;
}): EndpointPools {
  const {clock, random, self, isOwn, blockTokens} = options;
  const endpointsById = new Map<string, PooledEndpoint>();
  const pools = new Map<string, PooledEndpoint[]>();
  const leavingMarks = new Map<string, LeavingMark>();
  let listed: readonly Candidate[] = [];
  let entries: readonly string[] = [self];

  function poolKey(service: string, version: string): string {
    return `${service} ${version}`;
  }

  function create(candidate: Candidate): PooledEndpoint {
    const health = createHealth({
      clock,
      random,
      recoversOnReport: candidate.type === 'plain',
    });
    if (leavingMarks.has(candidate.id)) {
      health.markLeaving();
    }
    return {
      candidate,
      health,
      load: createLoadView({clock, isOwn}),
      cache: createCacheView({clock, ...(blockTokens && {blockTokens})}),
    };
  }

  function pickAssigned(): Candidate[] {
    const byService = new Map<string, Candidate[]>();
    for (const candidate of listed) {
      const key = poolKey(candidate.service, candidate.version);
      const group = byService.get(key) ?? [];
      group.push(candidate);
      byService.set(key, group);
    }
    return [...byService.values()].flatMap(group => {
      const ids = group.map(({id}) => id);
      const subset = pickSubset(self, entries, ids);
      // With few entries and many endpoints an entry may be assigned none.
      const assigned = group.filter(({id}) => subset.has(id));
      return assigned.length > 0 ? assigned : group;
    });
  }

  function rebuild() {
    const assigned = pickAssigned();
    const ids = new Set(assigned.map(({id}) => id));
    for (const id of endpointsById.keys()) {
      if (!ids.has(id)) {
        endpointsById.delete(id);
      }
    }
    pools.clear();
    for (const candidate of assigned) {
      const existing = endpointsById.get(candidate.id);
      // The same id on another host is a new process, to which neither the old
      // one's state nor its leaving mark applies.
      const isSame = existing?.candidate.host === candidate.host;
      const endpoint = existing && isSame ? existing : create(candidate);
      endpoint.candidate = candidate;
      endpointsById.set(candidate.id, endpoint);
      const key = poolKey(candidate.service, candidate.version);
      const pool = pools.get(key) ?? [];
      pool.push(endpoint);
      pools.set(key, pool);
    }
  }

  function expireLeavingMarks() {
    const nowMs = clock.now();
    for (const {id, host} of listed) {
      const mark = leavingMarks.get(id);
      if (mark === undefined) {
        continue;
      }
      mark.host ??= host;
      mark.lastListedMs = nowMs;
      if (mark.host !== host) {
        leavingMarks.delete(id);
      }
    }
    for (const [id, {lastListedMs}] of leavingMarks) {
      if (nowMs - lastListedMs > LEAVING_MARK_TTL_MS) {
        leavingMarks.delete(id);
      }
    }
  }

  return {
    setEndpoints(endpoints) {
      listed = endpoints;
      expireLeavingMarks();
      rebuild();
    },
    setEntries(next) {
      entries = next.includes(self) ? next : [...next, self];
      rebuild();
    },
    markLeaving(endpoint) {
      const existing = endpointsById.get(endpoint);
      const host = existing?.candidate.host;
      leavingMarks.set(endpoint, {lastListedMs: clock.now(), host});
      existing?.health.markLeaving();
    },
    unmarkLeaving(endpoint) {
      if (leavingMarks.delete(endpoint)) {
        endpointsById.delete(endpoint);
      }
    },
    get: endpoint => endpointsById.get(endpoint),
    endpointsOf: (service, version) =>
      pools.get(poolKey(service, version)) ?? [],
    all: () => [...endpointsById.values()],
    countListed: service =>
      listed.filter(
        candidate =>
          candidate.service === service && !leavingMarks.has(candidate.id),
      ).length,
    leavingIds: () => [...leavingMarks.keys()],
  };
}
