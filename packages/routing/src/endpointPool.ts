/** Endpoints that an entry may choose from, pooled by service and version. */
import type {Clock, Random} from '@skylarkfield/base';
import {createCacheView, type CacheView} from './selection/cacheView.js';
import type {Candidate, EntryLoad} from './contracts.js';
import {createEntryLoads} from './selection/entryLoads.js';
import {createHealth, type Health} from './health/health.js';
import {createLoadView, type LoadView} from './selection/loadView.js';
import {pickSubset} from './selection/subset.js';

/** An endpoint with its load, cache and health state. */
export interface PooledEndpoint {
  candidate: Candidate;
  readonly load: LoadView;
  readonly cache: CacheView;
  readonly health: Health;
}

/** Endpoint pools of one entry. */
export interface EndpointPools {
  setEndpoints(endpoints: readonly Candidate[]): void;
  setEntries(entries: readonly string[]): void;
  markLeaving(endpoint: string): void;
  /** Removes a leaving endpoint and its mark; `setEndpoints` adds it anew. */
  unmarkLeaving(endpoint: string): void;
  get(endpoint: string): PooledEndpoint | undefined;
  /** Returns the assigned endpoints of one version of a service. */
  endpointsOf(service: string, version: string): readonly PooledEndpoint[];
  /** Returns all endpoints assigned to this entry. */
  all(): readonly PooledEndpoint[];
  /**
   * Returns the number of listed endpoints of a service that are not leaving,
   * including endpoints that are not assigned to this entry.
   */
  countListed(service: string): number;
  leavingEndpointIds(): readonly string[];
  /** Replaces the loads that another entry reported. */
  recordEntryLoads(
    entry: string,
    loads: Readonly<Record<string, EntryLoad>>,
  ): void;
}

/** Mark of a leaving endpoint, which the host list may still contain. */
interface LeavingMark {
  /** Monotonic milliseconds at which the endpoint was last listed or marked. */
  lastListedMs: number;
  /** Host of the leaving process; undefined until the endpoint is listed. */
  host: string | undefined;
}

/**
 * Lifetime of a mark after the last listing, far longer than the list's lag.
 */
const LEAVING_MARK_TTL_MS = 600_000;

/**
 * Creates empty pools.
 *
 * @example
 * const pools = createEndpointPools({clock, random, self: 'e1', isOwnAttempt});
 */
export function createEndpointPools(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: string;
  readonly isOwnAttempt: (attempt: string) => boolean;
  /** Prompt tokens per block of a routing request. */
  readonly blockTokens?: number;
  /** Whether this entry is assigned all endpoints of a service. */
  usesAllEndpoints?(service: string): boolean;
}): EndpointPools {
  const {clock, random, self, isOwnAttempt, blockTokens} = options;
  const endpointsById = new Map<string, PooledEndpoint>();
  const pools = new Map<string, PooledEndpoint[]>();
  const leavingMarks = new Map<string, LeavingMark>();
  const entryLoads = createEntryLoads(clock, id => endpointsById.get(id)?.load);
  let listedEndpoints: readonly Candidate[] = [];
  let entries: readonly string[] = [self];

  function poolKey(service: string, version: string): string {
    return `${service} ${version}`;
  }

  function createPooledEndpoint(candidate: Candidate): PooledEndpoint {
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
      load: createLoadView({
        clock,
        isOwnAttempt,
        entryReports: entryLoads.reports,
      }),
      cache: createCacheView({clock, ...(blockTokens && {blockTokens})}),
    };
  }

  function groupByPool(): ReadonlyMap<string, readonly Candidate[]> {
    const groups = new Map<string, Candidate[]>();
    for (const candidate of listedEndpoints) {
      const key = poolKey(candidate.service, candidate.version);
      const group = groups.get(key);
      if (group === undefined) {
        groups.set(key, [candidate]);
      } else {
        group.push(candidate);
      }
    }
    return groups;
  }

  function pickAssigned(group: readonly Candidate[]): readonly Candidate[] {
    if (options.usesAllEndpoints?.(group[0]!.service)) {
      return group;
    }
    const ids = group.map(({id}) => id);
    const subset = pickSubset(self, entries, ids);
    // With few entries and many endpoints an entry may be assigned no
    // endpoint; it then uses all of them.
    const assignedCandidates = group.filter(({id}) => subset.has(id));
    return assignedCandidates.length > 0 ? assignedCandidates : group;
  }

  function toPooledEndpoint(candidate: Candidate): PooledEndpoint {
    const existing = endpointsById.get(candidate.id);
    // The same id on another host is a new process, to which neither the
    // state nor the leaving mark of the old process applies.
    const isSameProcess = existing?.candidate.host === candidate.host;
    const endpoint =
      existing && isSameProcess ? existing : createPooledEndpoint(candidate);
    endpoint.candidate = candidate;
    endpointsById.set(candidate.id, endpoint);
    return endpoint;
  }

  function rebuildPools() {
    const assignedGroups = [...groupByPool()].map(
      ([key, group]) => [key, pickAssigned(group)] as const,
    );
    const assignedIds = new Set(
      assignedGroups.flatMap(([, group]) => group.map(({id}) => id)),
    );
    for (const id of endpointsById.keys()) {
      if (!assignedIds.has(id)) {
        endpointsById.delete(id);
      }
    }
    pools.clear();
    for (const [key, group] of assignedGroups) {
      pools.set(key, group.map(toPooledEndpoint));
    }
  }

  function updateLeavingMarks() {
    const nowMs = clock.now();
    for (const {id, host} of listedEndpoints) {
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
      listedEndpoints = endpoints;
      updateLeavingMarks();
      rebuildPools();
    },
    setEntries(ids) {
      entries = ids.includes(self) ? ids : [...ids, self];
      rebuildPools();
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
      listedEndpoints.filter(
        candidate =>
          candidate.service === service && !leavingMarks.has(candidate.id),
      ).length,
    leavingEndpointIds: () => [...leavingMarks.keys()],
    recordEntryLoads: entryLoads.record,
  };
}
